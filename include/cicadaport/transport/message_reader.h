// An incremental HTTP/1.1 parser that does not depend on a socket.
//
//   message_reader reader{message_kind::response, {}};
//   const auto used = reader.feed(bytes);
//   if (reader.head_complete()) { forward(reader.take_body()); }
//
// Not thread safe.
#pragma once

#include "cicadaport/http/message.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace cicadaport::transport {

enum class message_kind { request, response };

// Bounds on one message, in bytes.
struct message_limits {
    // Also bounds the extensions of one chunk and the trailer.
    std::uint32_t head_bytes = 32 * 1024;
    std::uint64_t body_bytes = 64ULL * 1024 * 1024;
    // Header fields of one head. Each takes more memory than its bytes.
    std::uint32_t head_lines = std::numeric_limits<std::uint32_t>::max();
};

// The start line and the header fields of a message.
struct message_head {
    // Set for requests only; the target is not decoded.
    std::string method;
    std::string target;
    // Set for responses only.
    unsigned status = 0;
    http::field_list fields;
    // Bytes of memory that the fields take, of which a short line has many times its length.
    std::size_t memory_bytes = 0;
};

enum class parse_problem { none, malformed, head_too_large, too_many_lines, body_too_large };

class message_reader {
public:
    class implementation;

    message_reader(message_kind kind, message_limits limits);
    ~message_reader();
    message_reader(message_reader&&) noexcept;
    message_reader& operator=(message_reader&&) noexcept;

    // Parses as much of `bytes` as possible and returns the number of bytes consumed.
    // The caller must pass the rest again, followed by further input. The rest is never larger than
    // the limit of the head, unless the message is complete or has a problem.
    std::size_t feed(std::string_view bytes);

    // Reports that the peer closed its connection in an orderly way, which completes
    // a response without a length.
    void feed_end();

    bool head_complete() const noexcept;
    bool complete() const noexcept;
    parse_problem problem() const noexcept;

    message_head& head() noexcept;

    // Returns the body bytes parsed since the last call.
    std::string take_body() noexcept;

    // Whether the body is delimited only by the end of the connection.
    bool ends_with_connection() const noexcept;

    // Whether the sender keeps the connection open after this message.
    bool keeps_connection() const noexcept;

private:
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::transport
