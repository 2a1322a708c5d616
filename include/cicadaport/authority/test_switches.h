// Hooks for tests of the order steps, read from environment variables that are
// not set in production.
//
//   CICADAPORT_UNSAFE_PAUSE_AT=after_check       stops the process there, once
//   CICADAPORT_UNSAFE_SWITCH_OFF=lease_check,process_deadline
#pragma once

#include <string_view>

namespace cicadaport::authority {

// Stops this process with SIGSTOP the first time that it reaches the step that
// a test named. Thread safety: any thread.
void pause_at_test_step(std::string_view step);

// Returns whether a test switched off the named safeguard.
bool is_switched_off(std::string_view safeguard);

} // namespace cicadaport::authority
