// A whole entry process: follows the log, serves callers, stops gracefully.
#pragma once

#include "cicadaport/settings/process_settings.h"

namespace cicadaport::entry {

// Runs until SIGTERM or SIGINT and the drain after it. Throws if it can't start.
void run(const settings::entry_settings& settings);

} // namespace cicadaport::entry
