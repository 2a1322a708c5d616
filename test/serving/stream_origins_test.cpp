#include "cicadaport/serving/stream_origins.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{1'000s};
const std::vector<service_share> one_service{{"s", 1}};

endpoint_report replica(const std::string& id, const std::string& version,
                        const std::string& service = "s")
{
    endpoint_report out;
    out.id = id;
    out.service = service;
    out.version = version;
    return out;
}

class stream_origins_test : public ::testing::Test {
protected:
    void list(const endpoint_report& report, time_point now)
    {
        table.apply(report, now);
        origins.note_report(report, now);
        origins.update(table, now);
    }

    void remove(const std::string& id, time_point now)
    {
        table.remove(id, now);
        origins.update(table, now);
    }

    endpoint_table table;
    stream_origins origins;
};

TEST_F(stream_origins_test, an_origin_is_a_version_of_one_service)
{
    EXPECT_EQ(origin_of(replica("a", "v1")), origin_of(replica("b", "v1")));
    EXPECT_NE(origin_of(replica("a", "v1")), origin_of(replica("a", "v2")));
    EXPECT_NE(origin_of(replica("a", "v1", "s")), origin_of(replica("a", "v1", "t")));
    EXPECT_NE(origin_of(replica("a", "1", "sv")), origin_of(replica("a", "v1", "s")));
}

TEST_F(stream_origins_test, the_only_listed_version_is_the_only_origin)
{
    list(replica("a", "v1"), start);
    list(replica("b", "v1"), start);
    EXPECT_EQ(origins.only_origin(one_service, start), origin_of(replica("a", "v1")));
}

TEST_F(stream_origins_test, a_version_that_has_left_may_have_begun_streams_for_the_retention)
{
    list(replica("a", "v1"), start);
    list(replica("b", "v2"), start + 1s);
    remove("a", start + 2s);
    const auto end = start + 2s + stream_origins::min_retention;
    EXPECT_EQ(origins.only_origin(one_service, end), std::nullopt);
    EXPECT_EQ(origins.only_origin(one_service, end + 1ms), origin_of(replica("b", "v2")));
}

TEST_F(stream_origins_test, a_version_that_was_listed_between_two_looks_is_known)
{
    list(replica("a", "v1"), start);
    auto leaving = replica("b", "v2");
    leaving.leaving = true;
    list(leaving, start + 1s);
    EXPECT_EQ(origins.only_origin(one_service, start + 1s), std::nullopt);
}

TEST_F(stream_origins_test, versions_that_other_hosts_have_seen_count)
{
    list(replica("a", "v1"), start);
    origins.note_version({number_of_service("s"), origin_of(replica("b", "v2"))}, start);
    EXPECT_EQ(origins.only_origin(one_service, start), std::nullopt);
    EXPECT_EQ(origins.only_origin(one_service, start + stream_origins::min_retention + 1ms),
              origin_of(replica("a", "v1")));
}

TEST_F(stream_origins_test, streams_of_a_route_to_two_services_have_no_only_origin)
{
    list(replica("a", "v1", "s"), start);
    list(replica("b", "v1", "t"), start);
    const std::vector<service_share> both{{"s", 1}, {"t", 1}};
    EXPECT_EQ(origins.only_origin(both, start), std::nullopt);
    EXPECT_EQ(origins.only_origin(one_service, start), origin_of(replica("a", "v1")));
}

TEST_F(stream_origins_test, the_history_is_whole_after_the_retention_or_when_confirmed)
{
    EXPECT_FALSE(origins.has_whole_history(start));
    origins.restart_history(start);
    EXPECT_FALSE(origins.has_whole_history(start + stream_origins::min_retention - 1ms));
    EXPECT_TRUE(origins.has_whole_history(start + stream_origins::min_retention));
    origins.restart_history(start + 60s);
    EXPECT_FALSE(origins.has_whole_history(start + 61s));
    origins.confirm_history(start + 61s);
    EXPECT_TRUE(origins.has_whole_history(start + 61s));
}

