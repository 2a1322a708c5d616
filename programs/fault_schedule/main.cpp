// Runs random fault schedules, several at a time, and checks their records.
#include "cicadaport/faults/run.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

namespace faults = cicadaport::faults;

struct settings {
    faults::run_options run;
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 1;
    unsigned parallel = 3;
    bool as_json = false;
};

// What all runs came to.
struct totals {
    std::map<std::string, std::uint64_t> breaches;
    std::uint64_t runs = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t faults = 0;
    std::uint64_t orders = 0;
    std::uint64_t edits = 0;
    std::uint64_t claims = 0;
};

void add(totals& to, const faults::run_result& result, const faults::schedule& what)
{
    ++to.runs;
    to.failed += result.breaches.empty() ? 0 : 1;
    to.not_run += result.problem.empty() ? 0 : 1;
    to.faults += what.faults.size();
    to.edits += result.records.edits.size();
    for (const auto& each : result.records.engines) {
        to.orders += each.orders.size();
    }
    for (const auto& each : result.records.leases) {
        to.claims += each.change == faults::lease_change::claimed ? 1 : 0;
    }
    for (const auto& each : result.breaches) {
        ++to.breaches[std::string{to_string(each.kind)}];
    }
}

void print(const std::string& metric, std::uint64_t value, const std::string& unit,
           const std::string& target)
{
    const nlohmann::json line{{"bench", "fault_schedules"},
                              {"metric", metric},
                              {"value", value},
                              {"unit", unit},
                              {"target", target}};
    std::cout << line.dump() << '\n';
}

void print_json(totals all)
{
    auto& found = all.breaches;
    print("schedules", all.runs, "schedules", ">= 200");
    print("schedules_not_run", all.not_run, "schedules", "<= 0");
    print("schedules_with_breaches", all.failed, "schedules", "<= 0");
    print("conflicts", found["conflicting_orders"] + found["stale_order"], "orders", "<= 0");
    print("unannounced_orders", found["unannounced_order"], "orders", "<= 0");
    print("reverts", found["reverted"] + found["wrong_text"], "times", "<= 0");
    print("lost_edits", found["lost_edit"], "edits", "<= 0");
    print("unwanted_edits", found["unwanted_edit"], "edits", "<= 0");
    print("late_processes", found["late"], "processes", "<= 0");
    print("two_holders", found["two_holders"], "times", "<= 0");
    print("faults", all.faults, "faults", "");
    print("orders_received", all.orders, "orders", "");
    print("edits_accepted", all.edits, "edits", "");
    print("leases_claimed", all.claims, "claims", "");
}

void print_text(const totals& all)
{
    std::cout << all.runs << " schedules: " << all.failed << " with breaches, " << all.not_run
              << " not run; " << all.faults << " faults, " << all.orders << " orders received, "
              << all.edits << " edits, " << all.claims << " claims\n";
    for (const auto& [kind, count] : all.breaches) {
        std::cout << "  " << kind << ": " << count << '\n';
    }
}

totals run_all(const settings& how)
{
    totals out;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{0};
    const auto work = [&] {
        for (auto i = next++; i < how.seeds; i = next++) {
            const auto what = faults::make_schedule(how.first_seed + i);
            const auto result = faults::run_schedule(what, how.run);
            const std::scoped_lock lock{mutex};
            add(out, result, what);
            std::cerr << to_line(result) << std::endl;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < how.parallel; ++i) {
        threads.emplace_back(work);
    }
    for (auto& each : threads) {
        each.join();
    }
    return out;
}

// The folder of this program, where the other binaries are.
std::string own_folder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Runs random fault schedules and checks the records; exit code 0: nothing "
                 "found, 1: a breach, 2: a schedule could not be run"};
    settings how;
    how.run.root = std::filesystem::current_path().string();
    how.run.bin = own_folder();
    bool only_show = false;
    app.add_option("--root", how.run.root, "The repository's root")->envname("CICADAPORT_ROOT");
    app.add_option("--first-seed", how.first_seed, "The first seed");
    app.add_option("--seeds", how.seeds, "How many seeds, one after the other");
    app.add_option("--parallel", how.parallel, "How many schedules at a time")
        ->check(CLI::Range(1U, unsigned{faults::most_runs}));
    app.add_option("--first-port", how.run.first_port, "From where on runs take blocks of ports");
    app.add_flag("--json", how.as_json, "Print a JSON line for each total");
    app.add_flag("--show", only_show, "Print the schedules and run nothing");
    CLI11_PARSE(app, argc, argv);
    if (only_show) {
        for (std::uint64_t i = 0; i < how.seeds; ++i) {
            std::cout << to_text(faults::make_schedule(how.first_seed + i));
        }
        return 0;
    }
    const auto all = run_all(how);
    how.as_json ? print_json(all) : print_text(all);
    if (all.failed > 0) {
        return 1;
    }
    return all.not_run > 0 ? 2 : 0;
}
