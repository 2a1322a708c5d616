// How far a host has read one of the store's lists, and how old its view of the list is.
//
// Performs no I/O. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"
#include "cicadaport/history/record_digest.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cicadaport::serving {

using clock = base::boot_clock;
using time_point = clock::time_point;
using std::chrono::milliseconds;

// The process whose read produced the known part of a list.
enum class list_reader { nobody, this_host, other_host };

struct list_position {
    // Offset of the first record that is not known.
    std::uint64_t offset = 0;
    // Digest of the record before `offset`.
    history::record_digest last_record;
    // End of the list in the last answer of the store to this host, whatever it had read before.
    std::uint64_t stated_end = 0;
    // Number of the returns of the store that this host had learned of when it began to read the
    // known part of the list.
    std::uint64_t generation = 0;
    // Time at which the known view of the list was current; empty before the first read.
    std::optional<time_point> known_at;
    list_reader read_by = list_reader::nobody;
    // End of the list as announced by another host.
    std::uint64_t announced_end = 0;
    // Consecutive calls without a response.
    unsigned failures = 0;
    // Start of the pending call; empty if there is none.
    std::optional<time_point> call_started_at;

    // Returns the age of the view; empty before the first read.
    std::optional<milliseconds> age(time_point now) const noexcept;
};

// Returns the position as the fields of a log line; -1 stands for an unknown time.
std::string to_fields(const list_position& of, time_point now);

} // namespace cicadaport::serving
