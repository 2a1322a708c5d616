#include "cicadaport/duties/occupancy_rule.h"
#include "cicadaport/duties/scaling_plan.h"

#include "duties/fleet_simulation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>

namespace cicadaport::duties {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

scaling_terms terms()
{
    return {1, 46, 4s, 0.18, {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}, {"d", 1.1}}};
}

// Load that begins after 10 s, whose mix alternates every 2.8 s and every 14 s: one kind of request
// comes 1.9 times as often while another comes 0.5 times as often.
offered_load alternating(double seconds, double prefill, double decode)
{
    if (seconds < 10) {
        return {};
    }
    const bool fast = std::fmod(seconds, 5.6) < 2.8;
    const bool slow = std::fmod(seconds, 28) < 14;
    // The long kind of prompt is 0.6 of the prefill work, the short kind 0.7 of the decode work.
    const auto long_kind = fast && slow ? 1.9 : fast != slow ? 1 : 0.5;
    const auto short_kind = fast && slow ? 0.5 : fast != slow ? 1 : 1.9;
    return {prefill * (0.4 + 0.6 * long_kind), decode * (0.3 + 0.7 * short_kind)};
}

simulation_events normal_load(double prefill, double decode)
{
    simulation_events out;
    out.load = [=](double seconds) { return alternating(seconds, prefill, decode); };
    return out;
}

// Runs the plan and the baseline on the same events and prints what each costs.
std::pair<simulation_result, simulation_result> compare(const std::string& name,
                                                        const simulation_events& events)
{
    scaling_plan plan;
    occupancy_rule rule;
    const std::pair out{fleet_simulation{terms()}.run(plan, events),
                        fleet_simulation{terms()}.run(rule, events)};
    for (const auto& [of, result] : {std::pair{"plan", out.first}, {"rule", out.second}}) {
        std::cout << "load=" << name << " by=" << of << " cost_ratio=" << result.cost_ratio()
                  << " unserved_share=" << result.unserved_share()
                  << " worst_second=" << result.worst_second
                  << " min_serving=" << result.min_serving << " serving=" << result.serving
                  << " ordinary=" << result.ordinary << " orders=" << result.orders
                  << " steps_down=" << result.steps_down << "\n";
    }
    EXPECT_EQ(out.first.taken_back, 0U);
    EXPECT_EQ(out.first.early_retries, 0U);
    EXPECT_GE(out.first.min_prefill, scaling_plan::min_per_stage);
    EXPECT_GE(out.first.min_decode, scaling_plan::min_per_stage);
    return out;
}

TEST(scaling_plan_test, exchanges_ordinary_replicas_before_any_demand_without_losing_capacity)
{
    simulation_events events;
    events.load = [](double) { return offered_load{}; };
    events.seconds = 60;
    scaling_plan plan;
    const auto result = fleet_simulation{terms()}.run(plan, events);
    EXPECT_GE(result.min_serving, 92U);
    EXPECT_LE(result.ordinary, 40U);
    EXPECT_LT(result.cost_ratio(), 0.7);
    EXPECT_EQ(result.taken_back, 0U);
}

TEST(scaling_plan_test, serves_a_half_idle_fleet_at_less_than_half_the_cost)
{
    const auto [plan, rule] = compare("half_idle", normal_load(30, 12));
    EXPECT_DOUBLE_EQ(plan.unserved, 0);
    EXPECT_LT(plan.cost_ratio(), 0.6);
    EXPECT_LT(plan.cost, rule.cost);
    EXPECT_LE(plan.steps_down, 6U);
}

TEST(scaling_plan_test, serves_the_loads_of_deployments_b_and_c_at_less_than_half_the_cost)
{
    for (const auto& [name, prefill, decode] :
         {std::tuple{"quiet_b", 10.1, 2.0}, {"quiet_c", 12.4, 2.4}}) {
        auto events = normal_load(prefill, decode);
        events.seconds = 60;
        const auto [plan, rule] = compare(name, events);
        EXPECT_DOUBLE_EQ(plan.unserved, 0);
        EXPECT_LT(plan.cost_ratio(), 0.5);
        EXPECT_LT(plan.cost, rule.cost);
    }
}

TEST(scaling_plan_test, loses_less_than_the_baseline_when_the_load_triples_within_a_second)
{
    auto events = normal_load(12, 4);
    events.load = [](double seconds) {
        const auto factor = std::clamp(1 + 2 * (seconds - 90), 1.0, 3.0);
        const auto load = alternating(seconds, 12, 4);
        return offered_load{load.prefill * factor, load.decode * factor};
    };
    events.seconds = 150;
    const auto [plan, rule] = compare("triples", events);
    EXPECT_LT(plan.unserved, rule.unserved);
    EXPECT_LT(plan.unserved_share(), 0.02);
}

