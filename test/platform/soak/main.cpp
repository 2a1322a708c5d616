// Runs the fleet soak test. Exits with 1 if a guarantee was violated.
#include "platform/soak/faulty_peer_soak.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>

int main(int argc, char** argv)
{
    using namespace cicadaport::platform::testing;
    CLI::App app{"Injects faults into real host processes and checks their responses."};
    soak_options options;
    std::uint64_t seeds = 1;
    std::int64_t seconds = options.time.count();
    std::int64_t deaf_ms = 0;
    std::string folder;
    const std::map<std::string, soak_shape> shapes{{"recorded", soak_shape::recorded},
                                                   {"drawn", soak_shape::drawn},
                                                   {"stops", soak_shape::stops},
                                                   {"returns", soak_shape::returns}};
    bool faulty_peers = false;
    app.add_option("--host", options.host_program, "The host program")->required();
    app.add_option("--folder", folder, "The directory for settings and logs")->required();
    app.add_option("--seed", options.seed, "The first seed")->capture_default_str();
    app.add_option("--seeds", seeds, "The number of seeds, run in sequence")->capture_default_str();
    app.add_option("--seconds", seconds, "Duration of each run, in s")->capture_default_str();
    app.add_option("--hosts", options.hosts, "The number of hosts")->capture_default_str();
    app.add_option("--shape", options.shape, "recorded, drawn, stops or returns")
        ->transform(CLI::CheckedTransformer(shapes));
    app.add_flag("--faulty-peers", faulty_peers,
                 "Instead of the faults of a shape: callers and replicas that send without end");
    app.add_option("--only-party", options.only_party, "With --faulty-peers: one kind of party");
    app.add_option("--padding", options.padding, "Bytes added to each configuration version");
    app.add_flag("--alone", options.alone, "Hosts don't know each other");
    app.add_option("--deaf-ms", deaf_ms,
                   "Appends within this time after the start of a waiting read do not wake it");
    CLI11_PARSE(app, argc, argv);
    options.time = std::chrono::seconds{seconds};
    options.missed_wakeup_time = std::chrono::milliseconds{deaf_ms};
    std::size_t passed = 0;
    for (std::uint64_t index = 0; index < seeds; ++index, ++options.seed) {
        options.folder = std::filesystem::path{folder} / std::to_string(options.seed);
        std::filesystem::create_directories(options.folder);
        const auto result =
            faulty_peers ? faulty_peer_soak{options}.run() : fleet_soak{options}.run();
        std::ofstream steps{options.folder / "steps.log"};
        for (const auto& each : result.steps) {
            steps << each << '\n';
        }
        for (const auto& each : result.violations) {
            fmt::print("seed {} {}\n", options.seed, each);
        }
        fmt::print("seed={} checks={} limited={} crashes={} stopped={} returns={} missing={} "
                   "orders={} violations={} stall_ms={}\n",
                   options.seed, result.checks, result.limited, result.crashes, result.stopped,
                   result.returns, result.missing, result.orders, result.violations.size(),
                   result.longest_stall.count());
        std::fflush(stdout);
        passed += result.violations.empty() ? 1 : 0;
    }
    fmt::print("{} passed, {} failed\n", passed, seeds - passed);
    return passed == seeds ? EXIT_SUCCESS : EXIT_FAILURE;
}
