#include "cicadaport/serving/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <numeric>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;
using time_point = prompt_quarantine::time_point;

constexpr time_point start{1h};
constexpr segment_id common = 1;
constexpr segment_id companion = 2;
constexpr segment_id deadly = 3;

// Records crashes of engines 1, 2 ... with the same segments, a second apart.
void record_crashes(prompt_quarantine& quarantine, std::uint64_t count,
                    const std::vector<segment_id>& segments, time_point first = start)
{
    for (std::uint64_t engine = 1; engine <= count; ++engine) {
        const auto at = first + std::chrono::seconds{engine - 1};
        quarantine.record_crash({engine, at, segments}, at);
    }
}

bool is_admitted(prompt_quarantine& quarantine, const std::vector<segment_id>& segments,
                 time_point now)
{
    return !quarantine.admit(segments, now).rejected;
}

TEST(prompt_quarantine_test, a_segment_present_at_three_crashes_is_quarantined)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 2, {deadly});
    EXPECT_TRUE(is_admitted(quarantine, {deadly}, start + 2s));
    record_crashes(quarantine, 3, {deadly});
    const auto admission = quarantine.admit({{deadly}}, start + 3s);
    ASSERT_TRUE(admission.rejected);
    EXPECT_EQ(admission.rejected->verdict.segment, deadly);
    EXPECT_EQ(admission.rejected->verdict.crashes, 3U);
    EXPECT_EQ(admission.rejected->retry_at, start + 2s + prompt_quarantine::initial_quarantine);
    EXPECT_TRUE(is_admitted(quarantine, {common, companion}, start + 3s));
}

TEST(prompt_quarantine_test, one_crash_seen_by_several_hosts_counts_once)
{
    prompt_quarantine quarantine;
    for (const auto delay : {0ms, 2ms, 40ms, 300ms}) {
        quarantine.record_crash({7, start + delay, {deadly}}, start + delay);
    }
    EXPECT_EQ(quarantine.max_evidence({{deadly}}), 1);
    quarantine.record_crash({7, start + 4s, {deadly}}, start + 4s);
    EXPECT_EQ(quarantine.max_evidence({{deadly}}), 2) << "the engine was restarted in between";
}

TEST(prompt_quarantine_test, many_engines_that_end_at_once_do_not_quarantine_a_segment)
{
    prompt_quarantine quarantine;
    for (std::uint64_t engine = 1; engine <= 40; ++engine) {
        const auto at = start + std::chrono::milliseconds{engine};
        quarantine.record_crash({engine, at, {companion}}, at);
    }
    EXPECT_TRUE(is_admitted(quarantine, {companion}, start + 1s));
}

TEST(prompt_quarantine_test, a_segment_at_few_of_the_engines_that_end_together_is_not_quarantined)
{
    prompt_quarantine quarantine;
    std::uint64_t engine = 0;
    for (const auto at : {start, start + 3s, start + 6s, start + 9s}) {
        quarantine.record_crash({++engine, at, {companion}}, at);
        quarantine.record_crash({++engine, at + 5ms, {}}, at + 5ms);
    }
    EXPECT_TRUE(is_admitted(quarantine, {companion}, start + 10s));
    quarantine.record_crash({++engine, start + 12s, {companion}}, start + 12s);
    EXPECT_FALSE(is_admitted(quarantine, {companion}, start + 13s)) << "the only one that ended";
}

TEST(prompt_quarantine_test, a_segment_at_all_engines_that_end_together_is_quarantined)
{
    prompt_quarantine quarantine;
    quarantine.record_crash({1, start, {deadly}}, start);
    quarantine.record_crash({2, start + 1s, {deadly}}, start + 1s);
    quarantine.record_crash({3, start + 1s, {deadly}}, start + 1s);
    EXPECT_FALSE(is_admitted(quarantine, {deadly}, start + 2s));
}

// Regression: requests that crash the same few replicas at the same times hid each other.
TEST(prompt_quarantine_test, two_deadly_segments_that_crash_at_the_same_times_are_both_quarantined)
{
    constexpr segment_id other_deadly = 4;
    prompt_quarantine quarantine;
    for (std::uint64_t round = 0; round < 3; ++round) {
        const auto at = start + 4s * round;
        quarantine.record_crash({2 * round + 1, at, {deadly}}, at);
        quarantine.record_crash({2 * round + 2, at + 5ms, {other_deadly}}, at + 5ms);
    }
    EXPECT_FALSE(is_admitted(quarantine, {deadly}, start + 9s));
    EXPECT_FALSE(is_admitted(quarantine, {other_deadly}, start + 9s));
}

