// Hash functions that give the same result on all hosts.
#pragma once

#include <cstdint>

namespace cicadaport::serving {

// Returns the hash of a number over all 64 bits (the finalizer of splitmix64).
constexpr std::uint64_t hash_number(std::uint64_t value) noexcept
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace cicadaport::serving
