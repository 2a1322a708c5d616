#include "safeguard_off.h"
#include "service_fixture.h"

#include <future>

namespace cicadaport::entry {
namespace {

using base::safeguard;
using base::safeguard_off;

class service_call_test : public testing::Test {
protected:
    service m_service;
    handler_server<standins::log_service> m_log;
    served_claims m_first_claims{m_log.address()};
    served_claims m_second_claims{m_log.address()};
    std::string m_configuration = test_configuration({}, {m_service.address()});
    // Both replicas record their runs together.
    std::string m_two_replicas = test_configuration({}, {m_service.address(), m_service.address()});
    served_gateway m_first{m_configuration, settings::completion_path::resumable,
                           m_first_claims.get()};
    served_gateway m_second{m_configuration, settings::completion_path::resumable,
                            m_second_claims.get()};

    std::size_t runs() const { return run_count(m_service.address()); }

    // Sends concurrent calls with one key through both processes. Returns the
    // bodies of the answers.
    std::set<std::string> call_concurrently(const std::string& key, std::size_t callers) const
    {
        inject_fault(m_service.address(), "late_ms=100");
        std::vector<std::future<http::response>> replies;
        for (std::size_t i = 0; i < callers; ++i) {
            const auto to = i % 2 == 0 ? m_first.address() : m_second.address();
            replies.push_back(std::async(std::launch::async,
                                         [to, key] { return exchange(to, keyed_call(key)); }));
        }
        std::set<std::string> bodies;
        for (auto& each : replies) {
            const auto reply = each.get();
            EXPECT_EQ(reply.status, 200U);
            bodies.insert(reply.body);
        }
        return bodies;
    }
};

TEST_F(service_call_test, a_call_without_key_is_never_sent_again_once_it_may_have_run)
{
    inject_fault(m_service.address(), "lose_answers=1");
    const auto reply = exchange(m_first.address(), caller_request("POST", "/confirm", "order 17"));
    EXPECT_EQ(reply.status, 502U);
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, an_idempotent_call_is_sent_again_when_its_answer_is_lost)
{
    inject_fault(m_service.address(), "lose_answers=1");
    const auto reply = exchange(m_first.address(), caller_request("GET", "/stock", ""));
    EXPECT_EQ(reply.status, 200U);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, a_call_that_was_refused_is_sent_to_another_replica)
{
    const service refusing;
    inject_fault(refusing.address(), "refuse=true");
    const served_gateway gateway{test_configuration({}, {refusing.address(), m_service.address()})};
    constexpr std::size_t calls = 10;
    for (std::size_t i = 0; i < calls; ++i) {
        const auto reply = exchange(gateway.address(), caller_request("POST", "/confirm", "x"));
        EXPECT_EQ(reply.status, 200U);
    }
    EXPECT_EQ(runs(), calls);
}

TEST_F(service_call_test, a_refused_call_reports_not_run_and_did_not_run)
{
    inject_fault(m_service.address(), "refuse=true");
    const auto reply = exchange(m_first.address(), caller_request("POST", "/confirm", "x"));
    EXPECT_EQ(reply.fields.find(verdict_field), "not_run");
    EXPECT_TRUE(reply.fields.find("Retry-After"));
    EXPECT_EQ(runs(), 0U);
}

TEST_F(service_call_test, the_same_key_through_another_entry_process_gets_the_first_answer)
{
    const auto first = exchange(m_first.address(), keyed_call("k1"));
    const auto second = exchange(m_second.address(), keyed_call("k1"));
    EXPECT_EQ(first.status, 200U);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(second.fields.find("Cicadaport-Replayed"), "true");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, without_a_key_two_calls_run_twice)
{
    exchange(m_first.address(), caller_request("POST", "/confirm", "order 17"));
    exchange(m_second.address(), caller_request("POST", "/confirm", "order 17"));
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, calls_with_one_key_at_the_same_time_run_once_and_get_one_answer)
{
    const auto bodies = call_concurrently("k2", 8);
    EXPECT_EQ(bodies.size(), 1U);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, a_key_whose_first_run_has_no_known_answer_is_not_run_again)
{
    inject_fault(m_service.address(), "lose_answers=1");
    const auto first = exchange(m_first.address(), keyed_call("k3"));
    EXPECT_EQ(first.fields.find(verdict_field), "may_have_run");
    const auto second = exchange(m_second.address(), keyed_call("k3"));
    EXPECT_EQ(second.status, 409U);
    EXPECT_EQ(second.fields.find(verdict_field), "may_have_run");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, a_key_whose_run_was_refused_can_be_used_again)
{
    inject_fault(m_service.address(), "refuse=true");
    EXPECT_EQ(exchange(m_first.address(), keyed_call("k4")).fields.find(verdict_field), "not_run");
    inject_fault(m_service.address(), "refuse=false");
    EXPECT_EQ(exchange(m_first.address(), keyed_call("k4")).status, 200U);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, a_key_belongs_to_its_account)
{
    exchange(m_first.address(), keyed_call("k5"));
    const auto other = exchange(m_first.address(), keyed_call("k5", "order 17", "other-key"));
    EXPECT_FALSE(other.fields.find("Cicadaport-Replayed"));
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, a_key_with_another_body_is_refused)
{
    exchange(m_first.address(), keyed_call("k6"));
    const auto reply = exchange(m_second.address(), keyed_call("k6", "order 18"));
    EXPECT_EQ(reply.status, 422U);
    EXPECT_EQ(reply.fields.find(verdict_field), "not_run");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, a_route_that_requires_a_key_refuses_calls_without)
{
    EXPECT_EQ(exchange(m_first.address(), caller_request("POST", "/must", "x")).status, 400U);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(service_call_test, a_key_older_than_the_claim_retention_is_refused)
{
    const auto reply =
        exchange(m_first.address(), keyed_call("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"));
    EXPECT_EQ(reply.status, 410U);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(service_call_test, a_log_outage_refuses_keyed_calls_and_no_others)
{
    inject_fault(m_log.address(), "outage=true");
    const auto refused = exchange(m_first.address(), keyed_call("k7"));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.fields.find(verdict_field), "not_run");
    EXPECT_TRUE(refused.fields.find("Retry-After"));
    EXPECT_EQ(runs(), 0U);
    EXPECT_EQ(exchange(m_first.address(), caller_request("POST", "/confirm", "x")).status, 200U);
    inject_fault(m_log.address(), "outage=false");
    EXPECT_EQ(exchange(m_first.address(), keyed_call("k7")).status, 200U);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, a_lost_answer_of_the_log_is_read_back)
{
    inject_fault(m_log.address(), "lose_answers=1");
    EXPECT_EQ(exchange(m_first.address(), keyed_call("k8")).status, 200U);
    EXPECT_EQ(runs(), 1U);
}

// Each test below shows the failure that one safeguard prevents.

TEST_F(service_call_test, without_a_configuration_no_key_is_reported_as_unknown)
{
    const served_gateway starting{
        "endpoints: []\n", settings::completion_path::resumable, nullptr, {}, 0};
    const auto reply = exchange(starting.address(), caller_request("POST", "/confirm", "x"));
    EXPECT_EQ(reply.status, 503U);
    EXPECT_EQ(reply.fields.find(verdict_field), "not_run");
    EXPECT_TRUE(reply.fields.find("Retry-After"));
}

TEST_F(service_call_test, a_call_with_a_lost_answer_is_not_retried_at_another_replica)
{
    const served_gateway gateway{m_two_replicas};
    inject_fault(m_service.address(), "lose_answers=1");
    const auto reply = exchange(gateway.address(), caller_request("POST", "/confirm", "order 17"));
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, without_the_verdict_a_lost_answer_makes_a_call_run_again)
{
    const safeguard_off without{safeguard::verdict};
    const served_gateway gateway{m_two_replicas};
    inject_fault(m_service.address(), "lose_answers=1");
    const auto reply = exchange(gateway.address(), caller_request("POST", "/confirm", "order 17"));
    EXPECT_EQ(reply.status, 200U);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, without_the_verdict_calls_that_ran_are_reported_as_not_run)
{
    const safeguard_off without{safeguard::verdict};
    const served_gateway gateway{m_two_replicas};
    inject_fault(m_service.address(), "lose_answers=100");
    const auto reply = exchange(gateway.address(), caller_request("POST", "/confirm", "order 17"));
    EXPECT_EQ(reply.fields.find(verdict_field), "not_run");
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, without_claims_calls_with_one_key_run_once_each)
{
    const safeguard_off without{safeguard::claim};
    EXPECT_EQ(call_concurrently("k2", 8).size(), 8U);
    EXPECT_EQ(runs(), 8U);
}

TEST_F(service_call_test, without_the_check_of_the_request_another_one_gets_the_first_answer)
{
    const safeguard_off without{safeguard::claimed_request};
    const auto first = exchange(m_first.address(), keyed_call("k6"));
    const auto reply = exchange(m_second.address(), keyed_call("k6", "order 18"));
    EXPECT_EQ(reply.status, 200U);
    EXPECT_EQ(reply.body, first.body);
}

TEST_F(service_call_test, without_the_age_check_an_expired_key_runs)
{
    const safeguard_off without{safeguard::key_age};
    exchange(m_first.address(), keyed_call("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"));
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, without_a_confirmed_claim_a_key_runs_again_after_an_outage)
{
    const safeguard_off without{safeguard::confirmed_claim};
    inject_fault(m_log.address(), "outage=true");
    EXPECT_EQ(exchange(m_first.address(), keyed_call("k7")).status, 200U);
    inject_fault(m_log.address(), "outage=false");
    EXPECT_EQ(exchange(m_second.address(), keyed_call("k7")).status, 200U);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, without_reading_back_a_lost_answer_of_the_log_refuses_the_call)
{
    const safeguard_off without{safeguard::read_back};
    inject_fault(m_log.address(), "lose_answers=1");
    EXPECT_EQ(exchange(m_first.address(), keyed_call("k8")).status, 503U);
    EXPECT_EQ(runs(), 0U);
}

} // namespace
} // namespace cicadaport::entry
