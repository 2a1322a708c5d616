#include "cicadaport/entry/engine_choice.h"

#include "cicadaport/entry/errors.h"

#include <gtest/gtest.h>

namespace cicadaport::entry {
namespace {

using namespace std::chrono_literals;

constexpr auto configuration_text = R"(
priorities:
  - {name: counter, rank: 0, least_share_percent: 40, deadline_ms: 4000}
  - {name: review, rank: 2, least_share_percent: 5, deadline_ms: 30000}
models:
  - {name: m, version: "1", expected_output_tokens: 40}
engine_roles: {policy: never}
callers:
  - {account: desk, key_sha256: KEY, priority: counter, concurrent_requests: 2}
services: []
endpoints:
  - {name: e1, kind: engine, serves: m, address: "127.0.0.1:1", availability_zone: z}
  - {name: e2, kind: engine, serves: m, address: "127.0.0.1:2", availability_zone: z}
)";

std::shared_ptr<const configuration::document> make_document()
{
    std::string text = configuration_text;
    text.replace(text.find("KEY"), 3, std::string(64, 'a'));
    return std::make_shared<configuration::document>(
        configuration::parse_document(text, "configuration.yaml"));
}

class engine_choice_test : public testing::Test {
protected:
    chosen_endpoint choose(const std::string& priority, std::chrono::milliseconds deadline)
    {
        request_context context;
        context.account = priority == "counter" ? "desk" : "files";
        context.priority = priority;
        context.deadline = std::chrono::steady_clock::now() + deadline;
        const endpoint_filter filter{{}, m_worker.breakers, std::chrono::steady_clock::now()};
        const engine_request wanted{context, "m", R"({"model": "m", "prompt": "is rice left"})"};
        return choose_engine(m_view, wanted, filter, m_worker);
    }

    // Adds this many waiting prefill tokens of other processes at each engine.
    void load_engines(double prefill_tokens)
    {
        auto next = std::make_unique<routing::load_snapshot>();
        next->endpoints.resize(2);
        for (auto& each : next->endpoints) {
            each.others = {4, prefill_tokens, 100};
        }
        m_decisions.loads.replace(std::move(next));
    }

