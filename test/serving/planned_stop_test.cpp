#include "cicadaport/serving/planned_stop.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1'000s};

class planned_stop_schedule_test : public ::testing::Test {
protected:
    planned_stop stop{start, 8s, 2'600ms};
};

TEST_F(planned_stop_schedule_test, connections_are_accepted_until_none_arrives_any_longer)
{
    EXPECT_FALSE(stop.is_time_to_close(start + 2'599ms, start));
    EXPECT_TRUE(stop.is_time_to_close(start + 2'600ms, start + 2'450ms));
    EXPECT_FALSE(stop.is_time_to_close(start + 2'600ms, start + 2'451ms));
    EXPECT_TRUE(stop.is_time_to_close(start + 2'800ms, start + 2'799ms));
}

TEST_F(planned_stop_schedule_test, takes_on_the_first_requests_of_accepted_connections)
{
    EXPECT_TRUE(stop.admits(start + 2'700ms, start + 60s));
    stop.record_close(start + 2'800ms);
    EXPECT_TRUE(stop.admits(start + 2'899ms, start + 60s));
    EXPECT_FALSE(stop.admits(start + 2'900ms, start + 60s));
}

TEST_F(planned_stop_schedule_test, takes_on_no_late_request_when_the_host_notices_late)
{
    EXPECT_FALSE(stop.admits(start + 2'900ms, start + 60s)) << "not closed yet";
    stop.record_close(start + 2'950ms);
    EXPECT_FALSE(stop.admits(start + 2'960ms, start + 60s));
}

TEST_F(planned_stop_schedule_test, a_short_grace_time_leaves_time_for_answers)
{
    const planned_stop brief{start, 2s, 2'600ms};
    EXPECT_GE(brief.ends_at(), start + 2'000ms * 5 / 6) << "a cut in the last sixth is excused";
    EXPECT_GT(brief.exits_at(), brief.ends_at());
    EXPECT_LT(brief.exits_at(), start + 2s);
    EXPECT_FALSE(brief.is_time_to_close(start + 1s, start));
    EXPECT_TRUE(brief.is_time_to_close(start + 1'200ms, start));
}

// Guards against requests that waited behind the last answers being taken on when the host ends.
TEST_F(planned_stop_schedule_test, takes_on_nothing_once_the_host_ends)
{
    const planned_stop brief{start, 1s, 2'600ms};
    EXPECT_TRUE(brief.admits(brief.ends_at() - 1ms, start + 60s));
    EXPECT_FALSE(brief.admits(brief.ends_at(), start + 60s));
}

TEST_F(planned_stop_schedule_test, takes_on_late_requests_that_end_before_the_host)
{
    stop.record_close(start + 2'800ms);
    EXPECT_TRUE(stop.admits(start + 5s, stop.ends_at()));
    EXPECT_FALSE(stop.admits(start + 5s, stop.ends_at() + 1ms));
    EXPECT_LT(stop.ends_at(), start + 8s);
}

} // namespace
} // namespace cicadaport::serving
