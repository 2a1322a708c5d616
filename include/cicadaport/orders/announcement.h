// What the record of an announced order says.
//
// Its value is the wanted stage, the fencing token and the holder, separated by spaces. Records of
// earlier builds consist of the stage alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadaport::orders {

struct announcement {
    std::string stage;
    // Empty in records of earlier builds.
    std::optional<std::uint64_t> token;
    std::string holder;
};

std::string to_value(const announcement& from);

// Parses a record's value. What is no announcement counts as a stage without a token.
announcement parse_announcement(std::string_view value);

} // namespace cicadaport::orders
