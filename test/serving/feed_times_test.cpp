#include "cicadaport/serving/feed_times.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

TEST(feed_times_test, recovery_leaves_time_for_a_read_within_the_contact_bound)
{
    for (const auto contact : {1'000ms, 1'500ms, 3'000ms, 10'000ms}) {
        const auto times = feed_times::within(500ms, 2'000ms, contact);
        EXPECT_LE(times.max_recovery_time(), contact * 3 / 4) << contact.count();
    }
}

TEST(feed_times_test, one_lost_call_fits_into_the_in_force_bound)
{
    for (const auto in_force : {1'200ms, 2'000ms, 9'000ms}) {
        const auto interval = in_force / 4;
        const auto times = feed_times::within(interval, in_force, 3'000ms);
        const auto spread = interval / 4;
        EXPECT_LT(interval + spread + times.response_timeout + 2 * feed_times::initial_backoff,
                  in_force)
            << in_force.count();
    }
}

TEST(feed_times_test, the_response_timeout_allows_for_a_slow_store_whatever_the_bounds_are)
{
    const auto times = feed_times::within(25ms, 100ms, 100ms);
    EXPECT_GE(times.response_timeout, feed_times::min_response_timeout);
    EXPECT_GE(times.max_backoff, feed_times::initial_backoff);
}

} // namespace
} // namespace cicadaport::serving
