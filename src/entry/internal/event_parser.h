// Parses server-sent events from the pieces of a body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadaport::entry {

// One event of an engine's stream.
struct stream_event {
    // The event's id; empty if it has none or the id is not a number.
    std::optional<std::uint64_t> position;
    std::string data;
};

// Parses the event stream of an engine and buffers at most one incomplete event.
// One parser serves one stream.
//
//   parser.feed(piece);
//   while (const auto event = parser.next()) use(*event);
class event_parser {
public:
    // Appends a piece. Throws std::length_error if the buffered text exceeds 256 KiB.
    void feed(std::string_view piece);

    // Returns the next complete event, or nothing if more input is needed.
    std::optional<stream_event> next();

private:
    std::string m_text;
    std::size_t m_start = 0;
};

} // namespace cicadaport::entry
