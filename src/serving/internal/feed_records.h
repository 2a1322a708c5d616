// What the parts of a feed follower know of the records of a list.
#pragma once

#include "cicadaport/serving/wire.h"

#include <algorithm>
#include <span>

namespace cicadaport::serving {

// The datagrams of one page arrive within a few milliseconds.
constexpr milliseconds max_gap_delay{100};

// Returns whether a record makes all earlier ones of its key irrelevant. Of endpoints, earlier
// records tell which versions were listed.
inline bool supersedes_earlier_records(feed which) noexcept
{
    return which == feed::configuration;
}

// Returns whether a key is spelled alike in a whole list, which is text, and in a record.
inline bool is_plain_key(std::string_view key) noexcept
{
    return std::all_of(key.begin(), key.end(),
                       [](char each) { return each > ' ' && each < 0x7f && each != '?'; });
}

// Returns the digest of the record at `offset`; empty if it is not among the entries.
inline history::record_digest find_digest(std::span<const feed_entry> entries, std::uint64_t offset)
{
    for (const auto& each : entries) {
        if (each.offset == offset && is_plain_key(each.key)) {
            return history::digest_of(each.key, each.value);
        }
    }
    return std::nullopt;
}

// Returns the keys of the entries, in their order.
inline std::vector<std::string> keys_of(std::span<const feed_entry> entries)
{
    std::vector<std::string> out;
    out.reserve(entries.size());
    for (const auto& each : entries) {
        out.push_back(each.key);
    }
    return out;
}

} // namespace cicadaport::serving
