#include "path_fixture.h"

#include <mutex>

namespace cicadaport::entry {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t tokens = 20;
constexpr std::size_t prompt_words = 600;

// A stand-in engine that records the requests it receives.
class recording_engine {
public:
    recording_engine(boost::asio::io_context& context, standins::engine_settings settings)
        : m_engine{context, std::move(settings)}
    {
    }

    boost::asio::awaitable<void> run() { return m_engine.run(); }

    boost::asio::awaitable<void> handle(const http::request& message, http::response_writer& writer)
    {
        {
            const std::scoped_lock lock{m_mutex};
            m_seen.push_back(message);
        }
        return m_engine.handle(message, writer);
    }

    // Returns the requests with this target that were received so far.
    std::vector<http::request> seen(const std::string& target) const
    {
        const std::scoped_lock lock{m_mutex};
        std::vector<http::request> out;
        std::copy_if(m_seen.begin(), m_seen.end(), std::back_inserter(out),
                     [&](const http::request& each) { return each.target == target; });
        return out;
    }

    std::size_t prefills() const { return seen("/v1/prefill").size(); }
    std::size_t completions() const { return seen("/v1/completions").size(); }

    std::size_t cancelled() const
    {
        const std::scoped_lock lock{m_mutex};
        return static_cast<std::size_t>(
            std::count_if(m_seen.begin(), m_seen.end(),
                          [](const http::request& each) { return each.method == "DELETE"; }));
    }

private:
    standins::engine_server m_engine;
    mutable std::mutex m_mutex;
    std::vector<http::request> m_seen;
};

using engine = handler_server<recording_engine>;

standins::engine_settings of_role(standins::engine_role role)
{
    standins::engine_settings out;
    out.role = role;
    return out;
}

http::request long_completion(bool streamed)
{
    std::string prompt;
    for (std::size_t i = 0; i < prompt_words; ++i) {
        prompt += "word" + std::to_string(i) + " ";
    }
    const nlohmann::json body{
        {"model", "m"}, {"prompt", prompt}, {"stream", streamed}, {"max_tokens", tokens}};
    return caller_request("POST", "/v1/completions", body.dump());
}

std::string long_answer()
{
    std::vector<std::string> prompt;
    for (std::size_t i = 0; i < prompt_words; ++i) {
        prompt.push_back("word" + std::to_string(i));
    }
    std::string out;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        out += standins::engine_core::answer_token(prompt, i);
    }
    return out;
}

