#include "cicadaport/entry/request_end.h"

#include <spdlog/spdlog.h>

namespace cicadaport::entry {
namespace {

std::chrono::steady_clock::duration time_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::steady_clock::now() - start;
}

} // namespace

void report_answered(metrics& counters, const request_context& context, std::string_view endpoint)
{
    counters.record_request_end(context.priority, "ok", base::verdict::ran,
                                time_since(context.arrived));
    spdlog::info("request_ended id={} account={} endpoint={} verdict=ran", context.id,
                 context.account, endpoint);
}

void report_failed(metrics& counters, const request_context& context,
                   const request_failure& failure)
{
    const auto kind = to_string(failure.kind());
    const auto outcome = base::to_string(failure.outcome());
    counters.record_request_end(context.priority, kind, failure.outcome(),
                                time_since(context.arrived));
    spdlog::info("request_failed id={} account={} kind={} verdict={} reason=\"{}\"", context.id,
                 context.account, kind, outcome, failure.what());
}

void report_interrupted(metrics& counters, const request_context& context,
                        std::string_view endpoint, std::string_view result, std::string_view reason)
{
    constexpr auto outcome = base::verdict::may_have_run;
    counters.record_request_end(context.priority, result, outcome, time_since(context.arrived));
    spdlog::info("request_interrupted id={} account={} endpoint={} result={} verdict={} "
                 "reason=\"{}\"",
                 context.id, context.account, endpoint, result, base::to_string(outcome), reason);
}

} // namespace cicadaport::entry
