// Measures how soon another process takes over from a lease holder that is
// killed, frozen or cut off, and carries out an order wished at that moment.
#include "cicadaport/faults/run.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <thread>

namespace {

namespace faults = cicadaport::faults;
using faults::fault_kind;
using std::chrono::milliseconds;

constexpr milliseconds fault_at{3'000};
constexpr milliseconds fault_lasts{14'000};
constexpr milliseconds wish_delay{5};

struct settings {
    faults::run_options run;
    unsigned tries = 5;
    std::int64_t lease_ms = 3'000;
};

// A fault of the holder, with hosts that share a reader of the log or do not.
struct measured_case {
    std::string name;
    std::vector<fault_kind> kinds;
    std::uint32_t zones = 1;
};

// What one try took, in lease durations; nothing if it did not come about.
struct try_result {
    std::optional<double> takeover;
    std::optional<double> order;
    bool passed = false;
};

faults::schedule make_schedule(const measured_case& of, const settings& how, std::uint64_t seed)
{
    faults::schedule out;
    out.seed = seed;
    out.zones = of.zones;
    out.lease_time = milliseconds{how.lease_ms};
    for (const auto kind : of.kinds) {
        faults::fault each;
        each.kind = kind;
        each.target = faults::lease_holder;
        each.at = fault_at;
        each.lasts = fault_lasts;
        out.faults.push_back(std::move(each));
    }
    const std::string other{faults::other_than_lease_holder};
    out.wishes.push_back({fault_at + wish_delay, other, faults::engine_name(2), "prefill"});
    return out;
}

try_result read_times(const faults::run_result& run, const settings& how)
{
    try_result out;
    out.passed = run.passed();
    if (run.records.begun.empty()) {
        return out;
    }
    const auto begun = run.records.begun.front().at;
    const auto in_leases = [&](milliseconds at) {
        return static_cast<double>((at - begun).count()) / static_cast<double>(how.lease_ms);
    };
    for (const auto& each : run.records.leases) {
        if (each.change == faults::lease_change::claimed && each.when.not_before > begun &&
            !out.takeover) {
            out.takeover = in_leases(each.when.not_after);
        }
    }
    for (const auto& each : run.records.settled) {
        if (each.applied && each.when.not_before > begun && !out.order) {
            out.order = in_leases(each.when.not_after);
        }
    }
    return out;
}

void print(const std::string& metric, double value, const std::string& unit,
           const std::string& target)
{
    const nlohmann::json line{{"bench", "control_takeover"},
                              {"metric", metric},
                              {"value", value},
                              {"unit", unit},
                              {"target", target}};
    std::cout << line.dump() << std::endl;
}

void print_times(const std::string& name, std::vector<double> times, unsigned tries)
{
    constexpr char target[] = "<= 3";
    print(name + "_never", static_cast<double>(tries - times.size()), "tries", "<= 0");
    if (!times.empty()) {
        std::ranges::sort(times);
        print(name + "_p50", times[times.size() / 2], "leases", target);
        print(name + "_most", times.back(), "leases", target);
    }
}

// The tries of one case, all at the same time.
std::vector<try_result> try_all(const measured_case& of, const settings& how)
{
    std::vector<try_result> out(how.tries);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < how.tries; ++i) {
        threads.emplace_back([&, i] {
            const auto run = run_schedule(make_schedule(of, how, i + 1), how.run);
            out[i] = read_times(run, how);
            if (!run.passed()) {
                std::cerr << to_line(run) << std::endl;
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    return out;
}

void measure(const measured_case& of, const settings& how)
{
    std::vector<double> takeovers;
    std::vector<double> orders;
    unsigned failed = 0;
    for (const auto& each : try_all(of, how)) {
        failed += each.passed ? 0 : 1;
        if (each.takeover) {
            takeovers.push_back(*each.takeover);
        }
        if (each.order) {
            orders.push_back(*each.order);
        }
    }
    print(of.name + "_breaches", failed, "tries", "<= 0");
    print_times(of.name + "_takeover", takeovers, how.tries);
    print_times(of.name + "_order", orders, how.tries);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Measures takeovers of the lease"};
    settings how;
    how.run.root = std::filesystem::current_path().string();
    how.run.bin = how.run.root + "/build/bin";
    app.add_option("--tries", how.tries, "Tries of each case, at the same time")
        ->check(CLI::Range(1U, unsigned{faults::most_runs}));
    app.add_option("--lease-ms", how.lease_ms, "Duration of the lease");
    app.add_option("--first-port", how.run.first_port, "From where on runs take blocks of ports");
    CLI11_PARSE(app, argc, argv);
    const std::vector<fault_kind> cut{fault_kind::cut_from_log, fault_kind::cut_from_peers};
    constexpr std::uint32_t shared = 1;
    constexpr std::uint32_t separate = 3;
    for (const auto& [zones, suffix] :
         {std::pair{separate, "own_zones"}, std::pair{shared, "one_zone"}}) {
        measure({std::string{"kill_"} + suffix, {fault_kind::kill}, zones}, how);
        measure({std::string{"freeze_"} + suffix, {fault_kind::freeze}, zones}, how);
        measure({std::string{"cut_"} + suffix, cut, zones}, how);
    }
    return 0;
}