bool eventually(const std::function<bool()>& holds)
{
    const auto until = std::chrono::steady_clock::now() + 20s;
    while (std::chrono::steady_clock::now() < until) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

std::uint64_t active_request_count(const http::address& at)
{
    const auto body = nlohmann::json::parse(exchange(at, {"GET", "/v1/load", {}, {}}).body);
    return body["waiting"].get<std::uint64_t>() + body["running"].get<std::uint64_t>();
}

// Returns an address of this host without a listener.
http::address unused_address()
{
    const engine gone{standins::engine_settings{}};
    return gone.address();
}

// Two prefill engines and two decode engines, and a decision state with long
// prefill queues at the decode engines.
class two_stage_send_test : public testing::Test {
protected:
    enum place { first_prefill, second_prefill, first_decode, second_decode };

    two_stage_send_test() { publish(); }

    // Publishes the queue lengths of the engines to the decision state.
    void publish()
    {
        auto next = std::make_unique<routing::load_snapshot>();
        next->endpoints.resize(4);
        for (const auto each : {first_prefill, second_prefill}) {
            next->endpoints[each].role = routing::engine_role::prefill;
        }
        // Prefills go to the first prefill engine while it serves.
        next->endpoints[second_prefill].others = {1, 600, 0};
        for (const auto each : {first_decode, second_decode}) {
            next->endpoints[each].role = routing::engine_role::decode;
            next->endpoints[each].others = {4, 20'000, 200};
        }
        next->collect_prefill_engines();
        m_decisions.loads.replace(std::move(next));
    }

    std::vector<http::address> addresses() const
    {
        return {m_prefills[0].address(), m_prefills[1].address(), m_decodes[0].address(),
                m_decodes[1].address()};
    }

    std::unique_ptr<served_gateway> serve(const std::vector<http::address>& engines)
    {
        return std::make_unique<served_gateway>(test_configuration(engines, {}),
                                                settings::completion_path::resumable, nullptr,
                                                std::vector<std::string>{}, 1, &m_decisions);
    }

    std::size_t prefills() const
    {
        return m_prefills[0].handler().prefills() + m_prefills[1].handler().prefills();
    }

    std::size_t completions() const
    {
        return m_decodes[0].handler().completions() + m_decodes[1].handler().completions();
    }

    // Returns the KV cache source of each completion; empty for a prompt that the
    // decode engine prefilled itself.
    std::vector<std::string> kv_sources() const
    {
        std::vector<std::string> out;
        for (const auto& each : m_decodes) {
            for (const auto& message : each.handler().seen("/v1/completions")) {
                out.emplace_back(message.fields.find("X-Kv-Source").value_or(""));
            }
        }
        return out;
    }

    // Makes a prefill take several hundred milliseconds.
    void slow_down_prefills() const
    {
        for (const auto& each : m_prefills) {
            inject_fault(each.address(), "slow_factor=6");
        }
    }

    std::size_t cancelled_prefills() const
    {
        return m_prefills[0].handler().cancelled() + m_prefills[1].handler().cancelled();
    }

    decision_state m_decisions{settings::placement_policy::predicted};
    engine m_prefills[2] = {engine{of_role(standins::engine_role::prefill)},
                            engine{of_role(standins::engine_role::prefill)}};
    engine m_decodes[2] = {engine{of_role(standins::engine_role::decode)},
                           engine{of_role(standins::engine_role::decode)}};
};

TEST_F(two_stage_send_test, a_streamed_answer_is_whole_after_prefill_at_another_engine)
{
    const auto gateway = serve(addresses());
    const auto seen = read_answer(gateway->address(), long_completion(true));
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.text(), long_answer());
    EXPECT_EQ(prefills(), 1U);
    const auto& used = m_prefills[m_prefills[0].handler().prefills() == 1 ? 0 : 1];
    ASSERT_EQ(kv_sources().size(), 1U);
    EXPECT_THAT(kv_sources().front(), testing::StartsWith(http::to_string(used.address()) + "/"));
}

TEST_F(two_stage_send_test, an_unstreamed_answer_equals_that_of_one_stage)
{
    const auto gateway = serve(addresses());
    const auto two = exchange(gateway->address(), long_completion(false));
    EXPECT_EQ(prefills(), 1U);
    m_decisions.policy = settings::placement_policy::predicted_one_stage;
    const auto one = exchange(gateway->address(), long_completion(false));
    EXPECT_EQ(prefills(), 1U);
    EXPECT_EQ(two.status, 200U);
    EXPECT_EQ(two.fields.find(verdict_field), "ran");
    EXPECT_EQ(nlohmann::json::parse(two.body)["choices"],
              nlohmann::json::parse(one.body)["choices"]);
}

TEST_F(two_stage_send_test, the_one_stage_baseline_sends_nothing_to_prefill_engines)
{
    m_decisions.policy = settings::placement_policy::predicted_one_stage;
    const auto gateway = serve(addresses());
    const auto seen = read_answer(gateway->address(), long_completion(true));
    EXPECT_EQ(seen.text(), long_answer());
    EXPECT_EQ(prefills(), 0U);
    EXPECT_EQ(kv_sources(), std::vector<std::string>{""});
}

TEST_F(two_stage_send_test, a_short_prompt_stays_in_one_stage)
{
    const auto gateway = serve(addresses());
    EXPECT_EQ(read_answer(gateway->address(), streamed_completion(tokens)).text(),
              expected_text(tokens));
    EXPECT_EQ(prefills(), 0U);
}

TEST_F(two_stage_send_test, continues_when_a_prefill_engine_is_dead)
{
    auto engines = addresses();
    engines[first_prefill] = unused_address();
    engines[second_prefill] = engines[first_prefill];
    const auto gateway = serve(engines);
    const auto seen = read_answer(gateway->address(), long_completion(true));
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.text(), long_answer());
    EXPECT_EQ(kv_sources(), std::vector<std::string>{""});
}

