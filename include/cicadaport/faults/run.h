// Runs a schedule of faults against processes that it starts and ends itself.
//
//   const auto result = faults::run_schedule(faults::make_schedule(17), options);
//   std::cout << faults::to_line(result) << '\n';
#pragma once

#include "cicadaport/faults/checker.h"
#include "cicadaport/faults/schedule.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadaport::faults {

// Where the programs are and what a run may use.
struct run_options {
    // The repository's root, which has scripts/make_deployment.
    std::string root;
    // The folder of the binaries.
    std::string bin;
    // Runs at the same time, also of other programs, take blocks of ports from
    // here on, below those from which the system serves outgoing connections.
    std::uint16_t first_port = 18'000;
};

// How many runs can go on at the same time.
constexpr std::uint16_t most_runs = 6;

struct run_result {
    std::uint64_t seed = 0;
    run_records records;
    std::vector<breach> breaches;
    // Why the run could not be carried out; empty if it was.
    std::string problem;
    // The schedule, the records and the outputs of the processes; kept only if
    // something was found.
    std::string folder;

    bool passed() const noexcept { return breaches.empty() && problem.empty(); }
};

// Carries out a schedule and checks the records. All processes that were
// started have ended when it returns. Thread safety: any thread.
run_result run_schedule(const schedule& what, const run_options& options);

// One line about the run, and one more for each breach.
std::string to_line(const run_result& value);

} // namespace cicadaport::faults
