#include "cicadaport/faults/schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace cicadaport::faults {
namespace {

constexpr std::uint64_t seeds = 200;

TEST(fault_schedule_test, the_same_seed_gives_the_same_schedule)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        EXPECT_EQ(make_schedule(seed), make_schedule(seed)) << "seed " << seed;
    }
}

TEST(fault_schedule_test, different_seeds_give_different_schedules)
{
    std::set<std::string> texts;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        texts.insert(to_text(make_schedule(seed)));
    }
    EXPECT_EQ(texts.size(), seeds);
}

TEST(fault_schedule_test, every_kind_of_fault_comes_together_with_others_and_twice)
{
    std::set<fault_kind> kinds;
    std::set<fault_kind> twice;
    std::uint64_t overlapping = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto faults = make_schedule(seed).faults;
        for (std::size_t i = 0; i < faults.size(); ++i) {
            kinds.insert(faults[i].kind);
            for (std::size_t j = i + 1; j < faults.size(); ++j) {
                overlapping += faults[j].at < faults[i].at + faults[i].lasts ? 1 : 0;
                if (faults[i].kind == faults[j].kind) {
                    twice.insert(faults[i].kind);
                }
            }
        }
    }
    EXPECT_EQ(kinds.size(), 10U);
    EXPECT_EQ(twice.size(), kinds.size());
    EXPECT_GT(overlapping, seeds);
}

TEST(fault_schedule_test, a_frozen_process_sleeps_longer_than_its_lease)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto what = make_schedule(seed);
        for (const auto& each : what.faults) {
            if (each.kind == fault_kind::freeze) {
                EXPECT_GT(each.lasts, what.lease_time) << to_text(what);
            }
        }
    }
}

TEST(fault_schedule_test, faults_befall_processes_that_there_are)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto what = make_schedule(seed);
        std::set<std::string> known{"", std::string{lease_holder}};
        for (std::uint32_t i = 1; i <= what.hosts; ++i) {
            known.insert(control_name(i));
        }
        for (std::uint32_t i = 1; i <= what.entries; ++i) {
            known.insert(entry_name(i));
        }
        for (std::uint32_t i = 1; i <= what.engines; ++i) {
            known.insert(engine_name(i));
        }
        EXPECT_TRUE(std::ranges::all_of(what.faults, [&](const fault& each) {
            return known.contains(each.target);
        })) << to_text(what);
    }
}

} // namespace
} // namespace cicadaport::faults
