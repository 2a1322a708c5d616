// Structured logs: one line per event, as key=value pairs.
#pragma once

#include <string>

namespace cicadaport::telemetry {

// Sends logs to standard error with the process's name and id in each line.
// `level` is one of trace, debug, info, warn, error. Call once, at start.
//
// Logging never waits: if nobody reads the log, a bounded number of lines is kept and the
// rest is dropped and counted. Kept lines are written with the next line, or by
// `spdlog::default_logger()->flush()`.
void start_logging(const std::string& process, const std::string& level);

} // namespace cicadaport::telemetry
