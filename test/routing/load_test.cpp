#include "cicadaport/routing/load.h"

#include <gtest/gtest.h>

namespace cicadaport::routing {
namespace {

using namespace std::chrono_literals;

const report_history::time_point start{std::chrono::hours{1}};

TEST(report_history_test, subtracts_the_own_work_at_the_time_of_the_report)
{
    report_history history;
    history.record_own_work(start, {2, 100, 10});
    history.record_own_work(start + 1s, {9, 900, 90});
    history.record_report(start + 500ms, {5, 400, 30});
    EXPECT_EQ(history.others().requests, 3) << "own work sent later is not in the report";
    EXPECT_EQ(history.others().prefill_tokens, 300);
}

TEST(report_history_test, own_work_missing_from_a_report_gives_no_negative_work)
{
    report_history history;
    history.record_own_work(start, {4, 100, 10});
    history.record_report(start, {1, 0, 0});
    EXPECT_EQ(history.others().requests, 0);
}

TEST(report_history_test, uses_the_newer_of_report_and_announced_work)
{
    report_history history;
    history.record_report(start, {5, 0, 0});
    history.record_announced_work(start + 1s, {7, 0, 0});
    EXPECT_EQ(history.others().requests, 7);
    history.record_report(start + 2s, {6, 0, 0});
    EXPECT_EQ(history.others().requests, 6);
}

TEST(report_history_test, has_no_work_of_others_before_the_first_report)
{
    EXPECT_EQ(report_history{}.others().requests, 0);
}

TEST(load_table_test, gives_each_endpoint_a_stable_index)
{
    load_table loads;
    EXPECT_EQ(loads.get("b")->index, 0U);
    EXPECT_EQ(loads.get("a")->index, 1U);
    EXPECT_EQ(loads.get("b")->index, 0U);
}

TEST(load_table_test, lists_only_endpoints_with_work_in_flight)
{
    load_table loads;
    loads.get("idle");
    loads.get("busy")->requests = 2;
    const auto loaded = loads.work_in_flight();
    ASSERT_EQ(loaded.size(), 1U);
    EXPECT_EQ(loaded.front().endpoint, "busy");
    EXPECT_EQ(loaded.front().work.requests, 2);
}

} // namespace
} // namespace cicadaport::routing
