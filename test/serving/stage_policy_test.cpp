#include "cicadaport/serving/stage_policy.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

stage_view view(std::size_t prefill, std::size_t decode, double prefill_load, double active_streams)
{
    return {prefill, decode, prefill_load, active_streams, 64, 3s};
}

// Calls the policy four times a second for `time`; returns the first change.
stage_change ask(stage_policy& policy, const stage_view& what, time_point& now,
                 std::chrono::milliseconds time)
{
    for (const auto end = now + time; now < end; now += 250ms) {
        const auto change = policy.decide(what, now);
        if (change.engines > 0) {
            return change;
        }
    }
    return {};
}

TEST(stage_policy_test, changes_nothing_while_the_stages_suffice)
{
    stage_policy policy;
    auto now = start;
    EXPECT_EQ(ask(policy, view(4, 5, 2, 60), now, 60s).engines, 0U);
}

TEST(stage_policy_test, reassigns_decode_engines_to_prefill_once_the_loss_exceeds_the_cost)
{
    stage_policy policy;
    auto now = start;
    const auto change = ask(policy, view(4, 5, 8, 60), now, 10s);
    EXPECT_EQ(change.to, engine_stage::prefill);
    EXPECT_GE(now - start, 500ms) << "a brief overload causes no change";
}

TEST(stage_policy_test, does_not_react_to_a_short_burst)
{
    stage_policy policy;
    auto now = start;
    for (int swing = 0; swing < 20; ++swing) {
        EXPECT_EQ(ask(policy, view(4, 5, 7, 60), now, 250ms).engines, 0U);
        EXPECT_EQ(ask(policy, view(4, 5, 1, 60), now, 8s).engines, 0U);
    }
}

TEST(stage_policy_test, keeps_the_decode_engines_that_the_last_peak_of_streams_needed)
{
    stage_policy policy;
    auto now = start;
    policy.decide(view(4, 5, 1, 170), now);
    now += 1s;
    EXPECT_EQ(ask(policy, view(4, 5, 12, 20), now, 15s).engines, 0U);
}

TEST(stage_policy_test, keeps_a_third_of_the_engines_for_decode)
{
    stage_policy policy;
    auto now = start;
    EXPECT_EQ(ask(policy, view(12, 6, 30, 0), now, 30s).engines, 0U);
    EXPECT_GT(ask(policy, view(11, 7, 30, 0), now, 30s).engines, 0U);
}

TEST(stage_policy_test, returns_engines_to_decode_for_lasting_demand)
{
    stage_policy policy;
    auto now = start;
    EXPECT_EQ(ask(policy, view(7, 2, 1, 100), now, 5s).engines, 0U);
    EXPECT_EQ(ask(policy, view(7, 2, 1, 100), now, 30s).to, engine_stage::decode);
}

TEST(stage_policy_test, returns_an_engine_to_decode_quickly_when_all_slots_are_taken)
{
    // Guards against a replayed incident: after crashes only two decode engines were
    // left, and requests waited 14 s for slots.
    stage_policy policy;
    auto now = start;
    const auto change = ask(policy, view(6, 2, 2, 160), now, 5s);
    EXPECT_EQ(change.to, engine_stage::decode);
    EXPECT_EQ(change.engines, 1U);
}

TEST(stage_policy_test, moves_an_engine_to_decode_with_full_slots_even_when_prefill_lacks_engines)
{
    // In the same incident, prefill needed six engines and had six.
    stage_policy policy;
    auto now = start;
    EXPECT_EQ(ask(policy, view(6, 2, 4.2, 160), now, 6s).to, engine_stage::decode);
    stage_policy other;
    EXPECT_EQ(ask(other, view(6, 2, 9, 130), now, 6s).engines, 0U)
        << "prefill lacks more engines than decode";
}

TEST(stage_policy_test, a_mix_that_shifts_after_each_change_causes_a_bounded_number_of_changes)
{
    stage_policy policy;
    auto now = start;
    int changes = 0;
    bool long_prompts = true;
    for (int turn = 0; turn < 20; ++turn) {
        const auto what = long_prompts ? view(4, 5, 8, 60) : view(6, 3, 1, 60);
        if (ask(policy, what, now, 3s).engines > 0) {
            policy.reset_losses();
            ++changes;
        }
        long_prompts = !long_prompts;
    }
    EXPECT_LE(changes, 10);
}

} // namespace
} // namespace cicadaport::serving
