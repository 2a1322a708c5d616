// Reports the end of requests in logs and metrics.
#pragma once

#include "cicadaport/entry/errors.h"
#include "cicadaport/entry/metrics.h"
#include "cicadaport/entry/request_context.h"

#include <string_view>

namespace cicadaport::entry {

// Each function counts the end of one request and logs it. API keys and bodies
// are never logged.
// Thread safety: any thread.

// Reports that the caller received its whole answer.
void report_answered(metrics& counters, const request_context& context, std::string_view endpoint);

// Reports that the caller received an error instead of an answer.
void report_failed(metrics& counters, const request_context& context,
                   const request_failure& failure);

// Reports an answer that ended early. `result` is "cut", "handed_over" or
// "caller_gone".
void report_interrupted(metrics& counters, const request_context& context,
                        std::string_view endpoint, std::string_view result,
                        std::string_view reason);

} // namespace cicadaport::entry
