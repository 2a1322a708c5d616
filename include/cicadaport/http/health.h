// The pages by which the platform looks at a process.
#pragma once

#include "cicadaport/http/message.h"

#include <functional>
#include <optional>
#include <string>

namespace cicadaport::http {

// What a process says of itself; both are called when asked for.
struct health_source {
    std::function<bool()> is_ready;
    // Metrics in Prometheus' text format.
    std::function<std::string()> metrics;
};

// Returns the answer to /healthz, /readyz or /metrics, or nothing for another
// path. None of them needs a key.
std::optional<response> health_answer(const std::string& path, const health_source& source);

} // namespace cicadaport::http
