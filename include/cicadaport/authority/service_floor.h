// Checks whether an engine may leave service for a planned change.
#pragma once

#include "cicadaport/fold/state.h"

namespace cicadaport::authority {

// Returns whether at least `least_replicas` other engines serve the model of
// `endpoint`; an engine that is drained or has an outstanding order does not
// count. Thread safety: that of `state`.
bool may_leave_service(const fold::state& state, const configuration::endpoint& endpoint);

} // namespace cicadaport::authority
