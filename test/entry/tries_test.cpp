#include "safeguard_off.h"
#include "service_fixture.h"

namespace cicadaport::entry {
namespace {

using base::safeguard;
using base::safeguard_off;

// Returns the number of successful responses to `calls` sequential calls.
std::size_t answered(const http::address& by, const http::request& message, std::size_t calls)
{
    std::size_t out = 0;
    for (std::size_t i = 0; i < calls; ++i) {
        out += exchange(by, message).status == 200 ? 1 : 0;
    }
    return out;
}

// One of two replicas rejects every call.
class refusing_replica_test : public testing::Test {
protected:
    service m_good;
    service m_refusing;
    served_gateway m_gateway{test_configuration({}, {m_refusing.address(), m_good.address()})};
    static constexpr std::size_t calls = 100;

    void SetUp() override { inject_fault(m_refusing.address(), "refuse=true"); }
};

TEST_F(refusing_replica_test, fails_no_call_with_an_open_circuit)
{
    EXPECT_EQ(answered(m_gateway.address(), caller_request("POST", "/confirm", "x"), calls), calls);
}

TEST_F(refusing_replica_test, without_circuit_breakers_exhausts_the_retries_and_fails_calls)
{
    const safeguard_off without{safeguard::circuit_breaker};
    EXPECT_LT(answered(m_gateway.address(), caller_request("POST", "/confirm", "x"), calls), calls);
}

// Returns the number of calls that reach the first of two replicas.
std::size_t calls_at_first(const std::vector<std::string>& drained)
{
    const service first;
    const service second;
    const served_gateway gateway{test_configuration({}, {first.address(), second.address()}),
                                 settings::completion_path::resumable, nullptr, drained};
    constexpr std::size_t calls = 20;
    EXPECT_EQ(answered(gateway.address(), caller_request("POST", "/confirm", "x"), calls), calls);
    return run_count(first.address());
}

TEST(drained_replica_test, gets_no_call)
{
    EXPECT_EQ(calls_at_first({"replica-1"}), 0U);
}

TEST(drained_replica_test, gets_calls_when_not_drained)
{
    EXPECT_GT(calls_at_first({}), 0U);
}

// The only replica loses every response and circuit breakers are off, so that only the
// retry budget limits the retries.
class losing_replica_test : public testing::Test {
protected:
    service m_losing;
    served_gateway m_gateway{test_configuration({}, {m_losing.address()})};
    safeguard_off m_without_circuits{safeguard::circuit_breaker};
    static constexpr std::size_t calls = 100;

    void SetUp() override { inject_fault(m_losing.address(), "lose_answers=100000"); }
};

TEST_F(losing_replica_test, gets_at_most_a_tenth_more_than_the_first_attempts_plus_ten)
{
    answered(m_gateway.address(), caller_request("GET", "/stock", ""), calls);
    EXPECT_LE(run_count(m_losing.address()), calls + calls / 10 + 10);
}

TEST_F(losing_replica_test, without_the_retry_budget_gets_several_attempts_per_call)
{
    const safeguard_off without{safeguard::retry_budget};
    answered(m_gateway.address(), caller_request("GET", "/stock", ""), calls);
    EXPECT_GE(run_count(m_losing.address()), 2 * calls);
}

} // namespace
} // namespace cicadaport::entry
