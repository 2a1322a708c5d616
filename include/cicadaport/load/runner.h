// Sends a schedule to entry processes and notes what comes of it.
#pragma once

#include "cicadaport/http/client.h"
#include "cicadaport/load/report.h"

#include <span>
#include <vector>

namespace cicadaport::load {

// Counts the events of a completion stream that carry a token.
//
// Pieces may end anywhere; what is left of a line waits for the next piece.
class token_counter {
public:
    // Takes the next piece of the body and returns how many tokens it ended.
    std::uint32_t take(std::string_view piece);

    std::uint32_t tokens() const noexcept { return m_tokens; }

    // Whether the stream's closing event was seen.
    bool done() const noexcept { return m_done; }

private:
    std::string m_line;
    std::uint32_t m_tokens = 0;
    bool m_done = false;
};

// Sends every arrival at its time to the entry processes in turn, on this
// thread, and returns the results in the order of the arrivals. Returns after
// the last answer or its deadline.
std::vector<result> run_schedule(const profile& of, std::span<const arrival> arrivals,
                                 std::span<const http::address> entries);

} // namespace cicadaport::load
