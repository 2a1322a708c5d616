// Cancels streams at an engine.
#pragma once

#include "cicadaport/entry/worker.h"

#include <string>

namespace cicadaport::entry {

// Cancels the stream `name` at `engine` without waiting for the reply. An engine
// that can't be reached ends the stream on its own when no client reads it.
void cancel_stream(worker& own, const http::address& engine, const std::string& name);

} // namespace cicadaport::entry
