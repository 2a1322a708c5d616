// Chooses an engine by load estimate, placement and admission.
#pragma once

#include "cicadaport/entry/engine_choice.h"

namespace cicadaport::entry {

// Like `choose_engine`; `own.decisions` must not be null.
chosen_endpoint decide_engine(const routing::view& view, const engine_request& wanted,
                              const endpoint_filter& filter, worker& own);

} // namespace cicadaport::entry
