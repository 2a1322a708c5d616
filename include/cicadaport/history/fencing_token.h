// Fencing tokens from the offsets of acknowledged records.
//
// A token rises with the offset within one history of the store, and with the epoch from one
// history to the next, since a later history gives the same offsets out again.
#pragma once

#include <cstdint>
#include <optional>

namespace cicadaport::history {

// Returns the token of the record at `offset`, at least 1. Without an epoch it is the offset plus
// 1. Empty if the token would be no exact number in a message whose numbers are floating-point
// (53 bits).
std::optional<std::uint64_t> fencing_token(std::optional<std::uint64_t> epoch,
                                           std::uint64_t offset) noexcept;

} // namespace cicadaport::history
