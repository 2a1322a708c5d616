// Runs scenarios against processes that it starts and ends itself.
//
//   const auto result = scenario::run(script, {root, bin});
//   std::cout << scenario::to_text(result);
//   return result.passed() ? 0 : 1;
#pragma once

#include "cicadaport/scenario/script.h"

#include <chrono>
#include <string>
#include <vector>

namespace cicadaport::scenario {

// Where the programs are.
struct run_options {
    // The repository's root, which has scripts/make_deployment.
    std::string root;
    // The folder of the binaries.
    std::string bin;
};

// What became of one step.
struct step_result {
    std::string name;
    std::string detail;
    bool passed = false;
    // What was seen in place of what was expected.
    std::string problem;
    std::chrono::milliseconds took{0};
};

// What became of a scenario. The steps after a failed one are not run.
struct report {
    std::string promise;
    std::vector<step_result> steps;
    std::size_t steps_in_script = 0;
    // Settings and outputs of the processes; kept only after a failure.
    std::string folder;

    bool passed() const noexcept;
};

// Runs a scenario to its end or its first failure. All processes that were
// started have ended when it returns. Throws std::runtime_error if nothing
// could be started.
report run(const script& what, const run_options& options);

// One line per step, then one for the whole.
std::string to_text(const report& value);

// The same as one JSON object.
std::string to_json(const report& value);

} // namespace cicadaport::scenario
