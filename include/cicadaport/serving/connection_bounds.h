// What one connection of a caller may make the host hold and do.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace cicadaport::serving {

// A request within the limits of the configuration meets none of the defaults.
struct connection_bounds {
    // Header lines of one request; more are refused with 431. A head of 16,384 bytes has at most
    // 4,096 lines.
    std::uint32_t header_lines = 16'384;
    // Bytes received behind a request that is being answered above which reading pauses.
    std::size_t pipelined_bytes = 64UL * 1024;
    // Bytes of answers that the caller has not taken above which its next request is not begun.
    std::size_t unread_answer_bytes = 128UL * 1024;
};

// How often callers met a bound, for the log.
struct caller_counts {
    // Requests refused for their number of header lines, and for want of memory for their head.
    std::uint64_t too_many_lines = 0;
    std::uint64_t heads_without_memory = 0;
    // Requests with a head that can't be used, after which their connection was closed.
    std::uint64_t unusable = 0;
    // How often reading from a caller paused, and how often a pipelined request waited its turn.
    std::uint64_t reading_pauses = 0;
    std::uint64_t later_turns = 0;
};

// Returns the counts as fields of a log line.
std::string to_fields(const caller_counts& counts);

} // namespace cicadaport::serving
