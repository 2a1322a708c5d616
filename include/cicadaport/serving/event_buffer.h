// Splits a server-sent event stream into events, so that only complete ones are forwarded.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cicadaport::serving {

// Not thread safe.
class event_buffer {
public:
    // Appends bytes of the stream.
    void feed(std::string_view piece) { m_pending += piece; }

    // Removes the complete events from the buffer and returns their bytes. Events whose id
    // is not above that of the last event returned are dropped: a resumed stream may repeat
    // them.
    std::string take_complete();

    // Returns whether the bytes so far end inside an event.
    bool is_inside_event() const noexcept
    {
        return m_pending.find_first_not_of("\r\n") != std::string::npos;
    }

    // Returns the number of buffered bytes: those of an event that is not complete yet.
    std::size_t pending_bytes() const noexcept { return m_pending.size(); }

    // Drops the incomplete event. A new stream follows that continues after `last_event_id()`.
    void restart() { take_incomplete(); }

    // Removes and returns the bytes of the event that is not complete yet.
    std::string take_incomplete()
    {
        m_searched = 0;
        return std::exchange(m_pending, {});
    }

    // Returns how many complete events take_complete() has returned in all.
    std::size_t count() const noexcept { return m_count; }

    // Returns the id of the last event that was returned and had an id.
    const std::optional<std::string>& last_event_id() const noexcept { return m_last_event_id; }

private:
    std::string m_pending;
    // The first bytes of m_pending, among which no event ends.
    std::size_t m_searched = 0;
    std::optional<std::string> m_last_event_id;
    std::size_t m_count = 0;
};

} // namespace cicadaport::serving
