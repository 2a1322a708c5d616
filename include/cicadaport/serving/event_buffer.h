// Divides a stream into whole events, so that no torn one is passed on.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cicadaport::serving {

// Not thread safe.
class event_buffer {
public:
    // Takes bytes of a stream.
    void feed(std::string_view piece) { m_held += piece; }

    // Returns the whole events that came since the last call, as bytes, without
    // those up to the last event that was returned before.
    std::string take_whole();

    // Returns what is left of a stream that has ended.
    std::string take_rest();

    // Returns how many bytes of an event have come that is not whole yet.
    std::size_t held() const noexcept { return m_held.size(); }

    // A new stream begins that goes on after `last_event()`.
    void restart() { m_held.clear(); }

    // How many whole events were returned.
    std::size_t count() const noexcept { return m_count; }

    // The id of the last event returned.
    const std::optional<std::string>& last_event() const noexcept { return m_last; }

private:
    std::string m_held;
    std::optional<std::string> m_last;
    std::size_t m_count = 0;
};

} // namespace cicadaport::serving
