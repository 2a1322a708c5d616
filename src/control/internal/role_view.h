// Role control as operators are shown it.
#pragma once

#include "cicadaport/authority/partition_roles.h"
#include "cicadaport/fold/state.h"

#include <nlohmann/json_fwd.hpp>

#include <span>

namespace cicadaport::control {

// Returns the answer to `GET /v1/admin/roles`: every partition of `state`,
// with what its controller does for those held `here`, and operators' role
// wishes that are not carried out yet. Thread safety: the state's.
nlohmann::json describe_roles(const fold::state& state,
                              std::span<const authority::role_report> here);

} // namespace cicadaport::control
