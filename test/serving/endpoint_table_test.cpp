#include "cicadaport/serving/endpoint_table.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

endpoint_report report(const std::string& id, std::int64_t incarnation, std::int64_t sequence)
{
    endpoint_report out;
    out.id = id;
    out.service = "s";
    out.address = {"127.0.0.1", 80};
    out.incarnation = incarnation;
    out.sequence = sequence;
    return out;
}

TEST(endpoint_table_test, lists_reported_replicas)
{
    endpoint_table table;
    table.apply(report("a", 1, 1), start);
    ASSERT_EQ(table.serving("s").size(), 1U);
    EXPECT_EQ(table.serving("s")[0]->report.id, "a");
    EXPECT_TRUE(table.serving("other").empty());
}

TEST(endpoint_table_test, distinguishes_changes_from_repeated_reports)
{
    endpoint_table table;
    EXPECT_TRUE(table.apply(report("a", 1, 1), start)) << "a new replica";
    EXPECT_FALSE(table.apply(report("a", 1, 2), start));
    EXPECT_FALSE(table.apply(report("a", 1, 1), start)) << "an old report";
    auto other_stage = report("a", 1, 3);
    other_stage.stage = engine_stage::prefill;
    EXPECT_TRUE(table.apply(other_stage, start));
    auto leaving = report("a", 1, 4);
    leaving.leaving = true;
    EXPECT_TRUE(table.apply(leaving, start));
    leaving.sequence = 5;
    EXPECT_FALSE(table.apply(leaving, start)) << "it is known to be leaving";
    EXPECT_TRUE(table.apply(report("a", 2, 1), start)) << "a restart";
    EXPECT_TRUE(table.remove("a", start));
    EXPECT_FALSE(table.remove("a", start));
    EXPECT_TRUE(table.apply(report("a", 2, 2), start)) << "listed again after a removal";
}

TEST(endpoint_table_test, an_old_report_does_not_add_a_leaving_replica_again)
{
    endpoint_table table;
    table.apply(report("a", 1, 5), start);
    auto leaving = report("a", 1, 6);
    leaving.leaving = true;
    table.apply(leaving, start);
    EXPECT_TRUE(table.serving("s").empty());
    table.apply(report("a", 1, 4), start);
    EXPECT_TRUE(table.serving("s").empty()) << "older than what is known";
    table.apply(report("a", 1, 7), start);
    EXPECT_TRUE(table.serving("s").empty()) << "the incarnation has reported that it is leaving";
}

TEST(endpoint_table_test, a_replicas_own_leaving_notice_overrides_the_platforms_list)
{
    endpoint_table table;
    table.apply(report("a", 1, 1), start);
    EXPECT_TRUE(table.note_leaving("a", 1, start));
    EXPECT_FALSE(table.note_leaving("a", 1, start)) << "already known";
    EXPECT_TRUE(table.serving("s").empty());
    table.apply(report("a", 1, 2), start + 1s);
    EXPECT_TRUE(table.serving("s").empty()) << "the platform's list lags behind";
    table.apply(report("a", 2, 1), start + 2s);
    EXPECT_EQ(table.serving("s").size(), 1U) << "another incarnation is another replica";
    EXPECT_FALSE(table.note_leaving("a", 1, start + 2s))
        << "a response of the previous incarnation";
    EXPECT_EQ(table.serving("s").size(), 1U);
}

TEST(endpoint_table_test, a_restart_under_the_same_id_is_another_replica)
{
    endpoint_table table;
    table.apply(report("a", 1, 50), start);
    const auto before = table.serving("s")[0];
    table.apply(report("a", 2, 1), start);
    ASSERT_EQ(table.serving("s").size(), 1U);
    EXPECT_NE(table.serving("s")[0], before);
    EXPECT_TRUE(before->gone);
}

TEST(endpoint_table_test, a_removed_replica_comes_back_with_its_next_report)
{
    endpoint_table table;
    table.apply(report("a", 1, 5), start);
    table.remove("a", start);
    EXPECT_TRUE(table.serving("s").empty());
    table.apply(report("a", 1, 6), start + 1s);
    EXPECT_EQ(table.serving("s").size(), 1U);
}

TEST(endpoint_table_test, returns_removed_replicas_once)
{
    endpoint_table table;
    table.apply(report("a", 1, 1), start);
    table.remove("a", start);
    const auto dropped = table.take_dropped();
    ASSERT_EQ(dropped.size(), 1U);
    EXPECT_EQ(dropped[0]->report.id, "a");
    EXPECT_TRUE(table.take_dropped().empty());
}

TEST(endpoint_table_test, a_complete_list_removes_what_it_does_not_name)
{
    endpoint_table table;
    table.apply(report("a", 1, 1), start);
    table.apply(report("b", 1, 1), start);
    table.keep_only({"b", "c"}, start);
    EXPECT_EQ(table.find("a"), nullptr);
    EXPECT_NE(table.find("b"), nullptr);
}

TEST(endpoint_table_test, a_replica_that_moves_to_another_service_leaves_the_first)
{
    endpoint_table table;
    table.apply(report("a", 1, 1), start);
    auto moved = report("a", 1, 2);
    moved.service = "t";
    table.apply(moved, start);
    EXPECT_TRUE(table.serving("s").empty());
    EXPECT_EQ(table.serving("t").size(), 1U);
}

TEST(endpoint_table_test, defers_reports_of_services_that_are_not_named)
{
    endpoint_table table;
    table.name_services({"s"}, start);
    table.apply(report("a", 1, 1), start);
    auto other = report("a", 1, 9);
    other.service = "t";
    EXPECT_FALSE(table.apply(other, start));
    EXPECT_FALSE(table.apply(report("a", 1, 2), start));
    EXPECT_EQ(table.serving("s").size(), 1U);
    EXPECT_EQ(table.find("a")->report.sequence, 2) << "the replica's own reports are not older";
}

TEST(endpoint_table_test, applies_the_newest_deferred_report_once_its_service_is_named)
{
    endpoint_table table;
    table.name_services({}, start);
    table.apply(report("a", 1, 1), start);
    table.apply(report("b", 1, 1), start);
    table.apply(report("a", 2, 1), start);
    EXPECT_EQ(table.deferred_count(), 2U);
    table.remove("b", start);
    EXPECT_EQ(table.name_services({"s"}, start).size(), 1U);
    ASSERT_EQ(table.serving("s").size(), 1U);
    EXPECT_EQ(table.serving("s")[0]->report.incarnation, 2);
    EXPECT_EQ(table.deferred_count(), 0U);
}

} // namespace
} // namespace cicadaport::serving
