#include "cicadaport/claims/claim_store.h"
#include "cicadaport/standins/log_service.h"
#include "path_fixture.h"

#include <future>

namespace cicadaport::entry {
namespace {

using service = served<standins::plain_service>;

// Claims of one entry process.
class served_claims {
public:
    explicit served_claims(const http::address& log)
        : m_store{m_pool.context(0), log}, m_thread{[this] { m_pool.run(); }}
    {
    }
    ~served_claims() { m_pool.stop(); }
    served_claims(const served_claims&) = delete;
    served_claims& operator=(const served_claims&) = delete;

    claims::claim_store* get() { return &m_store; }

private:
    base::io_pool m_pool{1};
    claims::claim_store m_store;
    std::jthread m_thread;
};

class service_call_test : public testing::Test {
protected:
    service m_service;
    served<standins::log_service> m_log;
    served_claims m_first_claims{m_log.address()};
    served_claims m_second_claims{m_log.address()};
    std::string m_configuration = test_configuration({}, {m_service.address()});
    served_gateway m_first{m_configuration, settings::completion_path::resumable,
                           m_first_claims.get()};
    served_gateway m_second{m_configuration, settings::completion_path::resumable,
                            m_second_claims.get()};

    std::size_t runs() const
    {
        const auto list = exchange(m_service.address(), {"GET", "/v1/runs", {}, {}});
        return nlohmann::json::parse(list.body)["runs"].size();
    }

    static http::request keyed(const std::string& key, const std::string& body = "order 17",
                               const std::string& account = "desk-key")
    {
        auto out = caller_request("POST", "/confirm", body, account);
        out.fields.add("Idempotency-Key", key);
        return out;
    }
};

TEST_F(service_call_test, a_call_without_key_is_never_sent_again_once_it_may_have_run)
{
    order_fault(m_service.address(), "lose_answers=1");
    const auto reply = exchange(m_first.address(), caller_request("POST", "/confirm", "order 17"));
    EXPECT_EQ(reply.status, 502U);
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, an_idempotent_call_is_sent_again_when_its_answer_is_lost)
{
    order_fault(m_service.address(), "lose_answers=1");
    const auto reply = exchange(m_first.address(), caller_request("GET", "/stock", ""));
    EXPECT_EQ(reply.status, 200U);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, a_call_that_was_refused_is_sent_to_another_replica)
{
    const service refusing;
    order_fault(refusing.address(), "refuse=true");
    const served_gateway gateway{test_configuration({}, {refusing.address(), m_service.address()})};
    constexpr std::size_t calls = 10;
    for (std::size_t i = 0; i < calls; ++i) {
        const auto reply = exchange(gateway.address(), caller_request("POST", "/confirm", "x"));
        EXPECT_EQ(reply.status, 200U);
    }
    EXPECT_EQ(runs(), calls);
}

TEST_F(service_call_test, a_refusal_says_not_run_and_is_true)
{
    order_fault(m_service.address(), "refuse=true");
    const auto reply = exchange(m_first.address(), caller_request("POST", "/confirm", "x"));
    EXPECT_EQ(reply.fields.find(verdict_field), "not_run");
    EXPECT_TRUE(reply.fields.find("Retry-After"));
    EXPECT_EQ(runs(), 0U);
}

TEST_F(service_call_test, the_same_key_through_another_entry_process_gets_the_first_answer)
{
    const auto first = exchange(m_first.address(), keyed("k1"));
    const auto second = exchange(m_second.address(), keyed("k1"));
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
    order_fault(m_service.address(), "late_ms=100");
    constexpr std::size_t callers = 8;
    std::vector<std::future<http::response>> replies;
    for (std::size_t i = 0; i < callers; ++i) {
        const auto to = i % 2 == 0 ? m_first.address() : m_second.address();
        replies.push_back(
            std::async(std::launch::async, [to] { return exchange(to, keyed("k2")); }));
    }
    std::set<std::string> bodies;
    for (auto& each : replies) {
        const auto reply = each.get();
        EXPECT_EQ(reply.status, 200U);
        bodies.insert(reply.body);
    }
    EXPECT_EQ(bodies.size(), 1U);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, a_key_whose_first_run_has_no_known_answer_is_not_run_again)
{
    order_fault(m_service.address(), "lose_answers=1");
    const auto first = exchange(m_first.address(), keyed("k3"));
    EXPECT_EQ(first.fields.find(verdict_field), "may_have_run");
    const auto second = exchange(m_second.address(), keyed("k3"));
    EXPECT_EQ(second.status, 409U);
    EXPECT_EQ(second.fields.find(verdict_field), "may_have_run");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, a_key_whose_run_was_refused_can_be_used_again)
{
    order_fault(m_service.address(), "refuse=true");
    EXPECT_EQ(exchange(m_first.address(), keyed("k4")).fields.find(verdict_field), "not_run");
    order_fault(m_service.address(), "refuse=false");
    EXPECT_EQ(exchange(m_first.address(), keyed("k4")).status, 200U);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, a_key_belongs_to_its_account)
{
    exchange(m_first.address(), keyed("k5"));
    const auto other = exchange(m_first.address(), keyed("k5", "order 17", "other-key"));
    EXPECT_FALSE(other.fields.find("Cicadaport-Replayed"));
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, a_key_with_another_body_is_refused)
{
    exchange(m_first.address(), keyed("k6"));
    const auto reply = exchange(m_second.address(), keyed("k6", "order 18"));
    EXPECT_EQ(reply.status, 422U);
    EXPECT_EQ(reply.fields.find(verdict_field), "not_run");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(service_call_test, a_route_that_requires_a_key_refuses_calls_without)
{
    EXPECT_EQ(exchange(m_first.address(), caller_request("POST", "/must", "x")).status, 400U);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(service_call_test, a_key_that_says_it_is_older_than_claims_are_kept_is_refused)
{
    const auto reply = exchange(m_first.address(), keyed("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"));
    EXPECT_EQ(reply.status, 410U);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(service_call_test, a_log_outage_refuses_keyed_calls_and_no_others)
{
    order_fault(m_log.address(), "outage=true");
    const auto refused = exchange(m_first.address(), keyed("k7"));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.fields.find(verdict_field), "not_run");
    EXPECT_TRUE(refused.fields.find("Retry-After"));
    EXPECT_EQ(runs(), 0U);
    EXPECT_EQ(exchange(m_first.address(), caller_request("POST", "/confirm", "x")).status, 200U);
    order_fault(m_log.address(), "outage=false");
    EXPECT_EQ(exchange(m_first.address(), keyed("k7")).status, 200U);
    EXPECT_EQ(runs(), 2U);
}

TEST_F(service_call_test, a_lost_answer_of_the_log_is_read_back)
{
    order_fault(m_log.address(), "lose_answers=1");
    EXPECT_EQ(exchange(m_first.address(), keyed("k8")).status, 200U);
    EXPECT_EQ(runs(), 1U);
}

} // namespace
} // namespace cicadaport::entry
