// Unique names for requests, appends and processes.
#pragma once

#include <string>

namespace cicadaport::base {

// Returns a fresh random identifier: 32 hexadecimal digits, unique in practice
// over all processes. Thread safety: any thread.
std::string make_identifier();

} // namespace cicadaport::base