// Regression: a popular segment at all of the ends took them for explained.
TEST(prompt_quarantine_test,
     a_segment_at_few_engines_of_a_rack_that_fails_slowly_is_not_quarantined)
{
    constexpr std::uint64_t rack_size = 12;
    prompt_quarantine quarantine;
    for (std::uint64_t engine = 1; engine <= rack_size; ++engine) {
        const auto at = start + 50ms * engine;
        std::vector<segment_id> present{common};
        if (engine % 4 == 0) {
            present.push_back(companion);
        }
        quarantine.record_crash({engine, at, present}, at);
    }
    EXPECT_LT(quarantine.max_evidence({{companion}}), prompt_quarantine::evidence_threshold);
    const std::vector<segment_id> popular{common};
    quarantine.record_survival(popular, start + 2s, start + 2s);
    EXPECT_TRUE(is_admitted(quarantine, {companion}, start + 2s));
}

TEST(prompt_quarantine_test, evidence_that_rests_on_a_cleared_segment_is_withdrawn)
{
    prompt_quarantine quarantine;
    for (std::uint64_t round = 0; round < 3; ++round) {
        const auto at = start + 4s * round;
        quarantine.record_crash({2 * round + 1, at, {deadly}}, at);
        quarantine.record_crash({2 * round + 2, at + 5ms, {companion}}, at + 5ms);
    }
    const std::vector<segment_id> sound{companion};
    quarantine.record_survival(sound, start + 9s, start + 9s);
    EXPECT_LT(quarantine.max_evidence({{deadly}}), prompt_quarantine::evidence_threshold);
}

TEST(prompt_quarantine_test, an_answer_clears_a_segment)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {companion});
    ASSERT_FALSE(is_admitted(quarantine, {companion}, start + 3s));
    const auto cleared = quarantine.record_survival({{companion}}, start + 4s, start + 4s);
    ASSERT_EQ(cleared.size(), 1U);
    EXPECT_EQ(cleared.front().crashes, 3U);
    EXPECT_TRUE(is_admitted(quarantine, {companion}, start + 4s));
}

TEST(prompt_quarantine_test, a_segment_answered_shortly_before_a_crash_is_not_suspected)
{
    prompt_quarantine quarantine;
    quarantine.record_survival({{common}}, start, start);
    const auto at = start + prompt_quarantine::survival_ttl;
    const auto result = quarantine.record_crash({1, at, {common, deadly}}, at);
    ASSERT_EQ(result.contradicted.size(), 1U);
    EXPECT_EQ(result.contradicted.front().segment, common);
    ASSERT_EQ(result.suspected.size(), 1U);
    EXPECT_EQ(result.suspected.front().segment, deadly);
}

TEST(prompt_quarantine_test, a_segment_that_becomes_deadly_later_is_quarantined)
{
    prompt_quarantine quarantine;
    quarantine.record_survival({{deadly}}, start, start);
    record_crashes(quarantine, 3, {deadly}, start + prompt_quarantine::survival_ttl + 1s);
    EXPECT_FALSE(is_admitted(quarantine, {deadly}, start + 20s));
}

TEST(prompt_quarantine_test, a_companion_without_the_deadly_segment_is_tried_one_at_a_time)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {companion, deadly});
    const auto now = start + 3s;
    EXPECT_FALSE(is_admitted(quarantine, {companion, deadly}, now));
    const auto trial = quarantine.admit({{companion}}, now);
    EXPECT_FALSE(trial.rejected);
    EXPECT_EQ(trial.tried, std::vector<segment_id>{companion});
    const auto second = quarantine.admit({{companion}}, now + 1s);
    ASSERT_TRUE(second.rejected);
    EXPECT_EQ(second.rejected->retry_at, now + prompt_quarantine::trial_interval);
    quarantine.record_survival({{companion}}, now + 1s, now + 1s);
    EXPECT_TRUE(is_admitted(quarantine, {companion}, now + 1s));
    EXPECT_FALSE(is_admitted(quarantine, {deadly}, now + 10s)) << "nothing else explains it";
}

TEST(prompt_quarantine_test, only_a_request_whose_segments_nothing_else_explains_is_convicted)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {companion, deadly});
    EXPECT_TRUE(quarantine.find_convicted({{companion, deadly}}, start + 3s));
    EXPECT_FALSE(quarantine.find_convicted({{companion}}, start + 3s));
    EXPECT_FALSE(quarantine.find_convicted({{common}}, start + 3s));
}