TEST(scaling_plan_test, carries_the_load_when_a_zone_is_reclaimed_during_a_burst)
{
    for (const bool everywhere : {false, true}) {
        for (const double at : {40.0, 85.0, 93.0}) {
            auto events = normal_load(20, 8);
            events.reclaims = {{at, "a", everywhere}};
            const auto [plan, rule] = compare("reclaimed", events);
            EXPECT_DOUBLE_EQ(plan.unserved, 0) << at << " " << everywhere;
        }
    }
}

TEST(scaling_plan_test, carries_the_load_when_zones_are_reclaimed_one_after_the_other)
{
    auto events = normal_load(20, 8);
    events.reclaims = {{60, "a"}, {75, "b"}, {95, "c"}, {115, "a"}};
    events.seconds = 150;
    const auto [plan, rule] = compare("reclaimed_often", events);
    EXPECT_DOUBLE_EQ(plan.unserved, 0);
}

TEST(scaling_plan_test, follows_a_slow_decline_in_few_steps)
{
    auto events = normal_load(30, 12);
    events.load = [](double seconds) {
        const auto factor = std::clamp(1 - (seconds - 60) / 240, 0.2, 1.0);
        return alternating(seconds, 30 * factor, 12 * factor);
    };
    events.seconds = 360;
    const auto [plan, rule] = compare("declines", events);
    EXPECT_DOUBLE_EQ(plan.unserved, 0);
    EXPECT_LT(plan.serving, 70U);
    EXPECT_LE(plan.steps_down, 12U);
    EXPECT_LT(plan.cost, rule.cost);
}

TEST(scaling_plan_test, removes_nothing_for_lack_of_demand_that_it_does_not_know)
{
    scaling_plan plan;
    fleet_simulation fleet{terms()};
    fleet.knows_demand = false;
    auto events = normal_load(30, 12);
    EXPECT_GE(fleet.run(plan, events).min_serving, 92U);
}

TEST(scaling_plan_test, keeps_the_replicas_while_demand_becomes_unknown)
{
    scaling_plan plan;
    fleet_simulation fleet{terms()};
    const auto before = fleet.run(plan, normal_load(20, 8));
    fleet.knows_demand = false;
    const auto after = fleet.run(plan, normal_load(20, 8));
    EXPECT_GE(after.min_serving + 1, before.serving);
    EXPECT_LE(after.serving, before.serving + before.serving / 4)
        << "and does not go back to the replicas of the start";
}

TEST(scaling_plan_test, uses_other_zones_after_a_refusal_and_ordinary_replicas_if_urgent)
{
    // All reclaimable replicas of three zones are lost at the highest load, and none are available.
    auto events = normal_load(30, 12);
    events.reclaims = {{84, "a", true}, {84, "b", true}, {84, "c", true}};
    const auto [plan, rule] = compare("three_zones", events);
    EXPECT_LT(plan.unserved_share(), 0.05);
}

TEST(scaling_plan_test, retries_when_the_platform_was_down)
{
    auto events = normal_load(20, 8);
    events.down_from = 0;
    events.down_until = 40;
    const auto [plan, rule] = compare("platform_down", events);
    EXPECT_DOUBLE_EQ(plan.unserved, 0);
    EXPECT_LE(plan.ordinary, 40U);
    EXPECT_LE(plan.orders, 250U);
}

TEST(scaling_plan_test, starts_from_what_is_listed_when_another_host_decides)
{
    scaling_plan plan;
    fleet_simulation fleet{terms()};
    const auto events = normal_load(20, 8);
    const auto before = fleet.run(plan, events);
    scaling_plan next;
    const auto after = fleet.run(next, events);
    EXPECT_DOUBLE_EQ(before.unserved + after.unserved, 0);
    EXPECT_EQ(after.taken_back, 0U);
    EXPECT_GE(after.min_serving + before.serving / 4, before.serving);
}

TEST(scaling_plan_test, takes_back_no_order_of_an_earlier_decider_within_the_boot_time)
{
    for (double at = 0.3; at < 12; at += 0.6) {
        scaling_plan plan;
        fleet_simulation fleet{terms()};
        bool replaced = false;
        const auto result =
            fleet.run(plan, normal_load(20, 8), [&](scaling_plan& of, double seconds) {
                if (seconds >= at && !replaced) {
                    of = scaling_plan{};
                    replaced = true;
                }
            });
        EXPECT_EQ(result.taken_back, 0U) << at;
        EXPECT_DOUBLE_EQ(result.unserved, 0) << at;
        EXPECT_GE(result.min_serving, 60U) << at;
    }
}

TEST(scaling_plan_test, obeys_limits_that_become_lower_than_what_runs)
{
    simulation_events events = normal_load(10, 2);
    scaling_plan plan;
    fleet_simulation fleet{terms()};
    const auto before = fleet.run(plan, events);
    ASSERT_GT(before.serving, 36U);
    fleet.set_limits(1, 9);
    EXPECT_LE(fleet.run(plan, events).serving, 36U);
}

