// The digest by which all hosts recognize a request that comes again.
#pragma once

#include "cicadaport/serving/wire.h"

#include <cstdint>
#include <string_view>

namespace cicadaport::serving {

// Returns a digest of what makes two requests the same: method, authority, target, caller and body.
// Equal on all hosts and builds. A caller can't make its request collide with another one: the
// digest is the beginning of a BLAKE2b hash. Takes time in proportion to the size of the body.
std::uint64_t request_digest(const transport::message_head& head, const request_metadata& metadata,
                             std::string_view body);

} // namespace cicadaport::serving