    boost::asio::io_context m_context;
    routing::load_table m_loads;
    routing::view m_view{make_document(), 1, {}, m_loads};
    decision_state m_decisions{settings::placement_policy::predicted};
    worker m_worker{m_context, &m_decisions};
};

TEST_F(engine_choice_test, charges_the_engine_until_the_request_ends)
{
    {
        const auto chosen = choose("counter", 4s);
        EXPECT_EQ(routing::own_work(*m_loads.get(chosen.name)).requests, 1);
        EXPECT_EQ(routing::own_work(*m_loads.get(chosen.name)).decode_tokens, 40);
        EXPECT_EQ(routing::own_work(*m_loads.get(chosen.name)).prefill_tokens, 3);
    }
    EXPECT_TRUE(m_loads.work_in_flight().empty());
    EXPECT_EQ(m_loads.get("e1")->decode_tokens + m_loads.get("e2")->decode_tokens, 0U);
}

TEST_F(engine_choice_test, reduces_the_charge_as_tokens_arrive_and_learns_the_output_length)
{
    auto chosen = choose("counter", 4s);
    const auto load = m_loads.get(chosen.name);
    chosen.charge.record_tokens(10, std::chrono::steady_clock::now());
    EXPECT_EQ(load->prefill_tokens, 0U);
    EXPECT_EQ(load->decode_tokens, 30U);
    chosen.charge.record_response_end();
    EXPECT_EQ(m_decisions.outputs.estimate_output({"counter", "m"}, 40, 0).tokens, 10);
}

TEST_F(engine_choice_test, rejects_a_request_that_would_miss_its_deadline_with_a_retry_time)
{
    load_engines(200'000);
    try {
        choose("counter", 4s);
        ADD_FAILURE() << "each engine has 12 s of prefill waiting";
    }
    catch (const request_failure& rejection) {
        EXPECT_EQ(rejection.kind(), failure_kind::overloaded);
        EXPECT_EQ(rejection.outcome(), base::verdict::not_run);
        EXPECT_GT(rejection.retry_after().value_or(0ms), 0ms);
    }
    m_decisions.policy = settings::placement_policy::two_random_choices;
    EXPECT_NO_THROW(choose("counter", 4s)) << "baselines admit everything";
}

TEST_F(engine_choice_test, rejects_less_urgent_work_first_beyond_its_minimum_share)
{
    load_engines(30'000);
    EXPECT_NO_THROW(choose("counter", 8s));
    EXPECT_NO_THROW(choose("review", 30s)) << "review has used none of its minimum share";
    EXPECT_NO_THROW(choose("counter", 8s));
    EXPECT_THROW(choose("review", 30s), request_failure);
}

TEST_F(engine_choice_test, limits_the_concurrent_requests_of_an_account)
{
    auto first = choose("counter", 4s);
    const auto second = choose("counter", 4s);
    EXPECT_THROW(choose("counter", 4s), request_failure);
    first = {};
    EXPECT_NO_THROW(choose("counter", 4s));
}

// Engine e1 does only prefill; engine e2 has much prefill waiting.
class two_stage_choice_test : public engine_choice_test {
protected:
    two_stage_choice_test() { publish(true); }

    void publish(bool prefill_serves)
    {
        auto next = std::make_unique<routing::load_snapshot>();
        next->endpoints.resize(2);
        next->endpoints[0].role = routing::engine_role::prefill;
        next->endpoints[0].serving = prefill_serves;
        next->endpoints[1].others = {4, 20'000, 100};
        next->collect_prefill_engines();
        m_decisions.loads.replace(std::move(next));
    }

    chosen_endpoint choose_stage(const exported_prompt* exported, bool may_prefill = true)
    {
        request_context context;
        context.account = "desk";
        context.priority = "counter";
        context.deadline = std::chrono::steady_clock::now() + 8s;
        std::string body = R"({"model": "m", "prompt": ")";
        for (int i = 0; i < 600; ++i) {
            body += "w" + std::to_string(i) + " ";
        }
        body += R"("})";
        const endpoint_filter filter{{}, m_worker.breakers, std::chrono::steady_clock::now()};
        const engine_request wanted{context, "m", body, may_prefill, exported};
        return choose_engine(m_view, wanted, filter, m_worker);
    }

    const exported_prompt m_exported{"e1", "kv-1"};
};

TEST_F(two_stage_choice_test, charges_the_prefill_engine_with_the_prompt_only)
{
    const auto chosen = choose_stage(nullptr);
    EXPECT_EQ(chosen.name, "e1");
    EXPECT_TRUE(chosen.prefills);
    EXPECT_EQ(m_loads.get("e1")->prefill_tokens, 600U);
    EXPECT_EQ(m_loads.get("e1")->decode_tokens, 0U);
    EXPECT_EQ(routing::own_work(*m_loads.get("e2")).requests, 0);
}

TEST_F(two_stage_choice_test, charges_the_decode_engine_with_the_output_only)
{
    const auto chosen = choose_stage(&m_exported);
    EXPECT_EQ(chosen.name, "e2");
    EXPECT_FALSE(chosen.prefills);
    EXPECT_EQ(chosen.kv_source, "127.0.0.1:1/kv-1");
    EXPECT_EQ(m_loads.get("e2")->prefill_tokens, 0U);
    EXPECT_EQ(m_loads.get("e2")->decode_tokens, 40U);
}

TEST_F(two_stage_choice_test, does_not_use_the_cache_of_an_engine_that_stopped_serving)
{
    publish(false);
    const auto chosen = choose_stage(&m_exported);
    EXPECT_EQ(chosen.name, "e2");
    EXPECT_EQ(chosen.kv_source, "");
    EXPECT_EQ(m_loads.get("e2")->prefill_tokens, 600U);
}

TEST_F(two_stage_choice_test, does_not_split_a_request_that_must_stay_whole)
{
    EXPECT_EQ(choose_stage(nullptr, false).name, "e2");
    m_decisions.policy = settings::placement_policy::predicted_one_stage;
    EXPECT_EQ(choose_stage(nullptr).name, "e2");
}

TEST_F(two_stage_choice_test, the_account_counts_a_two_stage_request_once_until_it_ends)
{
    auto first = choose_stage(nullptr);
    auto second = choose_stage(&m_exported);
    first.charge.move_account_slot_to(second.charge);
    first = {};
    const auto other = choose_stage(nullptr);
    EXPECT_THROW(choose_stage(nullptr), request_failure) << "two requests are in flight";
    second = {};
    EXPECT_NO_THROW(choose_stage(nullptr));
}

TEST_F(two_stage_choice_test, learns_the_speed_of_a_prefill_engine_from_its_prefills)
{
    auto chosen = choose_stage(nullptr);
    const auto load = m_loads.get("e1");
    chosen.charge.record_prefill_end(std::chrono::steady_clock::now() + 1s);
    EXPECT_GT(load->correction, 1.0F);
    EXPECT_EQ(load->prefill_tokens, 0U);
}

} // namespace
} // namespace cicadaport::entry
