// Chooses which engines change their stage.
//
// A stream continues only on the software version that began it, so each version needs engines
// that decode, not only the service as a whole.
//
// Pure. Not thread safe.
#pragma once

#include "cicadaport/serving/stream_origins.h"

namespace cicadaport::serving {

// Number of decode engines that a version keeps, so that the loss of one does not end its streams.
constexpr std::size_t min_decode_engines_per_version = 2;

// An engine that may change its stage, and the work that the change would delay.
struct stage_candidate {
    endpoint_pointer engine;
    double cost = 0;
};

// Returns up to `count` engines for a change to the stage `to`. `decoding` are the engines that
// decode now, or will when their change has ended. Of several versions the one with the most decode
// engines gives engines away first, and the one with the fewest gets engines first; among engines
// of one version those with the least cost are chosen.
std::vector<endpoint_pointer> choose_engines_to_change(std::vector<stage_candidate> candidates,
                                                       std::span<const endpoint_pointer> decoding,
                                                       engine_stage to, std::size_t count);

} // namespace cicadaport::serving
