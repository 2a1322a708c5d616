// Differences between two texts, line by line.
#pragma once

#include <string>
#include <string_view>

namespace cicadaport::operator_tool {

// One side of a comparison.
struct named_text {
    std::string_view name;
    std::string_view text;
};

// Returns the unified difference from `before` to `after` with three lines of
// context, or an empty string if the texts are equal.
std::string unified_diff(named_text before, named_text after);

} // namespace cicadaport::operator_tool
