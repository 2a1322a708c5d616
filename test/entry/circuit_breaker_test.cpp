#include "cicadaport/entry/circuit_breaker.h"

#include "cicadaport/entry/retry_budget.h"

#include <gtest/gtest.h>

namespace cicadaport::entry {
namespace {

using namespace std::chrono_literals;

constexpr circuit_breaker::time_point start{};

class circuit_breaker_test : public testing::Test {
protected:
    void fail_often()
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

TEST_F(circuit_breaker_test, opens_after_failures_in_a_row)
{
    fail_often();
    EXPECT_EQ(count_allowed(8, start), 0);
}

TEST_F(circuit_breaker_test, lets_a_growing_share_through_when_its_time_is_over)
{
    fail_often();
    const auto later = start + 1s;
    EXPECT_EQ(count_allowed(8, later), 1);
    m_breaker.record_success();
    EXPECT_EQ(count_allowed(8, later), 2);
    m_breaker.record_success();
    m_breaker.record_success();
    EXPECT_EQ(count_allowed(8, later), 8);
}

TEST_F(circuit_breaker_test, a_failure_on_return_opens_it_for_longer)
{
    fail_often();
    m_breaker.record_failure(start + 600ms);
    EXPECT_EQ(count_allowed(8, start + 1'500ms), 0);
    EXPECT_EQ(count_allowed(8, start + 1'700ms), 1);
}

TEST(retry_budget_test, grants_one_retry_for_ten_first_tries)
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
