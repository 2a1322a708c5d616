// Chooses which engines change their stage.
//
// Pure. Not thread safe.
#pragma once

#include "cicadaport/serving/stream_origins.h"

namespace cicadaport::serving {

// An engine that may change its stage, and the work that the change would delay.
struct stage_candidate {
    endpoint_pointer engine;
    double cost = 0;
};

// Returns up to `count` engines for a change to the stage `to`, those with the least cost.
std::vector<endpoint_pointer> choose_engines_to_change(std::vector<stage_candidate> candidates,
                                                       std::size_t count);

} // namespace cicadaport::serving
