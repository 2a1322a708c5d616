#include "cicadaport/serving/attempt_budget.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

int acquire_all(attempt_budget& budget, time_point now)
{
    int count = 0;
    while (budget.try_acquire("s", now)) {
        ++count;
    }
    return count;
}

TEST(attempt_budget_test, grants_less_than_the_fleets_ratio_of_its_requests)
{
    attempt_budget budget{{0.2, 10s}};
    for (int request = 0; request < 100; ++request) {
        budget.count_request("s", start);
    }
    const auto granted = acquire_all(budget, start);
    EXPECT_GT(granted, 10);
    EXPECT_LE(granted, 20);
}

TEST(attempt_budget_test, an_idle_host_stays_within_its_share_of_the_smallest_known_allowance)
{
    // The smallest known deployment allows 216 retries for 88 hosts.
    attempt_budget budget{{0.2, 10s}};
    EXPECT_LE(acquire_all(budget, start), 216 / 88);
}

TEST(attempt_budget_test, forgets_what_is_older_than_the_window)
{
    attempt_budget budget{{0.2, 10s}};
    const auto first = acquire_all(budget, start);
    EXPECT_EQ(acquire_all(budget, start + 9s), 0);
    EXPECT_EQ(acquire_all(budget, start + 11s), first);
}

TEST(attempt_budget_test, counts_each_service_separately)
{
    attempt_budget budget{{0.2, 10s}};
    acquire_all(budget, start);
    EXPECT_TRUE(budget.try_acquire("t", start));
}

} // namespace
} // namespace cicadaport::serving
