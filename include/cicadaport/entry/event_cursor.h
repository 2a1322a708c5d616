// The position of a process in the KV cache events of one engine.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace cicadaport::entry {

// Requests events only after the engine has worked. When a read was delayed, it
// skips the events that it could not have read in time, because old events name
// cache blocks that are already evicted. Skipped events cost time, never
// correctness.
//
// Not thread safe; time is passed in.
class event_cursor {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Records that the engine has worked and may have new events.
    void record_work(time_point now) noexcept;

    // Returns whether there may be new events.
    bool is_due() const noexcept { return m_due_since.has_value(); }

    // Starts a read at `now`, after which no read is due. Returns the sequence
    // number after which to request events.
    std::uint64_t start_read(time_point now) noexcept;

    // Records the result of a read: the number of events and the highest sequence
    // number.
    void record_read(std::size_t count, std::uint64_t newest) noexcept;

    // Resets the cursor for an engine that has restarted.
    void restart() noexcept { *this = event_cursor{}; }

    // An engine limits its replies to this many events.
    static constexpr std::size_t max_events_per_reply = 1'024;
    // Events that waited no longer than this are never skipped.
    static constexpr std::chrono::milliseconds max_read_span{1'000};

private:
    std::uint64_t m_after = 0;
    std::optional<time_point> m_due_since;
    std::chrono::duration<double> m_span{1};
    double m_events_per_second = 0;
};

} // namespace cicadaport::entry
