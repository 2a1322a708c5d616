// Runs an entry process: follows the log, serves clients, stops gracefully.
#pragma once

#include "cicadaport/settings/process_settings.h"

namespace cicadaport::entry {

// Returns after SIGTERM or SIGINT and connection draining. Throws if the process
// can't start.
void run(const settings::entry_settings& settings);

} // namespace cicadaport::entry