TEST(prompt_quarantine_test, a_trial_of_another_host_counts)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {companion, deadly});
    quarantine.record_trial(companion, start + 3s);
    EXPECT_FALSE(is_admitted(quarantine, {companion}, start + 4s));
    EXPECT_TRUE(is_admitted(quarantine, {companion}, start + 5s));
}

TEST(prompt_quarantine_test, a_companion_with_a_crash_of_its_own_is_still_tried)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {companion, deadly});
    quarantine.record_crash({9, start + 3s, {companion}}, start + 3s);
    EXPECT_TRUE(is_admitted(quarantine, {companion}, start + 4s));
    quarantine.record_crash({10, start + 5s, {companion}}, start + 5s);
    EXPECT_FALSE(is_admitted(quarantine, {companion}, start + 10s));
}

TEST(prompt_quarantine_test, an_expired_quarantine_permits_one_trial_and_doubles_after_a_crash)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {deadly});
    const auto expired = start + 2s + prompt_quarantine::initial_quarantine;
    EXPECT_FALSE(is_admitted(quarantine, {deadly}, expired - 1ms));
    EXPECT_TRUE(is_admitted(quarantine, {deadly}, expired));
    EXPECT_FALSE(is_admitted(quarantine, {deadly}, expired + 1s)) << "the trial is running";
    quarantine.record_crash({9, expired + 1s, {deadly}}, expired + 1s);
    const auto again = quarantine.admit({{deadly}}, expired + 5s);
    ASSERT_TRUE(again.rejected);
    EXPECT_EQ(again.rejected->retry_at, expired + 1s + 2 * prompt_quarantine::initial_quarantine);
}

TEST(prompt_quarantine_test, a_quarantine_does_not_exceed_a_day)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, prompt_quarantine::max_crashes_per_segment + 5, {deadly});
    const auto admission = quarantine.admit({{deadly}}, start + 20s);
    ASSERT_TRUE(admission.rejected);
    EXPECT_LE(admission.rejected->retry_at, start + 20s + prompt_quarantine::max_quarantine);
}

TEST(prompt_quarantine_test, evidence_is_announced_again_until_another_host_has_done_so)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {deadly});
    EXPECT_TRUE(quarantine.take_due_announcements(start + 3s).empty());
    const auto due = start + 2s + prompt_quarantine::announcement_interval;
    EXPECT_EQ(quarantine.take_due_announcements(due).size(), 3U);
    EXPECT_TRUE(quarantine.take_due_announcements(due + 1s).empty());
    quarantine.record_crash({1, start, {deadly}}, due + 1s);
    EXPECT_TRUE(quarantine.take_due_announcements(due + 2s).empty())
        << "another host has announced it";
    EXPECT_EQ(quarantine.take_due_announcements(due + 60s).size(), 3U) << "while in quarantine";
}

TEST(prompt_quarantine_test, a_host_that_starts_learns_the_quarantine_from_another)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {companion, deadly});
    prompt_quarantine started_later;
    for (const auto& each : quarantine.all_crashes()) {
        started_later.record_crash(each, start + 10s);
    }
    EXPECT_FALSE(is_admitted(started_later, {companion, deadly}, start + 10s));
    EXPECT_TRUE(is_admitted(started_later, {companion}, start + 10s)) << "as a trial";
}

TEST(prompt_quarantine_test, memory_is_bounded_and_the_quarantine_survives)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 3, {deadly});
    std::vector<segment_id> many(10 * prompt_quarantine::max_suspects);
    std::iota(many.begin(), many.end(), 100U);
    quarantine.record_crash({20, start + 4s, many}, start + 4s);
    EXPECT_EQ(quarantine.suspect_count(), prompt_quarantine::max_suspects);
    EXPECT_FALSE(is_admitted(quarantine, {deadly}, start + 5s));
    for (const auto each : many) {
        quarantine.record_survival({{each}}, start + 5s, start + 5s);
    }
    EXPECT_EQ(quarantine.suspect_count(), 1U);
}

TEST(prompt_quarantine_test, a_suspicion_is_forgotten)
{
    prompt_quarantine quarantine;
    record_crashes(quarantine, 2, {deadly});
    quarantine.forget_old(start + prompt_quarantine::suspicion_ttl);
    EXPECT_EQ(quarantine.suspect_count(), 1U);
    quarantine.forget_old(start + 2s + prompt_quarantine::suspicion_ttl);
    EXPECT_EQ(quarantine.suspect_count(), 0U);
}

} // namespace
} // namespace cicadaport::serving
