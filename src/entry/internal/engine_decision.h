// The choice of an engine by estimate, placement and admission.
#pragma once

#include "cicadaport/entry/engine_choice.h"

namespace cicadaport::entry {

// As `choose_engine`, for a worker that has decision state.
chosen_endpoint decide_engine(const routing::view& view, const engine_request& wanted,
                              const endpoint_filter& filter, worker& own);

} // namespace cicadaport::entry
