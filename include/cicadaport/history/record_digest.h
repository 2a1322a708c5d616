// Digests of records, by which two readers of a list, or two reads of one reader, find out whether
// they have seen the same history without an epoch from the store. Two different records have the
// same digest with a probability of 2^-32.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cicadaport::history {

// The digest of a record; empty if the record is not known.
using record_digest = std::optional<std::uint32_t>;

// `value` is empty if the record removes its key.
std::uint32_t digest_of(std::string_view key, std::optional<std::string_view> value) noexcept;

// Returns whether two digests show that two records at one offset differ.
constexpr bool contradict(const record_digest& one, const record_digest& other) noexcept
{
    return one && other && *one != *other;
}

} // namespace cicadaport::history
