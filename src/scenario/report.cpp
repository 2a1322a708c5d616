#include "cicadaport/scenario/runner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace cicadaport::scenario {

bool report::passed() const noexcept
{
    return steps.size() == steps_in_script && std::ranges::all_of(steps, &step_result::passed);
}

std::string to_text(const report& value)
{
    std::ostringstream out;
    for (const auto& step : value.steps) {
        out << (step.passed ? "ok      " : "FAILED  ") << step.name
            << (step.detail.empty() ? "" : ": ") << step.detail << " (" << step.took.count()
            << " ms)" << (step.problem.empty() ? "" : ": ") << step.problem << '\n';
    }
    out << (value.passed() ? "passed  " : "FAILED  ") << value.promise << '\n';
    if (!value.folder.empty()) {
        out << "outputs of the processes: " << value.folder << '\n';
    }
    return out.str();
}

std::string to_json(const report& value)
{
    auto steps = nlohmann::json::array();
    for (const auto& step : value.steps) {
        steps.push_back({{"step", step.name},
                         {"detail", step.detail},
                         {"passed", step.passed},
                         {"problem", step.problem},
                         {"took_ms", step.took.count()}});
    }
    const nlohmann::json body{{"promise", value.promise},
                              {"passed", value.passed()},
                              {"steps_in_script", value.steps_in_script},
                              {"steps", std::move(steps)},
                              {"folder", value.folder}};
    return body.dump();
}

} // namespace cicadaport::scenario
