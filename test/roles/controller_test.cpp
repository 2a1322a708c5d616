#include "cicadaport/roles/controller.h"

#include <gtest/gtest.h>

#include <random>

namespace cicadaport::roles {
namespace {

using namespace std::chrono_literals;
using routing::engine_role;

const clock::time_point start{std::chrono::hours{1}};
// More prefill than two engines can serve, and little decode.
const offered_work long_prompts{40, 3.0, 0.5};
const offered_work short_prompts{40, 0.5, 3.0};

configuration::engine_roles settings_for(const std::string& policy)
{
    configuration::engine_roles out;
    out.policy = policy;
    out.change_price_requests = 20;
    return out;
}

std::vector<engine_observation> make_two_prefill_and_two_decode_engines()
{
    return {{"p1", engine_role::prefill},
            {"p2", engine_role::prefill},
            {"d1", engine_role::decode, true, false, 0, 900},
            {"d2", engine_role::decode, true, false, 0, 100}};
}

// Observes every 100 ms for `time` and returns the first order.
std::optional<role_order> first_order(role_controller& controller,
                                      std::span<const engine_observation> engines,
                                      const offered_work& offered, clock::time_point& now,
                                      std::chrono::milliseconds time)
{
    for (const auto until = now + time; now < until; now += 100ms) {
        if (auto order = controller.observe(engines, offered, now)) {
            return order;
        }
    }
    return std::nullopt;
}

TEST(role_controller_test, changes_once_the_lost_goodput_exceeds_the_price)
{
    role_controller controller{settings_for("rent_or_buy")};
    const auto engines = make_two_prefill_and_two_decode_engines();
    auto now = start;
    const auto order = first_order(controller, engines, long_prompts, now, 10s);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->engine, "d2") << "the engine with the least to drain";
    EXPECT_EQ(order->role, engine_role::prefill);
    EXPECT_GE(order->why.lost_requests, order->why.price_requests);
    EXPECT_GT(order->why.predicted_gain, 0);
    EXPECT_EQ(order->why.after, (role_counts{0, 3, 1}));
}

TEST(role_controller_test, never_changes_under_the_baseline_or_at_too_high_a_price)
{
    auto expensive = settings_for("rent_or_buy");
    expensive.change_price_requests = 1e6;
    for (const auto& settings : {settings_for("never"), expensive}) {
        role_controller controller{settings};
        auto now = start;
        EXPECT_FALSE(first_order(controller, make_two_prefill_and_two_decode_engines(),
                                 long_prompts, now, 10s));
    }
}

TEST(role_controller_test, a_mix_that_soon_changes_back_causes_no_change)
{
    role_controller rent_or_buy{settings_for("rent_or_buy")};
    role_controller threshold{settings_for("threshold")};
    const auto engines = make_two_prefill_and_two_decode_engines();
    auto now = start;
    for (int swing = 0; swing < 20; ++swing) {
        EXPECT_FALSE(first_order(rent_or_buy, engines, long_prompts, now, 1s));
        EXPECT_FALSE(first_order(rent_or_buy, engines, short_prompts, now, 1s));
    }
    now = start;
    EXPECT_TRUE(first_order(threshold, engines, long_prompts, now, 3s));
}

TEST(role_controller_test, a_role_keeps_its_floor_and_at_least_one_engine)
{
    auto settings = settings_for("rent_or_buy");
    settings.least_decode = 2;
    role_controller floored{settings};
    auto now = start;
    EXPECT_FALSE(
        first_order(floored, make_two_prefill_and_two_decode_engines(), long_prompts, now, 30s));
    role_controller last{settings_for("rent_or_buy")};
    const std::vector<engine_observation> one_left{
        {"p1", engine_role::prefill}, {"p2", engine_role::prefill}, {"d1", engine_role::decode}};
    EXPECT_FALSE(first_order(last, one_left, long_prompts, now, 30s));
}

TEST(role_controller_test, a_dead_engine_does_not_count_for_a_floor)
{
    auto settings = settings_for("rent_or_buy");
    settings.least_decode = 1;
    role_controller controller{settings};
    auto engines = make_two_prefill_and_two_decode_engines();
    engines[3].alive = false;
    auto now = start;
    EXPECT_FALSE(first_order(controller, engines, long_prompts, now, 30s));
}

TEST(role_controller_test, carries_out_one_change_at_a_time)
{
    role_controller controller{settings_for("rent_or_buy")};
    auto engines = make_two_prefill_and_two_decode_engines();
    engines.push_back({"d3", engine_role::decode});
    auto now = start;
    ASSERT_TRUE(first_order(controller, engines, long_prompts, now, 10s));
    EXPECT_EQ(controller.last_outcome(), change_outcome::running);
    EXPECT_FALSE(first_order(controller, engines, long_prompts, now, 5s));
    engines[4].role = engine_role::prefill;
    controller.observe(engines, long_prompts, now);
    EXPECT_EQ(controller.last_outcome(), change_outcome::applied);
}

TEST(role_controller_test, the_loss_of_the_changing_engine_allows_the_next_change)
{
    role_controller controller{settings_for("rent_or_buy")};
    auto engines = make_two_prefill_and_two_decode_engines();
    engines.push_back({"d3", engine_role::decode});
    auto now = start;
    ASSERT_EQ(first_order(controller, engines, long_prompts, now, 10s)->engine, "d3");
    engines[4].alive = false;
    const auto next = first_order(controller, engines, long_prompts, now, 10s);
    EXPECT_EQ(controller.last_outcome(), change_outcome::running);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->engine, "d2");
}

