// Runs a few schedules against the real processes.
#include "cicadaport/faults/run.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <thread>

namespace cicadaport::faults {
namespace {

using std::chrono::milliseconds;

run_options options()
{
    const char* root = std::getenv("CICADAPORT_ROOT");
    const char* bin = std::getenv("CICADAPORT_BIN");
    run_options out;
    out.root = root == nullptr ? "." : root;
    out.bin = bin == nullptr ? "build/bin" : bin;
    return out;
}

// The holder stops itself with an order unsent and sleeps until its successor
// has given the same engine, which checks no fencing numbers, a different one.
schedule frozen_holder_schedule()
{
    constexpr milliseconds second_starts{3'500};
    constexpr milliseconds first_wakes{12'000};
    schedule out;
    out.hosts = 2;
    out.some_check_fencing = false;
    // The first process holds the lease, as there is no other.
    out.faults = {{fault_kind::kill, control_name(2), "", 0, milliseconds{0}, second_starts},
                  {fault_kind::freeze_at_step, control_name(1), "before_check", 0, milliseconds{0},
                   first_wakes}};
    out.wishes = {{second_starts, control_name(1), engine_name(2), "prefill"},
                  {milliseconds{6'500}, control_name(2), engine_name(2), "decode"}};
    return out;
}

std::vector<run_result> run_all(const std::vector<schedule>& schedules)
{
    std::vector<run_result> out(schedules.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < schedules.size(); ++i) {
        threads.emplace_back([&, i] { out[i] = run_schedule(schedules[i], options()); });
    }
    for (auto& each : threads) {
        each.join();
    }
    return out;
}

TEST(fault_run_test, no_promise_is_broken_under_random_schedules_and_with_a_frozen_holder)
{
    const auto results =
        run_all({make_schedule(1), make_schedule(2), make_schedule(3), frozen_holder_schedule()});
    for (const auto& each : results) {
        EXPECT_TRUE(each.passed()) << to_line(each);
        EXPECT_FALSE(each.records.edits.empty()) << to_line(each);
        EXPECT_FALSE(each.records.leases.empty()) << to_line(each);
    }
}

TEST(fault_run_test, without_the_safeguards_the_frozen_holder_breaks_promises)
{
    ::setenv("CICADAPORT_UNSAFE_SWITCH_OFF", "lease_check,process_deadline", 1);
    const auto results = run_all({frozen_holder_schedule()});
    ::unsetenv("CICADAPORT_UNSAFE_SWITCH_OFF");
    const auto is_found = [&](breach_kind kind) {
        return std::ranges::any_of(results[0].breaches,
                                   [&](const breach& each) { return each.kind == kind; });
    };
    EXPECT_TRUE(is_found(breach_kind::conflicting_orders)) << to_line(results[0]);
    EXPECT_TRUE(is_found(breach_kind::two_holders)) << to_line(results[0]);
    std::error_code ignored;
    std::filesystem::remove_all(results[0].folder, ignored);
}

} // namespace
} // namespace cicadaport::faults
