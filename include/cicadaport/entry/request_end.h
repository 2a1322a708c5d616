// How requests end, in logs and metrics.
#pragma once

#include "cicadaport/entry/errors.h"
#include "cicadaport/entry/metrics.h"
#include "cicadaport/entry/request_context.h"

#include <string_view>

namespace cicadaport::entry {

// Each counts the end of one request and logs it, never with a key or a body.
// Thread safety: any thread.

// The caller has its whole answer.
void report_answered(metrics& counters, const request_context& context, std::string_view endpoint);

// The caller was told that there is no answer.
void report_failed(metrics& counters, const request_context& context,
                   const request_failure& failure);

// The answer had begun and ended early; `result` says how: "cut",
// "handed_over" or "caller_gone".
void report_interrupted(metrics& counters, const request_context& context,
                        std::string_view endpoint, std::string_view result,
                        std::string_view reason);

} // namespace cicadaport::entry