TEST(role_controller_test, a_change_that_never_begins_times_out)
{
    role_controller controller{settings_for("rent_or_buy")};
    auto now = start;
    ASSERT_TRUE(
        first_order(controller, make_two_prefill_and_two_decode_engines(), long_prompts, now, 10s));
    controller.observe(make_two_prefill_and_two_decode_engines(), offered_work{}, now + 1min);
    EXPECT_EQ(controller.last_outcome(), change_outcome::timed_out);
}

TEST(role_controller_test, a_change_still_running_at_the_engine_does_not_time_out)
{
    role_controller controller{settings_for("rent_or_buy")};
    auto engines = make_two_prefill_and_two_decode_engines();
    auto now = start;
    ASSERT_EQ(first_order(controller, engines, long_prompts, now, 10s)->engine, "d2");
    engines[3].changing = true;
    controller.observe(engines, long_prompts, now + 1min);
    EXPECT_EQ(controller.last_outcome(), change_outcome::running);
    engines[3].changing = false;
    engines[3].role = engine_role::prefill;
    controller.observe(engines, long_prompts, now + 2min);
    EXPECT_EQ(controller.last_outcome(), change_outcome::applied);
}

TEST(role_controller_test, an_engine_that_may_not_change_is_not_taken)
{
    role_controller controller{settings_for("rent_or_buy")};
    auto engines = make_two_prefill_and_two_decode_engines();
    engines[3].can_change = false;
    auto now = start;
    const auto order = first_order(controller, engines, long_prompts, now, 10s);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->engine, "d1") << "d2 has less to drain but may not change";
}

TEST(role_controller_test, a_held_back_change_reports_the_reason_and_keeps_its_losses)
{
    role_controller controller{settings_for("rent_or_buy")};
    auto engines = make_two_prefill_and_two_decode_engines();
    engines[2].can_change = false;
    engines[3].can_change = false;
    auto now = start;
    EXPECT_FALSE(first_order(controller, engines, long_prompts, now, 10s));
    EXPECT_NE(controller.progress().held_back.find("spare"), std::string::npos);
    EXPECT_GE(controller.progress().lost_to_prefill, 20);
    engines[3].can_change = true;
    EXPECT_TRUE(controller.observe(engines, long_prompts, now)) << "the price is already reached";
    EXPECT_TRUE(controller.progress().held_back.empty());
}

TEST(role_controller_test, a_change_held_back_by_a_floor_reports_the_floor)
{
    auto settings = settings_for("rent_or_buy");
    settings.least_decode = 2;
    role_controller controller{settings};
    auto now = start;
    EXPECT_FALSE(
        first_order(controller, make_two_prefill_and_two_decode_engines(), long_prompts, now, 10s));
    EXPECT_NE(controller.progress().held_back.find("floor"), std::string::npos);
}

// The policy guarantees that the number of changes times the price is at most the
// goodput lost.
TEST(role_controller_test, changes_times_price_never_exceed_the_lost_goodput)
{
    for (unsigned seed = 0; seed < 50; ++seed) {
        std::mt19937 random{seed};
        rent_or_buy_policy policy{20};
        fleet_observation seen{{0, 2, 2}, long_prompts, true, true};
        double lost = 0;
        int changes = 0;
        auto now = start;
        for (int step = 0; step < 3'000; ++step, now += 100ms) {
            // An adversarial mix: it reverses at random and directly after each change.
            if (random() % 100 == 0) {
                std::swap(seen.offered.prefill, seen.offered.decode);
            }
            const auto best = std::max(servable_requests({0, 3, 1}, seen.offered),
                                       servable_requests({0, 1, 3}, seen.offered));
            const auto served = servable_requests(seen.roles, seen.offered);
            lost += std::max(best - served, 0.0) * 0.1;
            seen.can_change_to_prefill = seen.roles.decode > 1;
            seen.can_change_to_decode = seen.roles.prefill > 1;
            if (const auto change = policy.decide(seen, now)) {
                ++changes;
                seen.roles = change->why.after;
                std::swap(seen.offered.prefill, seen.offered.decode);
            }
        }
        EXPECT_GT(changes, 0);
        EXPECT_LE(changes * 20, lost + 1e-6) << "seed " << seed;
    }
}

} // namespace
} // namespace cicadaport::roles