TEST_F(stream_origins_test, streams_are_kept_for_as_long_as_a_request_may_take)
{
    origins.set_longest_request(30s);
    origins.record({1, 7}, start);
    origins.forget_old(start + 30s);
    EXPECT_EQ(origins.find(1), 7U);
    origins.forget_old(start + 30s + stream_origins::max_view_age + 1ms);
    EXPECT_EQ(origins.find(1), std::nullopt);
}

TEST_F(stream_origins_test, the_first_record_of_a_stream_stays)
{
    EXPECT_TRUE(origins.record({1, 7}, start));
    EXPECT_FALSE(origins.record({1, 8}, start));
    EXPECT_EQ(origins.find(1), 7U);
}

TEST_F(stream_origins_test, the_number_of_recorded_streams_is_bounded)
{
    for (stream_number stream = 0; stream <= stream_origins::max_streams; ++stream) {
        origins.record({stream, 7}, start);
    }
    EXPECT_EQ(origins.size(), stream_origins::max_streams);
    EXPECT_EQ(origins.find(0), std::nullopt);
}

TEST_F(stream_origins_test, a_version_begins_streams_when_all_hosts_can_know_it)
{
    for (const auto* id : {"a", "b"}) {
        list(replica(id, "v1"), start);
    }
    for (const auto* id : {"c", "d"}) {
        list(replica(id, "v2"), start + 10s);
    }
    const std::set<std::string> recent{"c", "d"};
    EXPECT_EQ(origins.unfit_to_begin(table.serving("s"), start + 10s), recent);
    EXPECT_TRUE(
        origins.unfit_to_begin(table.serving("s"), start + 10s + stream_origins::settling_time)
            .empty());
}

// Regression: such a version began streams at once, and a host whose view of the list was a second
// old continued them on the other version.
TEST_F(stream_origins_test, a_recent_version_begins_no_streams_however_few_replicas_are_left)
{
    list(replica("a", "v1"), start);
    for (const auto* id : {"b", "c", "d"}) {
        list(replica(id, "v2"), start + 10s);
    }
    const std::set<std::string> recent{"b", "c", "d"};
    EXPECT_EQ(origins.unfit_to_begin(table.serving("s"), start + 10s), recent);
    const std::set<std::string> single{"a"};
    EXPECT_EQ(
        origins.unfit_to_begin(table.serving("s"), start + 10s + stream_origins::settling_time),
        single);
    remove("a", start + 11s);
    list(replica("e", "v3"), start + 11s);
    EXPECT_TRUE(origins.unfit_to_begin(table.serving("s"), start + 11s).empty())
        << "no other version is left";
}

// The only engine that could continue the streams of a version crashed.
TEST_F(stream_origins_test, a_version_begins_no_streams_if_no_second_replica_could_continue_them)
{
    for (const auto* id : {"a", "b", "c"}) {
        list(replica(id, "v1"), start);
    }
    auto prefilling = replica("d", "v2");
    prefilling.stage = engine_stage::prefill;
    list(prefilling, start);
    list(replica("e", "v2"), start);
    const std::set<std::string> single{"d", "e"};
    EXPECT_EQ(origins.unfit_to_begin(table.serving("s"), start + 1min), single);
    list(replica("f", "v2"), start);
    EXPECT_TRUE(origins.unfit_to_begin(table.serving("s"), start + 1min).empty());
}

TEST_F(stream_origins_test, all_versions_begin_streams_if_the_fit_ones_could_not_carry_the_load)
{
    list(replica("a", "v1"), start);
    EXPECT_TRUE(origins.unfit_to_begin(table.serving("s"), start + 1min).empty());
    list(replica("b", "v2"), start);
    EXPECT_TRUE(origins.unfit_to_begin(table.serving("s"), start + 1min).empty());
}

} // namespace
} // namespace cicadaport::serving