// When the list of replicas was incomplete after an outage of the store, ordinary replicas were
// ordered in place of those that still served.
TEST(scaling_plan_test, orders_nothing_for_a_list_that_has_lost_ordinary_replicas_at_once)
{
    scaling_plan plan;
    scaling_view view;
    view.terms = terms();
    view.knows_demand = true;
    view.prefill_demand = 20;
    for (const auto* name : {"a", "b", "c", "d"}) {
        view.zones.push_back({name, {}});
        view.zones.back().of(replica_kind::ordinary) = {10, 5, 5};
        view.zones.back().of(replica_kind::reclaimable) = {10, 5, 5};
    }
    plan.follow(view, start);
    plan.follow(view, start + 2s);
    auto incomplete = view;
    for (auto& each : incomplete.zones) {
        each = {each.name, {}};
    }
    EXPECT_TRUE(plan.decide(incomplete, start + 3s).empty());
    EXPECT_TRUE(plan.decide(incomplete, start + 7s).empty());
    EXPECT_FALSE(plan.decide(incomplete, start + 20s).empty()) << "they may really be gone";
}

// The first of 90 replicas to register were taken for all of them, and the fleet was reduced to
// eight before its traffic began.
TEST(scaling_plan_test, waits_until_the_replicas_have_registered)
{
    scaling_plan plan;
    scaling_view view;
    view.terms = terms();
    view.zones.push_back({"a", {}});
    view.zones.back().of(replica_kind::ordinary) = {8, 4, 4};
    EXPECT_TRUE(plan.decide(view, start).empty());
    view.zones.push_back({"b", {}});
    view.zones.back().of(replica_kind::ordinary) = {32, 16, 16};
    EXPECT_TRUE(plan.decide(view, start + 1s).empty());
    plan.decide(view, start + 3s);
    EXPECT_GE(plan.basis().target, 40U);
}

TEST(scaling_plan_test, says_that_orders_are_due_while_another_host_does_not_give_them)
{
    scaling_plan plan;
    scaling_view view;
    view.terms = terms();
    for (const auto* name : {"a", "b", "c", "d"}) {
        view.zones.push_back({name, {}});
        view.zones.back().of(replica_kind::ordinary) = {23, 11, 12};
    }
    plan.follow(view, start);
    EXPECT_FALSE(plan.has_due_orders(view, start)) << "other replicas may still register";
    plan.follow(view, start + 2s);
    EXPECT_TRUE(plan.has_due_orders(view, start + 2s));
    for (auto& each : view.zones) {
        each.of(replica_kind::reclaimable) = {21, 10, 11};
    }
    plan.follow(view, start + 5s);
    EXPECT_TRUE(plan.has_due_orders(view, start + 5s)) << "ordinary replicas are surplus";
    for (auto& each : view.zones) {
        each.of(replica_kind::ordinary) = {3, 1, 2};
    }
    plan.follow(view, start + 10s);
    EXPECT_FALSE(plan.has_due_orders(view, start + 10s));
}

TEST(scaling_plan_test, orders_only_ordinary_replicas_where_no_others_are_offered)
{
    auto without = terms();
    without.reclaimable_price_ratio = 0;
    scaling_plan plan;
    fleet_simulation fleet{without};
    const auto result = fleet.run(plan, normal_load(20, 8));
    EXPECT_EQ(result.serving, result.ordinary);
    EXPECT_DOUBLE_EQ(result.unserved, 0);
}

TEST(scaling_plan_test, stays_within_the_bounds_of_each_zone)
{
    auto tight = terms();
    tight.min_replicas = 3;
    tight.max_replicas = 25;
    scaling_plan plan;
    scaling_view view;
    view.terms = tight;
    view.knows_demand = true;
    for (const auto* name : {"a", "b", "c", "d"}) {
        view.zones.push_back({name, {}});
        view.zones.back().of(replica_kind::ordinary) = {23, 11, 12};
    }
    auto now = start;
    for (int i = 0; i < 400; ++i, now += 250ms) {
        view.prefill_demand = i > 200 ? 90 : 10;
        for (const auto& order : plan.decide(view, now)) {
            auto& zone = *std::find_if(view.zones.begin(), view.zones.end(),
                                       [&](const auto& each) { return each.name == order.zone; });
            auto& of = zone.of(order.kind);
            of = {order.desired, order.desired / 2, order.desired - order.desired / 2};
            plan.record_outcome(order, order_outcome::accepted, now);
            const auto both = zone.replicas[0].serving + zone.replicas[1].serving;
            EXPECT_LE(both, 25U);
            EXPECT_GE(both, 3U);
        }
    }
}

} // namespace
} // namespace cicadaport::duties
