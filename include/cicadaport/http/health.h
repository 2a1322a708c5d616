// The HTTP paths by which the platform checks the health of a process.
#pragma once

#include "cicadaport/http/message.h"

#include <functional>
#include <optional>
#include <string>

namespace cicadaport::http {

// Health and metrics of a process; each function is called on request.
struct health_source {
    std::function<bool()> is_ready;
    // Returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics;
};

// Returns the answer to /healthz, /readyz or /metrics, or nothing for another
// path. None of them needs a key.
std::optional<response> health_answer(const std::string& path, const health_source& source);

} // namespace cicadaport::http
