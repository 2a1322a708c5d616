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
    constexpr milliseconds first_wakes{13'000};
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

// A process starts again while the log is out of its reach and the only peer
// that it reaches was cut off before the last edits.
schedule lagging_peer_schedule()
{
    constexpr milliseconds peer_falls_behind{300};
    constexpr milliseconds restart{1'300};
    constexpr milliseconds mended{3'800};
    schedule out;
    out.hosts = 2;
    out.zones = 2;
    out.faults = {{fault_kind::cut_from_log, control_name(2), "", 0, peer_falls_behind,
                   mended - peer_falls_behind},
                  {fault_kind::cut_from_peers, control_name(2), "", 0, peer_falls_behind,
                   restart - peer_falls_behind},
                  {fault_kind::kill, control_name(1), "", 0, restart, milliseconds{300}},
                  {fault_kind::cut_from_log, control_name(1), "", 0, restart, mended - restart}};
    out.edits = {{milliseconds{600}, {control_name(1)}}, {milliseconds{900}, {control_name(1)}}};
    return out;
}

// Runs with all safeguards, all at the same time, once for all tests of them.
class fault_run_test : public ::testing::Test {
protected:
    static void SetUpTestSuite()
    {
        results = run_all({make_schedule(1), make_schedule(2), make_schedule(3),
                           frozen_holder_schedule(), lagging_peer_schedule()});
    }

    static inline std::vector<run_result> results;
};

TEST_F(fault_run_test, no_promise_is_broken_under_random_schedules_and_with_a_frozen_holder)
{
    for (std::size_t i = 0; i + 1 < results.size(); ++i) {
        const auto& each = results[i];
        EXPECT_TRUE(each.passed()) << to_line(each);
        EXPECT_FALSE(each.records.edits.empty()) << to_line(each);
        EXPECT_FALSE(each.records.leases.empty()) << to_line(each);
    }
}

TEST_F(fault_run_test, a_restarted_process_beside_a_lagging_peer_does_not_go_back)
{
    EXPECT_TRUE(results.back().passed()) << to_line(results.back());
}

TEST_F(fault_run_test, without_the_safeguards_the_frozen_holder_breaks_promises)
{
    ::setenv("CICADAPORT_UNSAFE_SWITCH_OFF", "lease_check,process_deadline", 1);
    const auto runs = run_all({frozen_holder_schedule()});
    ::unsetenv("CICADAPORT_UNSAFE_SWITCH_OFF");
    const auto is_found = [&](breach_kind kind) {
        return std::ranges::any_of(runs[0].breaches,
                                   [&](const breach& each) { return each.kind == kind; });
    };
    EXPECT_TRUE(is_found(breach_kind::conflicting_orders)) << to_line(runs[0]);
    EXPECT_TRUE(is_found(breach_kind::two_holders)) << to_line(runs[0]);
    std::error_code ignored;
    std::filesystem::remove_all(runs[0].folder, ignored);
}

} // namespace
} // namespace cicadaport::faults
