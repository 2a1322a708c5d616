// Which beginnings of prompts the engines still keep, as far as this host knows.
//
// The load that this answers: prompts that share long beginnings, more of them
// than the engines' memory holds. An engine drops what was used least recently,
// so a beginning is gone once the engine has taken in as much as its memory
// holds, however short the time. Hosts that go by time alone send prompts to
// engines that have dropped their beginnings, and have them read again.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <unordered_map>

namespace cicadaport::serving {

class engine_memory {
public:
    // A beginning is expected to be kept for this long after its last use.
    static constexpr std::chrono::seconds kept_time{20};
    // The part of an engine's memory that is expected to hold beginnings; prompts
    // that are being read or answered use the rest.
    static constexpr double usable_part = 0.85;
    // Beginnings that are remembered of one engine.
    static constexpr std::size_t most_beginnings = 1'024;

    // Notes that an engine was sent a prompt with this beginning, which it has in
    // memory from `ready` on.
    void note_beginning(std::uint32_t engine, std::uint32_t beginning, time_point ready,
                        time_point now);

    // Notes that an engine takes so many tokens into its memory that it did not keep.
    void note_taken_in(std::uint32_t engine, double tokens);

    // Returns whether an engine whose memory holds `capacity` tokens still keeps a
    // beginning, or will once it has read what it was sent; 0 is no bound.
    bool keeps(std::uint32_t engine, std::uint32_t beginning, double capacity,
               time_point now) const;

    // Returns whether it has already read a beginning that it keeps.
    bool is_ready(std::uint32_t engine, std::uint32_t beginning, time_point now) const;

    void forget(std::uint32_t engine) { m_engines.erase(engine); }

private:
    struct kept_beginning {
        time_point used{};
        time_point ready{};
        // What the engine had taken in by its last use.
        double taken_in = 0;
    };
    struct record {
        double taken_in = 0;
        std::unordered_map<std::uint32_t, kept_beginning> beginnings;
    };

    const kept_beginning* find(std::uint32_t engine, std::uint32_t beginning) const;

    std::unordered_map<std::uint32_t, record> m_engines;
};

} // namespace cicadaport::serving
