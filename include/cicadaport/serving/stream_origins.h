// Which replicas may continue an interrupted stream.
//
// What two software versions generate does not fit together, and replicas do not check who began
// a stream. A stream may therefore continue only on the version that began it: its origin.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

namespace cicadaport::serving {

// Identifies a software version of one service; the same on all hosts.
using origin_id = std::uint64_t;

// Returns the origin of the streams that a replica begins.
origin_id origin_of(const endpoint_report& replica);

} // namespace cicadaport::serving
