// Runs a few schedules against the real processes.
#include "cicadaport/faults/run.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace cicadaport::faults {
namespace {

run_options options()
{
    const char* root = std::getenv("CICADAPORT_ROOT");
    const char* bin = std::getenv("CICADAPORT_BIN");
    run_options out;
    out.root = root == nullptr ? "." : root;
    out.bin = bin == nullptr ? "build/bin" : bin;
    return out;
}

TEST(fault_run_test, no_promise_is_broken_under_three_schedules)
{
    constexpr std::uint64_t seeds[] = {1, 2, 3};
    run_result results[std::size(seeds)];
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::size(seeds); ++i) {
        threads.emplace_back(
            [&, i] { results[i] = run_schedule(make_schedule(seeds[i]), options()); });
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
