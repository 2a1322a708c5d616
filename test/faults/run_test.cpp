// Runs a few schedules against the real processes.
#include "cicadaport/faults/run.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace cicadaport::faults {
namespace {

constexpr std::uint16_t first_port = 18'000;

run_options options_at(std::uint16_t base_port)
{
    const char* root = std::getenv("CICADAPORT_ROOT");
    const char* bin = std::getenv("CICADAPORT_BIN");
    return {root == nullptr ? "." : root, bin == nullptr ? "build/bin" : bin, base_port};
}

TEST(fault_run_test, no_promise_is_broken_under_three_schedules)
{
    constexpr std::uint64_t seeds[] = {1, 2, 3};
    run_result results[std::size(seeds)];
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::size(seeds); ++i) {
        threads.emplace_back([&, i] {
            const auto port = static_cast<std::uint16_t>(first_port + i * ports_per_run);
            results[i] = run_schedule(make_schedule(seeds[i]), options_at(port));
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    for (const auto& each : results) {
        EXPECT_TRUE(each.passed()) << to_line(each);
        EXPECT_FALSE(each.records.edits.empty()) << to_line(each);
        EXPECT_FALSE(each.records.leases.empty()) << to_line(each);
    }
}

} // namespace
} // namespace cicadaport::faults
