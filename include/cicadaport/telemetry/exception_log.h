// The log line of an exception that a handler of an event loop did not catch.
//
// Thread safe.
#pragma once

#include <string_view>

namespace cicadaport::telemetry {

// Logs the exception that is being handled; call it in a catch clause only. `handler` names what
// threw. The lines of each thread are bounded per second.
void log_exception(std::string_view handler) noexcept;

} // namespace cicadaport::telemetry
