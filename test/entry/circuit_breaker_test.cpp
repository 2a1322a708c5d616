#include "cicadaport/entry/circuit_breaker.h"

#include "cicadaport/entry/retry_budget.h"

#include <gtest/gtest.h>

namespace cicadaport::entry {
namespace {

using namespace std::chrono_literals;

constexpr circuit_breaker::time_point start{};

class circuit_breaker_test : public testing::Test {
protected:
    void open_circuit()
    {
        for (int i = 0; i < 3; ++i) {
            m_breaker.record_failure(start);
        }
    }

    int count_allowed(int requests, circuit_breaker::time_point now)
    {
        int out = 0;
        for (int i = 0; i < requests; ++i) {
            out += m_breaker.allows(now) ? 1 : 0;
        }
        return out;
    }

    circuit_breaker m_breaker;
};

TEST_F(circuit_breaker_test, stays_closed_after_a_single_failure)
{
    m_breaker.record_failure(start);
    EXPECT_EQ(count_allowed(8, start), 8);
}

TEST_F(circuit_breaker_test, opens_after_consecutive_failures)
{
    open_circuit();
    EXPECT_EQ(count_allowed(8, start), 0);
}

TEST_F(circuit_breaker_test, allows_a_growing_fraction_after_the_open_time)
{
    open_circuit();
    const auto later = start + 1s;
    EXPECT_EQ(count_allowed(8, later), 1);
    m_breaker.record_success();
    EXPECT_EQ(count_allowed(8, later), 2);
    m_breaker.record_success();
    m_breaker.record_success();
    EXPECT_EQ(count_allowed(8, later), 8);
}

TEST_F(circuit_breaker_test, a_failure_after_the_open_time_opens_it_for_longer)
{
    open_circuit();
    m_breaker.record_failure(start + 600ms);
    EXPECT_EQ(count_allowed(8, start + 1'500ms), 0);
    EXPECT_EQ(count_allowed(8, start + 1'700ms), 1);
}

TEST(retry_budget_test, grants_one_retry_for_ten_first_attempts)
{
    retry_budget budget;
    while (budget.take()) {
    }
    int granted = 0;
    for (int i = 0; i < 105; ++i) {
        budget.record_first_attempt();
        granted += budget.take() ? 1 : 0;
    }
    EXPECT_EQ(granted, 10);
}

} // namespace
} // namespace cicadaport::entry