TEST_F(two_stage_send_test, another_prefill_engine_is_used_when_one_refuses)
{
    inject_fault(m_prefills[0].address(), "refuse=true");
    const auto gateway = serve(addresses());
    const auto seen = read_answer(gateway->address(), long_completion(true));
    EXPECT_EQ(seen.text(), long_answer());
    EXPECT_EQ(m_prefills[0].handler().prefills(), 1U);
    const auto other = http::to_string(m_prefills[1].address()) + "/";
    EXPECT_THAT(kv_sources(), testing::ElementsAre(testing::StartsWith(other)));
}

TEST_F(two_stage_send_test, continues_in_one_stage_when_all_prefill_engines_refuse)
{
    inject_fault(m_prefills[0].address(), "refuse=true");
    inject_fault(m_prefills[1].address(), "refuse=true");
    const auto gateway = serve(addresses());
    const auto reply = exchange(gateway->address(), long_completion(false));
    EXPECT_EQ(reply.status, 200U);
    EXPECT_EQ(prefills(), 2U);
    EXPECT_EQ(kv_sources(), std::vector<std::string>{""});
}

TEST_F(two_stage_send_test, abandons_a_slow_prefill_in_time_for_the_answer)
{
    inject_fault(m_prefills[0].address(), "slow_factor=10000");
    inject_fault(m_prefills[1].address(), "slow_factor=10000");
    const auto gateway = serve(addresses());
    const auto begin = std::chrono::steady_clock::now();
    const auto seen = read_answer(gateway->address(), long_completion(true));
    EXPECT_EQ(seen.text(), long_answer());
    EXPECT_EQ(prefills(), 2U);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 10s) << "the priority's deadline";
}

TEST_F(two_stage_send_test, continues_when_a_prefill_engine_changes_its_role)
{
    slow_down_prefills();
    const auto gateway = serve(addresses());
    received_response seen;
    {
        const std::jthread caller{
            [&] { seen = read_answer(gateway->address(), long_completion(true)); }};
        EXPECT_TRUE(eventually([&] { return prefills() > 0; }));
        const nlohmann::json order{{"order_id", "o"}, {"fencing_number", 1}, {"role", "decode"}};
        for (const auto& each : m_prefills) {
            exchange(each.address(), {"POST", "/v1/orders", {}, order.dump()});
        }
    }
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.text(), long_answer());
    EXPECT_EQ(kv_sources(), std::vector<std::string>{""});
}

TEST_F(two_stage_send_test, sends_no_completion_when_the_client_disconnects_during_the_prefill)
{
    slow_down_prefills();
    const auto gateway = serve(addresses());
    boost::asio::io_context context;
    http::client caller{context};
    http::cancellation leave;
    http::exchange_options options;
    options.cancel = &leave;
    boost::asio::co_spawn(context,
                          caller.exchange(gateway->address(), long_completion(true), options),
                          [](const std::exception_ptr&, const http::response&) {});
    EXPECT_TRUE(eventually([&] {
        context.poll();
        return prefills() > 0;
    }));
    leave.request();
    context.run();
    EXPECT_TRUE(eventually([&] { return cancelled_prefills() == 1; }));
    EXPECT_TRUE(eventually([&] {
        return active_request_count(m_prefills[0].address()) +
                   active_request_count(m_prefills[1].address()) ==
               0;
    }));
    EXPECT_EQ(completions(), 0U);
}

