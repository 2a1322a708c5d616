#include "cicadaport/entry/event_cursor.h"

#include "cicadaport/entry/byte_budget.h"

#include <gtest/gtest.h>

namespace cicadaport::entry {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::steady_clock::time_point start{1h};

TEST(event_cursor_test, reads_only_after_the_engine_has_worked)
{
    event_cursor cursor;
    EXPECT_FALSE(cursor.is_due());
    cursor.record_work(start);
    EXPECT_TRUE(cursor.is_due());
    cursor.start_read(start);
    EXPECT_FALSE(cursor.is_due());
}

TEST(event_cursor_test, reads_every_event_while_it_keeps_up)
{
    event_cursor cursor;
    std::uint64_t newest = 0;
    for (auto now = start; now < start + 10s; now += 500ms) {
        cursor.record_work(now);
        EXPECT_EQ(cursor.start_read(now + 500ms), newest);
        newest += 100;
        cursor.record_read(100, newest);
    }
}

TEST(event_cursor_test, skips_old_events_after_a_delayed_read)
{
    constexpr std::uint64_t events_per_second = 10'000;
    event_cursor cursor;
    std::uint64_t after = 0;
    std::uint64_t made = 0;
    for (auto now = start; now < start + 10min; now += 10s) {
        cursor.record_work(now);
        made += 10 * events_per_second;
        after = cursor.start_read(now + 10s);
        const auto count = std::min<std::uint64_t>(event_cursor::max_events_per_reply,
                                                   made - std::min(made, after));
        cursor.record_read(count, after + count);
    }
    EXPECT_GT(after, made - 20 * events_per_second) << "the cursor lags by less than two reads";
}

TEST(event_cursor_test, resets_for_a_restarted_engine)
{
    event_cursor cursor;
    cursor.record_read(10, 500);
    cursor.restart();
    EXPECT_EQ(cursor.start_read(start), 0U);
}

TEST(byte_budget_test, the_mean_never_exceeds_the_rate)
{
    constexpr double rate = 1'000;
    byte_budget budget{rate};
    double spent = 0;
    for (auto now = start; now < start + 100s; now += 10ms) {
        if (budget.has_any(now)) {
            budget.spend(700);
            spent += 700;
        }
    }
    EXPECT_LE(spent, 101 * rate + 700) << "the initial budget is worth one second";
    EXPECT_GE(spent, 99 * rate);
}

TEST(byte_budget_test, one_large_reply_is_followed_by_a_wait)
{
    byte_budget budget{1'000};
    EXPECT_TRUE(budget.has_any(start));
    budget.spend(5'500);
    EXPECT_FALSE(budget.has_any(start + 4s));
    EXPECT_TRUE(budget.has_any(start + 5s));
}

} // namespace
} // namespace cicadaport::entry
