#include "path_fixture.h"
#include "safeguard_off.h"

#include <future>

namespace cicadaport::entry {
namespace {

using base::safeguard;
using base::safeguard_off;
using engine = handler_server<standins::engine_server>;
constexpr std::uint32_t tokens = 40;

// Settings of an engine that continues unread streams, so that only a cancel ends
// them early.
standins::engine_settings unread_stream_engine_settings()
{
    standins::engine_settings out;
    out.orphan_time = std::chrono::hours{1};
    // An old report would not include a stream that has just begun.
    out.report_lag = std::chrono::milliseconds{0};
    return out;
}

class resumable_test : public testing::Test {
protected:
    engine m_engine{unread_stream_engine_settings()};
    std::string m_configuration = test_configuration({m_engine.address()}, {});
    served_gateway m_gateway{m_configuration};

    std::uint64_t running_at_engine() const
    {
        const auto load = exchange(m_engine.address(), {"GET", "/v1/load", {}, {}});
        const auto body = nlohmann::json::parse(load.body);
        return body["waiting"].get<std::uint64_t>() + body["running"].get<std::uint64_t>();
    }

    // Returns the number of requests that the engine reports as begun.
    std::size_t begun_at_engine() const
    {
        const auto record = exchange(m_engine.address(), {"GET", "/v1/requests", {}, {}});
        return nlohmann::json::parse(record.body)["requests"].size();
    }

    bool engine_becomes_idle(std::chrono::milliseconds limit = std::chrono::seconds{20}) const
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < until) {
            if (running_at_engine() == 0) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        return false;
    }
};

bool has_some_tokens(const received_response& seen)
{
    return seen.lines("id").size() >= 5;
}

TEST_F(resumable_test, delivers_the_whole_answer)
{
    const auto seen = read_answer(m_gateway.address(), streamed_completion(tokens));
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.text(), expected_text(tokens));
    EXPECT_EQ(seen.lines("data").back(), "[DONE]");
}

TEST_F(resumable_test, resumes_at_the_engine_when_its_connection_breaks)
{
    inject_fault(m_engine.address(), "cut_after_tokens=7");
    const auto seen = read_answer(m_gateway.address(), streamed_completion(tokens));
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.text(), expected_text(tokens));
}

TEST_F(resumable_test, without_resumption_a_broken_connection_cuts_the_answer)
{
    served_gateway baseline{m_configuration, settings::completion_path::pass_through};
    inject_fault(m_engine.address(), "cut_after_tokens=7");
    const auto seen = read_answer(baseline.address(), streamed_completion(tokens));
    EXPECT_FALSE(seen.complete);
    EXPECT_NE(seen.text(), expected_text(tokens));
}

TEST_F(resumable_test, a_handed_over_stream_resumes_elsewhere_without_duplicate_or_missing_tokens)
{
    auto message = streamed_completion(tokens);
    message.fields.add(request_id_field, "order-17");
    std::string first_text;
    std::string last_id;
    {
        served_gateway stopping{m_configuration};
        const auto seen =
            read_answer(stopping.address(), message, [&](const received_response& so_far) {
                if (has_some_tokens(so_far)) {
                    stopping.handler().hand_over();
                }
                return so_far.body.find("event: resume") != std::string::npos;
            });
        first_text = seen.text();
        last_id = seen.lines("id").back();
        EXPECT_FALSE(seen.complete);
    }
    message.fields.add("Last-Event-ID", last_id);
    const auto rest = read_answer(m_gateway.address(), message);
    EXPECT_TRUE(rest.complete);
    EXPECT_EQ(first_text + rest.text(), expected_text(tokens));
}

TEST_F(resumable_test, a_stream_resumes_elsewhere_after_its_entry_process_dies)
{
    auto message = streamed_completion(tokens);
    message.fields.add(request_id_field, "order-17");
    auto dying = std::make_unique<served_gateway>(m_configuration);
    const auto seen = read_answer(dying->address(), message, [&](const received_response& so_far) {
        if (dying && has_some_tokens(so_far)) {
            dying.reset();
        }
        return false;
    });
    EXPECT_FALSE(seen.complete);
    EXPECT_EQ(seen.lines("event"), std::vector<std::string>{});
    message.fields.add("Last-Event-ID", seen.lines("id").back());
    const auto rest = read_answer(m_gateway.address(), message);
    EXPECT_TRUE(rest.complete);
    EXPECT_EQ(seen.text() + rest.text(), expected_text(tokens));
}

TEST_F(resumable_test, refuses_to_resume_the_stream_of_another_account)
{
    auto message = streamed_completion(tokens);
    message.fields.add(request_id_field, "order-17");
    const auto seen = read_answer(m_gateway.address(), message, has_some_tokens);
    const auto body = message.body;
    auto stolen = caller_request("POST", "/v1/completions", body, "other-key");
    stolen.fields.add(request_id_field, "order-17");
    stolen.fields.add("Last-Event-ID", seen.lines("id").back());
    const auto refusal = exchange(m_gateway.address(), stolen);
    EXPECT_EQ(refusal.status, 400U);
    EXPECT_EQ(refusal.fields.find(verdict_field), "not_run");
}

