// Tells which history of the store an answer belongs to.
//
// A store may return from an older copy of its data. What was acknowledged after the copy was made
// is lost then, and its offsets are given out again, so an offset names a record only within one
// history of the store. The store numbers its histories with an epoch that rises with each return.
// It may also state no epoch; then a return shows only where a list does not continue what was read
// from it.
//
// Whatever rests on an offset, on the end of a list or on an acknowledged write is kept together
// with the `generation()` in which it was learned, and is learned anew when that has changed.
//
// Performs no I/O; answers and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace cicadaport::history {

using time_point = base::boot_clock::time_point;

// What an answer of the store states about its epoch.
struct epoch_statement {
    // Whether the answer states an epoch at all.
    bool is_stated = false;
    // The epoch; empty if the statement can't be parsed.
    std::optional<std::uint64_t> epoch;
};

class store_history {
public:
    // A lower epoch that all answers state for this long is taken for a return: the higher one was
    // an error.
    static constexpr std::chrono::seconds lower_epoch_time{3};
    // News of another host may take this long, and two hosts learn of one return this far apart.
    static constexpr std::chrono::seconds max_news_delay{2};
    // Time after a return in which those who write to the store write again what it has lost.
    static constexpr std::chrono::milliseconds refill_time{2'200};

    enum class relation {
        // The answer states no epoch, or one that can't be parsed.
        unknown,
        // The answer belongs to the known history, or is the first to state an epoch.
        current,
        // The store has returned: the answer belongs to a later history than any before.
        newer,
        // The answer states an earlier epoch than the known one: it belongs to a history that has
        // ended. It must not be used.
        older,
    };

    // Records what an answer of the store states, and returns how it relates to what was known.
    // Calls the functions passed to `on_return()` if the store has returned.
    relation observe(const epoch_statement& stated, time_point now);

    // Records that a list does not continue what was read from it although no later epoch was
    // stated.
    void record_unannounced_return(time_point now);

    // Records that another host has learned of a return at `at`, of which this process may have
    // read nothing, for instance since it started later. Returns false if it is no later than what
    // this process knows, up to the time that the news takes.
    bool record_return_elsewhere(time_point at);

    using subscription = std::shared_ptr<const std::function<void()>>;

    // Has `action` called after each return that this process learns of, until the result is
    // destroyed.
    [[nodiscard]] subscription on_return(std::function<void()> action);

    // Returns the number of returns that this process has learned of.
    std::uint64_t generation() const noexcept { return m_generation; }

    // Returns the epoch of the known history; empty if the store has stated none.
    std::optional<std::uint64_t> epoch() const noexcept { return m_epoch; }

    // Returns since when this process has known the present history, or could have known it: the
    // time of the last return that it or another host has learned of, or of the first answer that
    // stated an epoch. Empty if there was neither: a store that states no epoch and has not
    // returned has one history.
    std::optional<time_point> known_since() const noexcept
    {
        return std::max(m_known_since, m_heard_since);
    }

    // Returns when this process itself learned of the last return; empty if there was none.
    std::optional<time_point> last_return() const noexcept
    {
        return m_generation > 0 ? m_known_since : std::nullopt;
    }

private:
    void begin_generation(time_point now);
    // Records an answer of an earlier epoch.
    relation observe_older(std::uint64_t epoch, time_point now);

    std::optional<std::uint64_t> m_epoch;
    // Whether an answer was accepted that states no epoch, while none was known.
    bool m_has_unstated = false;
    // An earlier epoch that is stated again and again, and since when.
    std::optional<std::uint64_t> m_lower_epoch;
    time_point m_lower_since{};
    std::uint64_t m_generation = 0;
    std::optional<time_point> m_known_since;
    // When another host learned of a return that is later than those that were known.
    std::optional<time_point> m_heard_since;
    std::vector<std::weak_ptr<const std::function<void()>>> m_actions;
};

std::string_view to_string(store_history::relation relation);

} // namespace cicadaport::history
