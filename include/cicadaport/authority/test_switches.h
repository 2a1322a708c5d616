// Hooks for tests of the order path, read from the environment. None is set
// in production.
//
//   CICADAPORT_UNSAFE_PAUSE_AT=after_check       the process stops itself there, once
//   CICADAPORT_UNSAFE_SWITCH_OFF=lease_check,process_deadline
#pragma once

#include <string_view>

namespace cicadaport::authority {

// Stops this process with SIGSTOP if a test asked for `step` and it is the
// first time. Thread safety: any thread.
void pause_if_asked(std::string_view step);

// Returns whether a test switched the named safeguard off.
bool is_switched_off(std::string_view safeguard);

} // namespace cicadaport::authority
