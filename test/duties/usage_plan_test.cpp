#include "cicadaport/duties/usage_plan.h"

#include <gmock/gmock.h>

namespace cicadaport::duties {
namespace {

using namespace std::chrono_literals;
using kind = usage_verdict::kind;

// The end of window 1000.
constexpr time_of_day end{5'005s};

class usage_plan_test : public ::testing::Test {
protected:
    usage_plan_test()
    {
        view.rank = 0;
        view.last_done = 999;
        view.knows_newest = true;
        view.recorded_window = 999;
        view.is_record_delivered = true;
    }

    usage_verdict at(time_of_day when)
    {
        view.now = when;
        return plan.decide(view);
    }

    usage_plan plan{5s, 10s};
    usage_view view;
};

TEST_F(usage_plan_test, the_first_host_reports_a_window_some_seconds_after_its_end)
{
    EXPECT_EQ(at(end + 2'999ms).what, kind::nothing);
    const auto verdict = at(end + 3s);
    EXPECT_EQ(verdict.what, kind::report);
    EXPECT_EQ(verdict.window, 1'000U);
    EXPECT_EQ(verdict.until, end + 10s);
}

TEST_F(usage_plan_test, the_next_hosts_act_later_and_all_others_never)
{
    view.rank = 1;
    EXPECT_EQ(at(end + 4'499ms).what, kind::nothing);
    EXPECT_EQ(at(end + 4'500ms).what, kind::report);
    view.rank = 2;
    EXPECT_EQ(at(end + 5'999ms).what, kind::nothing);
    EXPECT_EQ(at(end + 6s).what, kind::report);
    view.rank = 3;
    EXPECT_EQ(at(end + 9s).what, kind::nothing);
}

TEST_F(usage_plan_test, a_window_that_was_reported_is_not_reported_again)
{
    view.last_done = 1'000;
    EXPECT_EQ(at(end + 4s).what, kind::nothing);
    EXPECT_EQ(at(end + 8s).window, 1'001U);
}

TEST_F(usage_plan_test, the_first_host_reads_at_the_end_of_the_window_and_others_when_they_act)
{
    view.knows_newest = false;
    EXPECT_EQ(at(end - 1ms).what, kind::nothing);
    EXPECT_EQ(at(end).what, kind::read);
    view.rank = 1;
    EXPECT_EQ(at(end + 4s).what, kind::nothing);
    EXPECT_EQ(at(end + 4'500ms).what, kind::read);
}

// Guards against a report that gets lost between its record and its call.
TEST_F(usage_plan_test, a_record_that_may_not_have_been_delivered_is_repeated_first)
{
    view.is_record_delivered = false;
    const auto verdict = at(end + 3s);
    EXPECT_EQ(verdict.what, kind::repeat);
    EXPECT_EQ(verdict.window, 999U);
    view.recorded_window = 1'000;
    EXPECT_EQ(at(end + 3s).what, kind::repeat);
    EXPECT_EQ(at(end + 3s).window, 1'000U);
}

// Guards against two reports of one window with different counts.
TEST_F(usage_plan_test, windows_up_to_the_last_recorded_one_are_never_reported_anew)
{
    view.recorded_window = 1'004;
    EXPECT_EQ(at(end + 9s).what, kind::nothing);
    const auto verdict = at(end + 28s);
    EXPECT_EQ(verdict.what, kind::report);
    EXPECT_EQ(verdict.window, 1'005U);
}

// Regression: a window was reported with other counts after the record of its report was lost.
TEST_F(usage_plan_test, windows_that_were_due_before_a_return_of_the_store_are_not_reported)
{
    view.last_done = 998;
    view.recorded_window = 998;
    view.complete_since = end + 2s;
    EXPECT_EQ(at(end + 4s).window, 1'001U) << "may have been reported by a host that is 1 s ahead";
    EXPECT_FALSE(plan.may_replace(1'000, true, view));
    view.complete_since = end + 2s - 1ms;
    EXPECT_EQ(at(end + 4s).window, 1'000U);
    EXPECT_TRUE(plan.may_replace(1'000, false, view));
    view.recorded_window = 999;
    view.is_record_delivered = false;
    EXPECT_EQ(at(end + 4s).what, kind::report) << "the record of an earlier window is not repeated";
}

TEST_F(usage_plan_test, windows_that_are_past_their_due_time_are_dropped)
{
    EXPECT_EQ(at(end + 10s - 1ms).first_open, 1'000U);
    const auto verdict = at(end + 10s);
    EXPECT_EQ(verdict.first_open, 1'001U);
    EXPECT_EQ(verdict.what, kind::report);
    EXPECT_EQ(verdict.window, 1'001U);
}

} // namespace
} // namespace cicadaport::duties
