#include "cicadaport/serving/fleet_work.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

double wait_ms(engine_queue& queue, std::uint32_t urgency, time_point now)
{
    return queue.wait(urgency, now).count();
}

TEST(engine_queue_test, an_idle_engine_has_no_wait)
{
    engine_queue queue;
    EXPECT_EQ(wait_ms(queue, 0, start), 0);
}

TEST(engine_queue_test, an_urgent_prompt_waits_for_the_one_in_progress_and_not_for_the_rest)
{
    engine_queue queue;
    queue.add(1, 5, 100ms, start);
    queue.add(2, 5, 100ms, start);
    EXPECT_DOUBLE_EQ(wait_ms(queue, 0, start), 100);
    EXPECT_DOUBLE_EQ(wait_ms(queue, 5, start), 200);
}

TEST(engine_queue_test, the_wait_shrinks_as_prefill_proceeds)
{
    engine_queue queue;
    queue.add(1, 0, 100ms, start);
    EXPECT_DOUBLE_EQ(wait_ms(queue, 0, start + 60ms), 40);
}

TEST(engine_queue_test, an_overdue_prompt_still_counts_partially)
{
    engine_queue queue;
    queue.add(1, 0, 100ms, start);
    EXPECT_DOUBLE_EQ(wait_ms(queue, 0, start + 500ms), 100 * engine_queue::min_remaining_fraction);
}

TEST(engine_queue_test, work_without_an_announced_end_expires)
{
    engine_queue queue;
    queue.add(1, 0, 100ms, start);
    queue.add(2, 0, 100ms, start + 10s);
    EXPECT_EQ(queue.size(), 1U);
}

TEST(engine_queue_test, after_a_prompt_the_most_urgent_is_next)
{
    engine_queue queue;
    queue.add(1, 0, 100ms, start);
    queue.add(2, 9, 70ms, start);
    queue.add(3, 1, 30ms, start);
    queue.remove(1, start + 100ms);
    EXPECT_DOUBLE_EQ(wait_ms(queue, 0, start + 100ms), 30);
}

TEST(engine_queue_test, removing_what_waits_leaves_the_one_in_progress)
{
    engine_queue queue;
    queue.add(1, 0, 100ms, start);
    queue.add(2, 0, 50ms, start);
    queue.remove(2, start + 20ms);
    EXPECT_DOUBLE_EQ(wait_ms(queue, 0, start + 20ms), 80);
}

engine_work prefill_work(std::uint32_t engine, fractional_milliseconds time)
{
    return {engine, 0, time, time};
}

TEST(fleet_work_test, counts_the_work_of_all_hosts)
{
    fleet_work work;
    work.begin(0, 1, prefill_work(7, 100ms), start);
    work.begin(42, 1, prefill_work(7, 50ms), start);
    EXPECT_DOUBLE_EQ(work.wait(7, 0, start).count(), 150);
    EXPECT_DOUBLE_EQ(work.wait(8, 0, start).count(), 0);
}

TEST(fleet_work_test, removes_the_work_of_a_silent_host)
{
    fleet_work work;
    work.begin(0, 1, prefill_work(7, 100ms), start);
    work.begin(42, 1, prefill_work(7, 50ms), start);
    work.begin(42, 2, engine_work{7, 0, fractional_milliseconds{0}, fractional_milliseconds{0}},
               start);
    EXPECT_EQ(work.active_streams(), 1U);
    work.forget(42, start);
    EXPECT_EQ(work.active_streams(), 0U);
    EXPECT_DOUBLE_EQ(work.wait(7, 0, start).count(), 100);
}

TEST(fleet_work_test, repeated_announcements_count_once)
{
    fleet_work work;
    work.begin(42, 1, prefill_work(7, 100ms), start);
    work.begin(42, 1, prefill_work(7, 100ms), start);
    work.end(42, 1, start);
    work.end(42, 1, start);
    EXPECT_DOUBLE_EQ(work.wait(7, 0, start).count(), 0);
}

TEST(fleet_work_test, streams_whose_end_was_lost_expire)
{
    fleet_work work;
    work.begin(42, 2, engine_work{7, 0, fractional_milliseconds{0}, fractional_milliseconds{0}},
               start);
    work.remove_expired(start + fleet_work::stream_ttl + 1s);
    EXPECT_EQ(work.active_streams(7), 0U);
}

TEST(fleet_work_test, demand_is_the_number_of_engines_that_prefill_keeps_busy)
{
    fleet_work work;
    auto now = start;
    for (std::uint64_t id = 1; id <= 2'000; ++id) {
        now += 10ms;
        work.begin(0, id, prefill_work(7, 25ms), now);
    }
    EXPECT_NEAR(work.prefill_demand(now), 2.5, 0.1);
    EXPECT_LT(work.prefill_demand(now + 10s), 0.1);
}

} // namespace
} // namespace cicadaport::serving
