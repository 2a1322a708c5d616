#include "cicadaport/telemetry/exception_log.h"

#include "cicadaport/base/line_budget.h"

#include <spdlog/spdlog.h>

#include <exception>

namespace cicadaport::telemetry {
namespace {

void write_line(std::string_view handler, std::string_view reason, std::uint64_t passed_over)
{
    spdlog::error("handler_failed handler={} error=\"{}\" passed_over={}", handler, reason,
                  passed_over);
}

} // namespace

void log_exception(std::string_view handler) noexcept
{
    static thread_local base::line_budget budget;
    if (!budget.try_acquire(base::boot_clock::now())) {
        return;
    }
    const auto passed_over = budget.take_suppressed_count();
    // Does not throw: the logger handles its own failures.
    try {
        throw;
    }
    catch (const std::exception& error) {
        write_line(handler, error.what(), passed_over);
    }
    catch (...) {
        write_line(handler, "unknown", passed_over);
    }
}

} // namespace cicadaport::telemetry
