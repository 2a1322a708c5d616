// Counts the work that clients request from an entry process, including rejected
// requests.
#pragma once

#include "cicadaport/roles/offered_message.h"

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::entry {

// Sums per model since the process started. Shards reduce lock contention between
// event loops.
//
// Thread safety: all members from any thread.
class offered_counter {
public:
    // Records one request. `prompt_tokens` excludes tokens that are expected in a
    // cache.
    void note(std::string_view model, double prompt_tokens, double output_tokens);

    std::map<std::string, roles::token_rates, std::less<>> sums() const;

private:
    static constexpr std::size_t shard_count = 16;
    static constexpr std::size_t shard_bytes = 128;
    struct alignas(shard_bytes) shard {
        mutable std::mutex mutex;
        std::map<std::string, roles::token_rates, std::less<>> sums;
    };

    std::array<shard, shard_count> m_shards;
};

// Computes exponentially smoothed rates from cumulative sums. Not thread safe.
class offered_rates {
public:
    using clock = std::chrono::steady_clock;

    // Takes the sums at `now` and returns the rates. They are unchanged within
    // `min_update_interval` after the last update.
    const std::vector<roles::model_offer>&
    update(const std::map<std::string, roles::token_rates, std::less<>>& sums,
           clock::time_point now);

    // Time constant: a step of the rate is followed to 63% in this time.
    static constexpr std::chrono::duration<double> smoothing_time{2};
    static constexpr std::chrono::milliseconds min_update_interval{100};

private:
    std::map<std::string, roles::token_rates, std::less<>> m_last;
    std::optional<clock::time_point> m_last_at;
    std::vector<roles::model_offer> m_rates;
};

} // namespace cicadaport::entry
