// The rate limit on log lines under the name that this package uses.
#pragma once

#include "cicadaport/base/line_budget.h"

namespace cicadaport::serving {

using base::line_budget;

} // namespace cicadaport::serving
