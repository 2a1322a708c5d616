// Decides which prompts that will miss their latency objective are admitted and which are
// rejected at once.
//
// The overload considered here has more prompts than the engines can prefill, of sizes that
// differ tenfold. Prompts that can meet their objective go first; the remaining engine capacity
// goes to some of the others. Admitting every prompt whose client would still be connected lets
// the queue grow until only small prompts can be served before clients disconnect, and large ones
// are never prefilled. Therefore all prompts of a route face the same bound on the wait, which
// leaves time for the largest of them: the rejection rate then does not depend on prompt size.
//
// Performs no I/O. Not thread safe.
#pragma once

#include "cicadaport/serving/engine_queue.h"

#include <string>
#include <vector>

namespace cicadaport::serving {

// A prompt with its predicted times, all relative to now.
struct prompt_prediction {
    // Time until prefill starts, duration of the prefill, and time to the first event.
    fractional_milliseconds wait{0};
    fractional_milliseconds prefill_time{0};
    fractional_milliseconds first_event{0};
    // How long the client waits for the first event before it disconnects.
    fractional_milliseconds patience{0};
    // Predicted time from the first event to the end of a usual response, and the time from now at
    // which the response must be complete; 0 if they are not known.
    fractional_milliseconds stream_time{0};
    fractional_milliseconds time_left{0};
};

class late_admission {
public:
    // Fraction of the client's patience that a prediction may use; the rest is a margin for error.
    static constexpr double usable_fraction = 0.9;
    // Quantile of the route's recent prefill times for which the wait must leave time.
    static constexpr double large_prompt_quantile = 0.95;
    // Prefill times kept per route, and the number needed before a bound applies.
    static constexpr std::size_t max_sample_count = 64;
    static constexpr std::size_t min_sample_count = 16;

    // Records the predicted prefill time of a prompt on a route.
    void record_prefill_time(const std::string& route, fractional_milliseconds prefill_time);

    // Returns whether an engine can send the first event before the client disconnects, and a usual
    // response before the request's time is over.
    static bool can_be_served(const prompt_prediction& prompt) noexcept
    {
        const bool completes = prompt.time_left <= fractional_milliseconds{0} ||
                               prompt.first_event + prompt.stream_time <= prompt.time_left;
        return completes && prompt.first_event <= usable_fraction * prompt.patience;
    }

    // Returns whether a prompt that will miss its latency objective is admitted.
    bool admits(const std::string& route, const prompt_prediction& prompt) const;

private:
    struct record {
        std::vector<fractional_milliseconds> prefill_times;
        std::size_t next = 0;
    };

    fractional_milliseconds large_prefill_time(const record& of) const;

    std::unordered_map<std::string, record> m_routes;
};

} // namespace cicadaport::serving
