// Which of the prompts that will be late are still read, and which are refused at
// once.
//
// The load that this answers: more prompts than the engines can read, of sizes
// that differ tenfold. Those that can be in time go first; what is left of the
// engines reads some of the rest. Whoever admits all whose callers would still be
// there lets the queue grow until only small prompts fit before the callers leave,
// and large ones are never read. So all prompts of a route face the same bound on
// the wait, which leaves time for the largest of them: how many are refused then
// does not depend on their size.
//
// Pure. Not thread safe.
#pragma once

#include "cicadaport/serving/engine_queue.h"

#include <string>
#include <vector>

namespace cicadaport::serving {

// A prompt that has been placed, with times from now.
struct late_prompt {
    // Until an engine begins to read it, how long that takes, and the first event.
    fractional_milliseconds wait{0};
    fractional_milliseconds reading{0};
    fractional_milliseconds first_event{0};
    // How long the caller waits for the first event.
    fractional_milliseconds patience{0};
};

class late_admission {
public:
    // Predictions are trusted for this part of the caller's patience.
    static constexpr double usable_part = 0.9;
    // The wait leaves time for prompts that take as long as this part of the recent
    // ones do not.
    static constexpr double largest_part = 0.95;
    // Prompts that are remembered of each route, and those needed for a bound.
    static constexpr std::size_t remembered = 64;
    static constexpr std::size_t least_remembered = 16;

    // Notes how long a prompt of a route takes to be read.
    void note(const std::string& route, fractional_milliseconds reading);

    // Returns whether an engine can show the first event while the caller is there.
    static bool can_be_served(const late_prompt& prompt) noexcept
    {
        return prompt.first_event <= usable_part * prompt.patience;
    }

    // Returns whether a prompt that will be late is read all the same.
    bool admits(const std::string& route, const late_prompt& prompt) const;

private:
    struct record {
        std::vector<fractional_milliseconds> readings;
        std::size_t next = 0;
    };

    fractional_milliseconds longest_reading(const record& of) const;

    std::unordered_map<std::string, record> m_routes;
};

} // namespace cicadaport::serving
