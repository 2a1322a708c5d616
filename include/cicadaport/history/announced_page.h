// Decides whether a page of a list that another host announces continues what this host knows.
//
// Two hosts may know different histories of the store for a short time after it has returned from
// an older copy. The same offset then stands for different records on them.
//
// Pure.
#pragma once

#include "cicadaport/history/record_digest.h"
#include "cicadaport/history/store_history.h"

#include <string_view>

namespace cicadaport::history {

// What this host knows of the list.
struct known_part {
    // The epoch in which it was read; empty if the store has stated none.
    std::optional<std::uint64_t> epoch;
    // Offset of the first record that is not known.
    std::uint64_t offset = 0;
    // Digest of the record before `offset`.
    record_digest last_record;
    // Time at which the known part was current; empty before the first read.
    std::optional<time_point> known_at;
};

// What another host announces: the records in [from, to) of a list that ended at `end`.
struct announced_part {
    std::optional<std::uint64_t> epoch;
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::uint64_t end = 0;
    // Digest of the record before `from`.
    record_digest record_before;
    // Digest of the record before `end`.
    record_digest last_record;
    // Digest of the announced record before the known part's `offset`, if it is among those that
    // are announced.
    record_digest overlap;
    // When the other host's read started.
    time_point read_at{};
};

// The time of another host's read is known up to the time that its announcement takes.
constexpr std::chrono::milliseconds max_announcement_delay{250};

enum class page_relation {
    // The page may be used.
    continues,
    // The page was read in a history that has ended; nothing of it may be used.
    outdated,
    // This host and the other one know different histories. Nothing of the page may be used until
    // this host has read the list from the store.
    contradicts,
};

page_relation relate(const known_part& known, const announced_part& announced) noexcept;

std::string_view to_string(page_relation relation);

} // namespace cicadaport::history