TEST_F(two_stage_send_test, a_stream_handed_over_during_the_prefill_resumes_elsewhere)
{
    slow_down_prefills();
    const auto stopping = serve(addresses());
    received_response seen;
    {
        const std::jthread caller{
            [&] { seen = read_answer(stopping->address(), long_completion(true)); }};
        EXPECT_TRUE(eventually([&] { return prefills() > 0; }));
        stopping->handler().hand_over();
    }
    ASSERT_EQ(seen.lines("event"), std::vector<std::string>{"resume"});
    const auto resume = nlohmann::json::parse(seen.lines("data").back());
    auto message = long_completion(true);
    message.fields.add(request_id_field, resume["request_id"].get<std::string>());
    message.fields.add("Last-Event-ID", resume["last_event_id"].get<std::string>());
    const auto other = serve(addresses());
    const auto rest = read_answer(other->address(), message);
    EXPECT_TRUE(rest.complete);
    EXPECT_EQ(seen.text() + rest.text(), long_answer());
}

TEST_F(two_stage_send_test, a_stream_whose_connection_breaks_is_resumed_at_the_decode_engine)
{
    for (const auto& each : m_decodes) {
        inject_fault(each.address(), "cut_after_tokens=7");
    }
    const auto gateway = serve(addresses());
    const auto seen = read_answer(gateway->address(), long_completion(true));
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.text(), long_answer());
    EXPECT_EQ(completions(), 1U);
}

TEST_F(two_stage_send_test, the_account_counts_a_request_in_its_second_stage_too)
{
    auto configuration = test_configuration(addresses(), {});
    const std::string desk = "priority: urgent\n";
    configuration.insert(configuration.find(desk) + desk.size(), "    concurrent_requests: 1\n");
    served_gateway gateway{configuration, settings::completion_path::resumable, nullptr, {}, 1,
                           &m_decisions};
    std::optional<http::response> second;
    read_answer(gateway.address(), long_completion(true), [&](const received_response&) {
        if (!second) {
            second = exchange(gateway.address(), streamed_completion(tokens));
        }
        return false;
    });
    ASSERT_TRUE(second);
    EXPECT_EQ(second->status, 429U);
    EXPECT_EQ(second->fields.find(verdict_field), "not_run");
    EXPECT_EQ(read_answer(gateway.address(), long_completion(true)).text(), long_answer())
        << "the account's count was released";
    EXPECT_EQ(prefills(), 2U);
}

TEST_F(two_stage_send_test, another_engine_answers_from_the_same_cache_when_one_refuses)
{
    inject_fault(m_decodes[0].address(), "refuse=true");
    inject_fault(m_decodes[1].address(), "refuse=true");
    const auto gateway = serve(addresses());
    const auto refusal = exchange(gateway->address(), long_completion(false));
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_EQ(refusal.fields.find(verdict_field), "not_run");
    EXPECT_EQ(prefills(), 1U);
    const auto sources = kv_sources();
    ASSERT_EQ(sources.size(), 2U);
    EXPECT_FALSE(sources[0].empty());
    EXPECT_EQ(sources[0], sources[1]);
}

TEST_F(two_stage_send_test, another_engine_answers_when_one_is_dead)
{
    auto engines = addresses();
    engines[first_decode] = unused_address();
    const auto gateway = serve(engines);
    for (int i = 0; i < 6; ++i) {
        const auto seen = read_answer(gateway->address(), long_completion(true));
        EXPECT_EQ(seen.text(), long_answer());
    }
    EXPECT_EQ(m_decodes[1].handler().completions(), 6U);
    EXPECT_THAT(kv_sources(), testing::Not(testing::Contains("")));
}

} // namespace
} // namespace cicadaport::entry
