// Whether an engine may leave service for a planned change.
#pragma once

#include "cicadaport/fold/state.h"

namespace cicadaport::authority {

// Returns whether at least `least_replicas` other engines serve the model of
// `endpoint`: not drained and without an outstanding order. Thread safety: the
// state's.
bool may_leave_service(const fold::state& state, const configuration::endpoint& endpoint);

} // namespace cicadaport::authority
