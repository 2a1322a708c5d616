// A whole control process: folds the log, relays it, serves operators.
#pragma once

#include "cicadaport/settings/process_settings.h"

namespace cicadaport::control {

// Runs until SIGTERM or SIGINT. Throws if it can't start.
void run(const settings::control_settings& settings);

} // namespace cicadaport::control
