#include "cicadaport/entry/engine_subset.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace cicadaport::entry {
namespace {

// A large fleet: 720 engines of 3 models in 6 availability zones, used by 410 entry
// processes.
constexpr std::size_t fleet_engines = 720;
constexpr std::size_t fleet_processes = 410;
constexpr std::size_t fleet_models = 3;
constexpr std::size_t fleet_zones = 6;

struct fleet {
    fleet(std::size_t engines, std::size_t models, std::size_t zones)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            names.push_back("engine-" + std::to_string(i));
            model_names.push_back("model-" + std::to_string(i % models));
            zone_names.push_back("zone-" + std::to_string(i / models % zones));
        }
        for (std::size_t i = 0; i < engines; ++i) {
            candidates.push_back({names[i], model_names[i], zone_names[i]});
        }
    }

    std::vector<std::string> names;
    std::vector<std::string> model_names;
    std::vector<std::string> zone_names;
    std::vector<subset_candidate> candidates;
};

class large_fleet_test : public testing::Test {
protected:
    std::vector<std::size_t> subset_of(std::size_t process) const
    {
        return choose_subset(m_fleet.candidates, "entry-" + std::to_string(process),
                             "zone-" + std::to_string(process % fleet_zones));
    }

    fleet m_fleet{fleet_engines, fleet_models, fleet_zones};
};

TEST(engine_subset_test, uses_every_engine_of_a_small_fleet)
{
    const fleet small{max_engines, 1, 4};
    EXPECT_EQ(choose_subset(small.candidates, "entry-1", "zone-1").size(), max_engines);
}

TEST(engine_subset_test, uses_every_engine_of_a_small_fleet_for_any_mix_of_roles)
{
    for (std::size_t prefills = 0; prefills <= max_engines; ++prefills) {
        fleet small{max_engines, 1, 3};
        for (std::size_t i = 0; i < prefills; ++i) {
            small.candidates[i].prefills = true;
        }
        EXPECT_EQ(choose_subset(small.candidates, "entry-1", "zone-1").size(), max_engines)
            << prefills << " prefill";
    }
}

TEST_F(large_fleet_test, both_stages_have_engines_in_every_process)
{
    for (std::size_t i = 0; i < fleet_engines; ++i) {
        m_fleet.candidates[i].prefills = i / fleet_models % 3 == 0;
    }
    for (std::size_t process = 0; process < fleet_processes; ++process) {
        std::map<std::pair<std::string_view, bool>, std::size_t> stages;
        for (const auto i : subset_of(process)) {
            ++stages[{m_fleet.candidates[i].model, m_fleet.candidates[i].prefills}];
        }
        EXPECT_EQ(stages.size(), 2 * fleet_models);
        for (const auto& [stage, count] : stages) {
            EXPECT_GE(count, min_engines_per_stage) << stage.first << ' ' << stage.second;
        }
    }
}

TEST(engine_subset_test, an_empty_fleet_gives_an_empty_subset)
{
    EXPECT_THAT(choose_subset({}, "entry-1", "zone-1"), testing::IsEmpty());
}

TEST_F(large_fleet_test, every_process_has_the_same_number_of_engines_of_each_model)
{
    for (std::size_t process = 0; process < fleet_processes; ++process) {
        std::map<std::string_view, std::size_t> by_model;
        for (const auto i : subset_of(process)) {
            ++by_model[m_fleet.candidates[i].model];
        }
        EXPECT_EQ(by_model.size(), fleet_models);
        for (const auto& [model, count] : by_model) {
            EXPECT_EQ(count, max_engines / fleet_models) << model;
        }
    }
}

TEST_F(large_fleet_test, all_processes_together_cover_every_engine)
{
    std::set<std::size_t> covered;
    for (std::size_t process = 0; process < fleet_processes; ++process) {
        const auto subset = subset_of(process);
        covered.insert(subset.begin(), subset.end());
    }
    EXPECT_EQ(covered.size(), fleet_engines);
}

TEST_F(large_fleet_test, at_least_half_but_not_all_are_in_the_same_availability_zone)
{
    for (std::size_t process = 0; process < fleet_processes; ++process) {
        const auto subset = subset_of(process);
        const auto own = std::ranges::count_if(subset, [&](std::size_t i) {
            return m_fleet.zone_names[i] == "zone-" + std::to_string(process % fleet_zones);
        });
        EXPECT_GE(static_cast<std::size_t>(own), max_engines / 2);
        EXPECT_LT(static_cast<std::size_t>(own), max_engines);
    }
}

TEST_F(large_fleet_test, an_unusable_engine_stays_and_one_engine_is_added)
{
    const auto before = subset_of(7);
    m_fleet.candidates[before.front()].usable = false;
    const auto after = subset_of(7);
    EXPECT_EQ(after.size(), before.size() + 1);
    EXPECT_TRUE(std::ranges::includes(after, before));
}

TEST_F(large_fleet_test, a_lost_availability_zone_leaves_as_many_usable_engines)
{
    for (auto& each : m_fleet.candidates) {
        each.usable = each.availability_zone != "zone-1";
    }
    const auto subset = subset_of(1);
    EXPECT_EQ(
        std::ranges::count_if(subset, [&](std::size_t i) { return m_fleet.candidates[i].usable; }),
        static_cast<std::ptrdiff_t>(max_engines));
}

} // namespace
} // namespace cicadaport::entry