TEST_F(resumable_test, cancels_at_the_engine_when_the_client_disconnects)
{
    constexpr std::uint32_t very_long = 100'000;
    read_answer(m_gateway.address(), streamed_completion(very_long),
                [&](const received_response& seen) {
                    EXPECT_EQ(running_at_engine(), 1U);
                    return has_some_tokens(seen);
                });
    EXPECT_TRUE(engine_becomes_idle());
}

TEST_F(resumable_test, without_cancel_the_engine_continues_an_unread_stream)
{
    const safeguard_off without{safeguard::engine_cancel};
    constexpr std::uint32_t very_long = 100'000;
    read_answer(m_gateway.address(), streamed_completion(very_long), has_some_tokens);
    EXPECT_FALSE(engine_becomes_idle(std::chrono::seconds{2}));
}

TEST_F(resumable_test, without_positions_a_reconnecting_client_gets_duplicate_tokens)
{
    const safeguard_off without{safeguard::resume_position};
    auto message = streamed_completion(tokens);
    const auto seen = read_answer(m_gateway.address(), message, has_some_tokens);
    message.fields.add("Last-Event-ID", seen.lines("id").back());
    const auto rest = read_answer(m_gateway.address(), message);
    EXPECT_EQ(rest.text(), expected_text(tokens));
    EXPECT_NE(seen.text() + rest.text(), expected_text(tokens));
}

TEST_F(resumable_test, without_the_owner_check_another_account_reads_the_stream)
{
    const safeguard_off without{safeguard::position_owner};
    auto message = streamed_completion(tokens);
    // The process is killed and the client does not disconnect, so the engine keeps the stream.
    auto dying = std::make_unique<served_gateway>(m_configuration);
    const auto seen = read_answer(dying->address(), message, [&](const received_response& so_far) {
        if (dying && has_some_tokens(so_far)) {
            dying.reset();
        }
        return false;
    });
    auto stolen = caller_request("POST", "/v1/completions",
                                 R"({"model":"m","prompt":"any","stream":true})", "other-key");
    stolen.fields.add("Last-Event-ID", seen.lines("id").back());
    const auto rest = read_answer(m_gateway.address(), stolen);
    EXPECT_EQ(seen.text() + rest.text(), expected_text(tokens));
}

TEST_F(resumable_test, without_hand_over_a_stopping_process_cuts_streams_without_an_event)
{
    const safeguard_off without{safeguard::hand_over};
    auto stopping = std::make_unique<served_gateway>(m_configuration);
    const auto seen = read_answer(stopping->address(), streamed_completion(tokens),
                                  [&](const received_response& so_far) {
                                      if (stopping && has_some_tokens(so_far)) {
                                          stopping->handler().hand_over();
                                          stopping.reset();
                                      }
                                      return false;
                                  });
    EXPECT_FALSE(seen.complete);
    EXPECT_EQ(seen.lines("event"), std::vector<std::string>{});
}

TEST_F(resumable_test, a_client_that_resumes_while_its_old_connection_is_open_gets_the_whole_answer)
{
    const served_gateway second{m_configuration};
    auto message = streamed_completion(tokens);
    message.fields.add(request_id_field, "order-17");
    received_response rest;
    const auto seen =
        read_answer(m_gateway.address(), message, [&](const received_response& so_far) {
            if (!has_some_tokens(so_far)) {
                return false;
            }
            // The old connection stays open while the new one is answered.
            message.fields.add("Last-Event-ID", so_far.lines("id").back());
            rest = read_answer(second.address(), message);
            return true;
        });
    EXPECT_TRUE(rest.complete);
    EXPECT_EQ(seen.text() + rest.text(), expected_text(tokens));
}

TEST_F(resumable_test, a_client_that_disconnects_before_it_resumes_gets_the_whole_answer)
{
    const served_gateway second{m_configuration};
    constexpr std::uint32_t long_answer = 400;
    auto message = streamed_completion(long_answer);
    message.fields.add(request_id_field, "order-17");
    const auto seen = read_answer(m_gateway.address(), message, has_some_tokens);
    message.fields.add("Last-Event-ID", seen.lines("id").back());
    const auto rest = read_answer(second.address(), message);
    EXPECT_TRUE(rest.complete);
    EXPECT_EQ(seen.text() + rest.text(), expected_text(long_answer));
}

TEST_F(resumable_test, a_refused_resume_does_not_report_not_run)
{
    auto message = streamed_completion(tokens);
    const auto seen = read_answer(m_gateway.address(), message, has_some_tokens);
    EXPECT_TRUE(engine_becomes_idle());
    inject_fault(m_engine.address(), "refuse=true");
    message.fields.add("Last-Event-ID", seen.lines("id").back());
    message.fields.add(request_id_field, *seen.fields.find(request_id_field));
    const auto refusal = exchange(m_gateway.address(), message);
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_EQ(refusal.fields.find(verdict_field), "may_have_run");
}

