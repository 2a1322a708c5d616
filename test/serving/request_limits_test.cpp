#include "cicadaport/serving/request_limits.h"

#include <gmock/gmock.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

limit_statement named(double per_second, time_point request_sent_at = start)
{
    return {"i-1", 1, per_second, request_sent_at};
}

limit_statement not_named(time_point request_sent_at)
{
    return {"i-1", 1, std::nullopt, request_sent_at};
}

TEST(request_limits_test, a_limit_lasts_until_a_later_request_is_answered_without_it)
{
    request_limits limits;
    EXPECT_EQ(limits.apply(named(5.6), start + 1s), limit_change::begun);
    EXPECT_EQ(limits.apply(named(5.6), start + 2s), limit_change::none);
    EXPECT_EQ(limits.apply(named(4), start + 2s), limit_change::changed);
    EXPECT_EQ(limits.apply(not_named(start + 1s), start + 3s), limit_change::none)
        << "the response may be older than the one that names the limit";
    EXPECT_EQ(limits.apply(not_named(start + 3s), start + 4s), limit_change::ended);
    EXPECT_EQ(limits.apply(not_named(start + 4s), start + 5s), limit_change::none);
}

TEST(request_limits_test, a_restart_of_the_replica_clears_its_limit)
{
    request_limits limits;
    limits.apply(named(5), start);
    limits.forget_older_incarnations("i-1", 1);
    EXPECT_EQ(limits.apply(named(5), start), limit_change::none);
    limits.forget_older_incarnations("i-1", 2);
    EXPECT_EQ(limits.apply({"i-1", 2, 5.0, start}, start), limit_change::begun);
    EXPECT_EQ(limits.apply(named(9), start), limit_change::none)
        << "a response from before the restart";
}

TEST(request_limits_test, counts_requests_to_rate_limited_replicas)
{
    request_limits limits;
    limits.count_sent("i-1", false);
    limits.apply(named(5), start);
    limits.count_sent("i-1", false);
    limits.count_sent("i-1", true);
    limits.count_sent("i-1", true);
    const auto uses = limits.take_uses(start + 1s);
    ASSERT_EQ(uses.size(), 1U);
    EXPECT_EQ(uses[0].run_count, 1U);
    EXPECT_EQ(uses[0].prefill_count, 2U);
    EXPECT_EQ(uses[0].age, 1s);
    EXPECT_TRUE(limits.take_uses(start + 2s).empty());
}

TEST(request_limits_test, returns_when_the_next_request_may_be_sent)
{
    request_limits limits;
    EXPECT_EQ(limits.next_send_time("i-1", fleet_place{}, start), start);
    limits.apply(named(1 / request_limits::used_fraction), start);
    EXPECT_FALSE(limits.may_send("i-1", fleet_place{}, start));
    EXPECT_EQ(limits.next_send_time("i-1", fleet_place{}, start), start + 1s);
    EXPECT_TRUE(limits.may_send("i-1", fleet_place{}, start + 1s));
    EXPECT_EQ(limits.next_send_time("i-1", fleet_place{9, 8}, start), std::nullopt)
        << "only other hosts share the limit";
}

TEST(request_limits_test, a_limit_is_announced_again_while_no_other_host_announces_it)
{
    request_limits limits;
    limits.apply(named(5), start);
    EXPECT_TRUE(limits.take_due_announcement("i-1", start));
    EXPECT_FALSE(limits.take_due_announcement("i-1", start + 900ms));
    limits.record_announcement("i-1", start + 900ms);
    EXPECT_FALSE(limits.take_due_announcement("i-1", start + 1'100ms));
    EXPECT_TRUE(limits.take_due_announcement("i-1", start + 2s));
    EXPECT_FALSE(limits.take_due_announcement("i-2", start));
}

TEST(request_limits_test, the_end_of_a_limit_is_announced_again_for_a_while)
{
    request_limits limits;
    limits.apply(named(5), start);
    limits.apply(not_named(start + 1s), start + 2s);
    EXPECT_TRUE(limits.limited_endpoints().empty());
    EXPECT_TRUE(limits.take_due_announcement("i-1", start + 2s));
    EXPECT_FALSE(limits.take_due_announcement("i-1", start + 2'900ms));
    EXPECT_TRUE(limits.take_due_announcement("i-1", start + 3s));
    EXPECT_FALSE(limits.take_due_announcement("i-1", start + 7s));
    EXPECT_EQ(limits.apply(named(5), start + 8s), limit_change::begun);
    EXPECT_FALSE(limits.may_send("i-1", fleet_place{}, start + 8s))
        << "a new limit starts without tokens";
}

} // namespace
} // namespace cicadaport::serving
