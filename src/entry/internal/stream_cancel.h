// Telling an engine that nobody waits for a stream any longer.
#pragma once

#include "cicadaport/entry/worker.h"

#include <string>

namespace cicadaport::entry {

// Cancels the stream `name` at `engine`, without waiting. An engine that can't
// be told ends the stream by itself once nobody reads it.
void cancel_stream(worker& own, const http::address& engine, const std::string& name);

} // namespace cicadaport::entry
