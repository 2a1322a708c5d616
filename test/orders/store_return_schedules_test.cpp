// Orders of several hosts to one engine across returns of the store, in all short schedules and in
// random long ones.
#include "schedule.h"

#include <gtest/gtest.h>

#include <random>

namespace cicadaport::orders::testing {
namespace {

using kind = event::kind;

struct tally {
    std::size_t schedules = 0;
    // Schedules in which an order was sent before the disturbances ended.
    std::size_t with_orders = 0;
    std::map<std::string, std::size_t> broken;
    std::string first;

    template <typename Rule>
    void add(const conditions& under, const std::vector<event>& schedule)
    {
        const auto result = play<Rule>(under, schedule);
        ++schedules;
        with_orders += result.orders > 0 ? 1 : 0;
        if (!result.broken.empty() && ++broken[result.broken] == 1 && first.empty()) {
            first = result.broken + ':';
            for (const auto& each : schedule) {
                first += ' ' + std::to_string(static_cast<int>(each.what)) + '/' +
                         std::to_string(each.host) + '/' + std::to_string(each.count) + '/' +
                         std::to_string(each.time.count());
            }
        }
    }

    std::string counts() const
    {
        auto out = std::to_string(schedules) + " schedules, " + std::to_string(with_orders) +
                   " with orders";
        for (const auto& [what, count] : broken) {
            out += ", " + std::to_string(count) + " " + what;
        }
        return out;
    }
};

// Calls `visit` with `schedule` and `added` at each of its places.
template <typename Visit>
void insert_everywhere(const std::vector<event>& schedule, const std::vector<event>& added,
                       const Visit& visit)
{
    for (std::size_t at = 0; at <= schedule.size(); ++at) {
        auto out = schedule;
        out.insert(out.begin() + static_cast<std::ptrdiff_t>(at), added.begin(), added.end());
        visit(out);
    }
}

// All interleavings of one attempt of each of two hosts.
std::vector<std::vector<event>> interleavings()
{
    constexpr unsigned steps = 5;
    std::vector<std::vector<event>> out;
    for (unsigned mask = 0; mask < 1U << (2 * steps); ++mask) {
        if (__builtin_popcount(mask) == steps) {
            auto& schedule = out.emplace_back();
            for (unsigned bit = 0; bit < 2 * steps; ++bit) {
                schedule.push_back({kind::step, mask >> bit & 1U});
            }
        }
    }
    return out;
}

template <typename Rule>
tally play_all(const conditions& under, bool with_restarts)
{
    const std::vector<std::vector<event>> returns{
        {{kind::store_return, 0, 1}},
        {{kind::store_return, 0, 1}, {kind::notice}},
        {{kind::store_return, 0, 2}},
        {{kind::store_return, 0, 1}, {kind::other_append, 0, 1}}};
    struct disturbance {
        std::vector<event> at_start;
        event later;
    };
    std::vector<disturbance> others{{{}, {kind::wait, 0, 0, 100ms}},
                                    {{}, {kind::wait, 0, 0, 950ms}},
                                    {{}, {kind::wait, 0, 0, 4s}},
                                    {{}, {kind::wait, 0, 0, 20s}},
                                    {{{kind::delay_append, 0}}, {kind::late_append}},
                                    {{{kind::delay_append, 1}}, {kind::late_append}}};
    if (with_restarts) {
        others.push_back({{}, {kind::restart, 0}});
        others.push_back({{}, {kind::restart, 1}});
    }
    tally out;
    for (const auto& steps : interleavings()) {
        for (const auto& lost : returns) {
            insert_everywhere(steps, lost, [&](const auto& returned) {
                for (const auto& other : others) {
                    insert_everywhere(returned, {other.later}, [&](auto schedule) {
                        schedule.insert(schedule.begin(), other.at_start.begin(),
                                        other.at_start.end());
                        out.add<Rule>(under, schedule);
                    });
                }
            });
        }
    }
    return out;
}

// Plays random schedules with all kinds of events.
template <typename Rule>
tally play_random(conditions under, bool with_restarts, std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    const auto below = [&](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>{0, limit - 1}(random);
    };
    constexpr std::array waits{20ms, 300ms, 950ms, 4'000ms, 15'000ms, 30'000ms};
    tally out;
    for (std::size_t played = 0; played < count; ++played) {
        std::vector<event> schedule;
        constexpr std::size_t length = 60;
        under.has_open_connections = below(2) == 0;
        while (schedule.size() < length) {
            const auto host = below(under.hosts);
            const auto drawn = below(40);
            if (drawn < 24) {
                // Most steps of a host follow one another.
                schedule.insert(schedule.end(), 1 + below(5), {kind::step, host});
            }
            else if (drawn < 32) {
                schedule.push_back({kind::wait, 0, 0, waits[below(waits.size())]});
            }
            else if (drawn < 34) {
                schedule.push_back({kind::store_return, 0, below(4)});
            }
            else if (drawn < 35) {
                schedule.push_back({kind::other_append, 0, 1 + below(2)});
            }
            else if (drawn < 36) {
                schedule.push_back({kind::notice});
            }
            else if (drawn < 37) {
                schedule.push_back({kind::delay_append, host});
            }
            else if (drawn < 39) {
                schedule.push_back({kind::late_append});
            }
            else if (with_restarts) {
                schedule.push_back({kind::restart, host});
            }
        }
        out.add<Rule>(under, schedule);
    }
    return out;
}

TEST(store_return_schedules_test, no_short_schedule_breaks_the_rule_if_the_store_states_its_epoch)
{
    const auto result = play_all<present_rule>({2, true, false}, true);
    EXPECT_TRUE(result.broken.empty()) << result.counts() << "\n" << result.first;
    EXPECT_GT(result.with_orders, result.schedules / 4) << result.counts();
    RecordProperty("result", result.counts());
}

TEST(store_return_schedules_test, no_random_schedule_breaks_the_rule_if_the_store_states_its_epoch)
{
    const auto result = play_random<present_rule>({3, true, false}, true, 30'000, 1);
    EXPECT_TRUE(result.broken.empty()) << result.counts() << "\n" << result.first;
    EXPECT_GT(result.with_orders, result.schedules / 4) << result.counts();
    RecordProperty("result", result.counts());
}

TEST(store_return_schedules_test, hosts_that_hear_of_orders_break_no_rule_without_an_epoch)
{
    const auto result = play_all<present_rule>({2, false, true}, false);
    EXPECT_TRUE(result.broken.empty()) << result.counts() << "\n" << result.first;
    RecordProperty("result", result.counts());
    const auto random = play_random<present_rule>({3, false, true}, false, 30'000, 2);
    EXPECT_TRUE(random.broken.empty()) << random.counts() << "\n" << random.first;
    RecordProperty("random", random.counts());
}

// What is left without an epoch: the announcement was lost, and its order not heard of.
TEST(store_return_schedules_test,
     an_unheard_order_whose_announcement_was_lost_is_not_excluded_without_an_epoch)
{
    std::vector<event> schedule(5, {kind::step, 0});
    schedule.push_back({kind::store_return, 0, 1});
    schedule.insert(schedule.end(), 8, {kind::step, 1});
    EXPECT_EQ(play<present_rule>({2, false, false}, schedule).broken, "two holders with one token");
    EXPECT_EQ(play<present_rule>({2, false, true}, schedule).broken, "");
    EXPECT_EQ(play<present_rule>({2, true, false}, schedule).broken, "");
}

// Regression: the offset of an announcement was the token for good, and an announcement that a
// returned store had lost excluded nobody.
TEST(store_return_schedules_test, the_search_finds_what_offsets_as_tokens_break)
{
    for (const bool has_epoch : {true, false}) {
        const auto result = play_random<former_rule>({3, has_epoch, true}, true, 3'000, 3);
        EXPECT_GT(result.broken.count("two holders with one token"), 0U) << result.counts();
        EXPECT_GT(result.broken.count("a lower token after a higher one"), 0U) << result.counts();
        EXPECT_GT(result.broken.count("holders that take turns within the lease"), 0U)
            << result.counts();
        RecordProperty("result", result.counts());
    }
}

} // namespace
} // namespace cicadaport::orders::testing
