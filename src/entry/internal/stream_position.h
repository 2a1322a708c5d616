// A caller's position in an answer, with the engine and the stream that hold the
// rest of the answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadaport::entry {

// Sent as the id of each event, so that any entry process can resume the answer
// from the Last-Event-ID field of the client's next request.
struct stream_position {
    // The number of events delivered to the caller.
    std::uint64_t delivered = 0;
    // A digest of the content of the delivered events, in order.
    std::uint64_t digest = 0;
    // The engine's name for the stream.
    std::string stream;
    std::string engine;
};

// Returns the id of the event after which the caller is at `position`.
std::string to_event_id(const stream_position& position);

// Returns the position in an event id, or nothing if `id` is not one from `to_event_id`.
std::optional<stream_position> parse_event_id(std::string_view id);

// Advances `position` by one event with this data.
void advance_position(stream_position& position, std::string_view data);

// Returns the prefix of the names of a request's streams. It depends on the
// account, the request id and the body, so that a caller can't read a stream of
// another account or another request.
std::string stream_prefix(std::string_view account, std::string_view request_id,
                          std::string_view body);

} // namespace cicadaport::entry
