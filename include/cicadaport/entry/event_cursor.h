// Where a process stands in the cache events of one engine.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace cicadaport::entry {

// Asks only after the engine has worked, and, when asking had to wait, passes
// over what it could not have read in time: old events would tell of blocks
// that are gone. Events passed over cost time, never correctness.
//
// Not thread safe; time is passed in.
class event_cursor {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Notes that the engine has worked, so that it may have new events.
    void note_work(time_point now) noexcept;

    // Returns whether there may be new events.
    bool is_due() const noexcept { return m_due_since.has_value(); }

    // Returns the sequence number after which to ask at `now`, and counts as
    // asked.
    std::uint64_t start_reading(time_point now) noexcept;

    // Takes what came: how many events, and the highest sequence number.
    void note_read(std::size_t count, std::uint64_t newest) noexcept;

    // Begins anew with an engine that has restarted.
    void restart() noexcept { *this = event_cursor{}; }

    // An engine answers with at most so many events.
    static constexpr std::size_t full_page = 1'024;
    // Events that waited no longer than this are all read.
    static constexpr std::chrono::milliseconds wanted_span{1'000};

private:
    std::uint64_t m_after = 0;
    std::optional<time_point> m_due_since;
    std::chrono::duration<double> m_span{1};
    double m_events_per_second = 0;
};

} // namespace cicadaport::entry