http::request whole_completion(std::uint32_t length)
{
    const nlohmann::json body{{"model", "m"}, {"prompt", "how many sacks"}, {"max_tokens", length}};
    return caller_request("POST", "/v1/completions", body.dump());
}

// Requests an unstreamed completion that runs for longer than the test.
std::future<http::response> request_long_completion(const http::address& at)
{
    constexpr std::uint32_t very_long = 100'000;
    return std::async(std::launch::async,
                      [at] { return exchange(at, whole_completion(very_long)); });
}

TEST_F(resumable_test, a_whole_completion_is_ended_with_its_verdict_when_the_process_stops)
{
    auto asked = request_long_completion(m_gateway.address());
    while (running_at_engine() == 0) {
    }
    m_gateway.handler().hand_over();
    const auto reply = asked.get();
    EXPECT_EQ(reply.status, 503U);
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
    EXPECT_TRUE(reply.fields.find("Retry-After"));
    EXPECT_TRUE(engine_becomes_idle());
}

TEST_F(resumable_test, without_hand_over_a_whole_completion_delays_a_stop)
{
    const safeguard_off without{safeguard::hand_over};
    auto stopping = std::make_unique<served_gateway>(m_configuration);
    auto asked = request_long_completion(stopping->address());
    while (running_at_engine() == 0) {
    }
    stopping->handler().hand_over();
    EXPECT_EQ(asked.wait_for(std::chrono::seconds{1}), std::future_status::timeout);
    stopping.reset();
    EXPECT_THROW(asked.get(), http::exchange_error);
}

TEST_F(resumable_test, a_refusal_by_the_only_engine_reports_not_run_and_retry_after)
{
    inject_fault(m_engine.address(), "refuse=true");
    const auto refusal = exchange(m_gateway.address(), streamed_completion(tokens));
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_EQ(refusal.fields.find(verdict_field), "not_run");
    EXPECT_TRUE(refusal.fields.find("Retry-After"));
    EXPECT_EQ(begun_at_engine(), 0U);
    inject_fault(m_engine.address(), "refuse=false");
    read_answer(m_gateway.address(), streamed_completion(tokens));
    EXPECT_EQ(begun_at_engine(), 1U);
}

// A stand-in engine that loses its stream after three tokens.
class stream_losing_engine {
public:
    stream_losing_engine(boost::asio::io_context&, std::string word) : m_word{std::move(word)} {}

    boost::asio::awaitable<void> handle(const http::request& message, http::response_writer& writer)
    {
        if (message.method != "POST") {
            http::response missing{404, {}, "no such stream\n"};
            missing.fields.add("X-Not-Started", "true");
            co_return co_await writer.send(std::move(missing));
        }
        http::response head{200, {}, {}};
        head.fields.add("Content-Type", "text/event-stream");
        co_await writer.begin_stream(std::move(head));
        for (std::uint32_t i = 0; i < 3; ++i) {
            const auto token =
                m_word.empty() ? standins::engine_core::answer_token({"how", "many", "sacks"}, i)
                               : m_word;
            const nlohmann::json choice{{"index", 0}, {"text", token}};
            const nlohmann::json event{{"choices", nlohmann::json::array({choice})}};
            const auto text = "id: " + std::to_string(i) + "\ndata: " + event.dump() + "\n\n";
            co_await writer.write(text);
        }
    }

private:
    std::string m_word;
};

// Repeats the request until the engine that loses its stream was chosen first.
received_response answer_after_loss(const std::string& word)
{
    const engine good{standins::engine_settings{}};
    const handler_server<stream_losing_engine> bad{word};
    const auto configuration = test_configuration({bad.address(), good.address()}, {});
    for (;;) {
        const served_gateway gateway{configuration};
        auto seen = read_answer(gateway.address(), streamed_completion(tokens));
        if (seen.fields.find("Cicadaport-Endpoint") == "engine-1") {
            return seen;
        }
    }
}

TEST(lost_engine_test, another_engine_continues_if_its_answer_begins_with_the_delivered_events)
{
    const auto seen = answer_after_loss("");
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.text(), expected_text(tokens));
}

TEST(lost_engine_test, a_different_answer_ends_the_stream_with_an_error)
{
    const auto seen = answer_after_loss("different ");
    EXPECT_FALSE(seen.complete);
    EXPECT_EQ(seen.text(), "different different different ");
    ASSERT_EQ(seen.lines("event"), std::vector<std::string>{"error"});
    EXPECT_THAT(seen.lines("data").back(), testing::HasSubstr("\"verdict\":\"may_have_run\""));
    EXPECT_EQ(seen.body.find("[DONE]"), std::string::npos);
}

TEST(lost_engine_test, without_the_comparison_two_answers_are_mixed)
{
    const safeguard_off without{safeguard::same_beginning};
    const auto seen = answer_after_loss("different ");
    EXPECT_TRUE(seen.complete);
    EXPECT_THAT(seen.text(), testing::StartsWith("different different different "));
    EXPECT_NE(seen.text(), expected_text(tokens));
}

} // namespace
} // namespace cicadaport::entry
