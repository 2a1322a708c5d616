// Lists of objects as text with aligned columns.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace cicadaport::operator_tool {

// Returns a list of flat objects, one a line under a heading; numbers are
// aligned to the right. Fields that an object lacks are shown as "-".
std::string format_table(const nlohmann::json& list);

} // namespace cicadaport::operator_tool
