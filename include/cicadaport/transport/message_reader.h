// Reads HTTP/1.1 messages piece by piece, without a socket.
//
//   message_reader reader{message_kind::response, {}};
//   const auto used = reader.feed(bytes);
//   if (reader.head_complete()) { forward(reader.take_body()); }
//
// Not thread safe.
#pragma once

#include "cicadaport/http/message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cicadaport::transport {

enum class message_kind { request, response };

// Bounds on one message, in bytes.
struct message_limits {
    std::uint32_t head_bytes = 32 * 1024;
    std::uint64_t body_bytes = 64ULL * 1024 * 1024;
};

// The start line and the fields of a message.
struct message_head {
    // Of requests; the target is as it was sent.
    std::string method;
    std::string target;
    // Of responses.
    unsigned status = 0;
    http::field_list fields;
};

enum class reading_problem { none, malformed, head_too_large, body_too_large };

class message_reader {
public:
    class implementation;

    message_reader(message_kind kind, message_limits limits);
    ~message_reader();
    message_reader(message_reader&&) noexcept;
    message_reader& operator=(message_reader&&) noexcept;

    // Reads what can be read of `bytes` and returns how many were used up. The
    // rest must be presented again, with more behind it.
    std::size_t feed(std::string_view bytes);

    // Tells that the peer has ended its connection in order. A response
    // without a length is complete then.
    void feed_end();

    bool head_complete() const noexcept;
    bool complete() const noexcept;
    reading_problem problem() const noexcept;

    message_head& head() noexcept;

    // Returns the bytes of the body that came since the last call.
    std::string take_body() noexcept;

    // Whether only the end of the connection tells the end of the body.
    bool ends_with_connection() const noexcept;

    // Whether the sender keeps the connection open after this message.
    bool keeps_connection() const noexcept;

private:
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::transport
