// Server-sent events out of the pieces of a body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadaport::entry {

// One event of an engine's stream.
struct stream_event {
    // The position that the engine gave the event as its id, if it did.
    std::optional<std::uint64_t> position;
    std::string data;
};

// Parses an engine's stream; holds at most one event that is not whole yet.
// Belongs to one stream.
//
//   parser.feed(piece);
//   while (const auto event = parser.next()) use(*event);
class event_parser {
public:
    // Takes in a piece. Throws std::length_error if an event is too long.
    void feed(std::string_view piece);

    // Returns the next whole event, or nothing until more is fed.
    std::optional<stream_event> next();

private:
    std::string m_text;
    std::size_t m_start = 0;
};

} // namespace cicadaport::entry
