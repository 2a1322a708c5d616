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
constexpr std::size_t letter_engines = 720;
constexpr std::size_t letter_processes = 410;
constexpr std::size_t letter_models = 3;
constexpr std::size_t letter_zones = 6;

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

class letter_fleet_test : public testing::Test {
protected:
    std::vector<std::size_t> subset_of(std::size_t process) const
    {
        return choose_subset(m_fleet.candidates, "entry-" + std::to_string(process),
                             "zone-" + std::to_string(process % letter_zones));
    }

    fleet m_fleet{letter_engines, letter_models, letter_zones};
};

TEST(engine_subset_test, a_small_fleet_is_used_whole)
{
    const fleet small{max_engines, 1, 4};
    EXPECT_EQ(choose_subset(small.candidates, "entry-1", "zone-1").size(), max_engines);
}

TEST(engine_subset_test, a_small_fleet_is_used_whole_however_its_roles_are_shared_out)
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

TEST_F(letter_fleet_test, both_stages_have_engines_in_every_process)
{
    for (std::size_t i = 0; i < letter_engines; ++i) {
        m_fleet.candidates[i].prefills = i / letter_models % 3 == 0;
    }
    for (std::size_t process = 0; process < letter_processes; ++process) {
        std::map<std::pair<std::string_view, bool>, std::size_t> stages;
        for (const auto i : subset_of(process)) {
            ++stages[{m_fleet.candidates[i].model, m_fleet.candidates[i].prefills}];
        }
        EXPECT_EQ(stages.size(), 2 * letter_models);
        for (const auto& [stage, count] : stages) {
            EXPECT_GE(count, min_engines_per_stage) << stage.first << ' ' << stage.second;
        }
    }
}

TEST(engine_subset_test, nothing_is_chosen_from_nothing)
{
    EXPECT_THAT(choose_subset({}, "entry-1", "zone-1"), testing::IsEmpty());
}

TEST_F(letter_fleet_test, every_process_has_engines_of_every_model_and_few_in_all)
{
    for (std::size_t process = 0; process < letter_processes; ++process) {
        std::map<std::string_view, std::size_t> by_model;
        for (const auto i : subset_of(process)) {
            ++by_model[m_fleet.candidates[i].model];
        }
        EXPECT_EQ(by_model.size(), letter_models);
        for (const auto& [model, count] : by_model) {
            EXPECT_EQ(count, max_engines / letter_models) << model;
        }
    }
}

TEST_F(letter_fleet_test, all_processes_together_cover_every_engine)
{
    std::set<std::size_t> covered;
    for (std::size_t process = 0; process < letter_processes; ++process) {
        const auto subset = subset_of(process);
        covered.insert(subset.begin(), subset.end());
    }
    EXPECT_EQ(covered.size(), letter_engines);
}

TEST_F(letter_fleet_test, half_are_of_the_own_availability_zone_and_not_all)
{
    for (std::size_t process = 0; process < letter_processes; ++process) {
        const auto subset = subset_of(process);
        const auto own = std::ranges::count_if(subset, [&](std::size_t i) {
            return m_fleet.zone_names[i] == "zone-" + std::to_string(process % letter_zones);
        });
        EXPECT_GE(static_cast<std::size_t>(own), max_engines / 2);
        EXPECT_LT(static_cast<std::size_t>(own), max_engines);
    }
}

TEST_F(letter_fleet_test, an_unusable_engine_stays_and_one_other_joins_it)
{
    const auto before = subset_of(7);
    m_fleet.candidates[before.front()].usable = false;
    const auto after = subset_of(7);
    EXPECT_EQ(after.size(), before.size() + 1);
    EXPECT_TRUE(std::ranges::includes(after, before));
}

TEST_F(letter_fleet_test, a_lost_availability_zone_leaves_as_many_usable_engines)
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
