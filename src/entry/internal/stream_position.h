// Where a caller stands in an answer, and which stream of which engine has
// the rest of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadaport::entry {

// Travels as the id of each event, so that any entry process can go on with
// the answer from what the caller brings back in Last-Event-ID.
struct stream_position {
    // How many events the caller has.
    std::uint64_t delivered = 0;
    // A digest of the content of all of them, in order.
    std::uint64_t digest = 0;
    // The name of the stream at the engine.
    std::string stream;
    std::string engine;
};

// Returns the id of the event that brings the caller to `position`.
std::string to_event_id(const stream_position& position);

// Returns the position of an event id, or nothing if it is none of ours.
std::optional<stream_position> parse_event_id(std::string_view id);

// Counts one event with this data into `position`.
void count_event(stream_position& position, std::string_view data);

// Returns the first part of the names of a request's streams. It depends on
// the account, the request id and the body, so that no caller can ask for a
// stream of another caller or of another request.
std::string stream_prefix(std::string_view account, std::string_view request_id,
                          std::string_view body);

} // namespace cicadaport::entry
