// Frees the memory of a prompt that was read for nothing.
#pragma once

#include "cicadaport/serving/host_state.h"

namespace cicadaport::serving {

// Tells the engine once; if that fails, the memory ends with its own time
// limit. Returns at once. Belongs to the event loop.
void release_prompt(host_state& host, const read_prompt& prompt);

} // namespace cicadaport::serving
