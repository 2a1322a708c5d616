#include "cicadaport/scenario/runner.h"

#include "internal/session.h"

namespace cicadaport::scenario {
namespace {

using clock = std::chrono::steady_clock;

step_result run_step(session& running, const step& what)
{
    step_result out{what.name, what.detail, false, {}, {}};
    const auto started = clock::now();
    try {
        running.execute(what);
        out.passed = true;
    }
    catch (const std::exception& error) {
        out.problem = error.what();
    }
    out.took = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - started);
    return out;
}

} // namespace

report run(const script& what, const run_options& options)
{
    report out;
    out.promise = what.promise;
    out.steps_in_script = what.steps.size();
    session running{what, options};
    for (const auto& step : what.steps) {
        out.steps.push_back(run_step(running, step));
        if (!out.steps.back().passed) {
            out.folder = running.keep_folder();
            break;
        }
    }
    return out;
}

} // namespace cicadaport::scenario
