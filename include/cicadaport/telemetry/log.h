// Structured logs: one line per event, as key=value pairs.
#pragma once

#include <string>

namespace cicadaport::telemetry {

// Sends logs to standard error with the process's name and id in each line.
// `level` is one of trace, debug, info, warn, error. Call once, at start.
void start_logging(const std::string& process, const std::string& level);

} // namespace cicadaport::telemetry
