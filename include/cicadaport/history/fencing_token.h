// Fencing tokens from the offsets of acknowledged records.
//
// A token rises with the offset within one history of the store, and with the epoch from one
// history to the next, since a later history gives the same offsets out again.
#pragma once

#include <cstdint>
#include <optional>

namespace cicadaport::history {

// The largest token that is an exact number in a message whose numbers are floating-point (53
// bits).
constexpr std::uint64_t max_fencing_token = (1ULL << 53U) - 1;

// Returns the token of the record at `offset`, at least 1. Without an epoch it is the offset plus
// 1. Empty if the token would be larger than `max_fencing_token`.
std::optional<std::uint64_t> fencing_token(std::optional<std::uint64_t> epoch,
                                           std::uint64_t offset) noexcept;

// The same, but larger than `known`, the largest token that is known to be in use: if need be, it
// is the token that the record would have in a later epoch.
std::optional<std::uint64_t> fencing_token_above(std::uint64_t known,
                                                 std::optional<std::uint64_t> epoch,
                                                 std::uint64_t offset) noexcept;

} // namespace cicadaport::history
