// What the kernel knows of the peer of a TCP connection: whether it has received what was sent to
// it, and whether it has ended the connection.
//
// A response without a length ends with its connection. If its peer ends it in an orderly way
// before it has received the whole request, and resets the connection next, the response is
// incomplete (RFC 9112, section 8), which only the request that was not received tells.
#pragma once

#include <chrono>
#include <cstddef>

namespace cicadaport::http {

enum class delivery {
    // The peer's kernel has acknowledged all bytes.
    complete,
    // Some bytes are not acknowledged yet.
    pending,
    // The connection has ended, and some bytes will not be acknowledged.
    failed,
};

// Time between two checks of a delivery that is pending. The kernel reports no event for the
// acknowledgement of the last byte.
constexpr std::chrono::milliseconds delivery_check_interval{10};

// Returns whether both directions of the connection of the socket `descriptor` have ended, in
// whatever way.
bool is_hung_up(int descriptor) noexcept;

// Returns whether the peer of the socket `descriptor` has ended its sending side, or the connection
// has ended. What the peer sent before may still be unread.
bool has_peer_ended(int descriptor) noexcept;

// Returns the delivery of what was written to the open TCP socket `descriptor` and of `unsent`
// bytes that are still to be written. Counts as acknowledged what the kernel can't tell of.
// Source: tcp(7), SIOCOUTQ.
delivery get_delivery(int descriptor, std::size_t unsent) noexcept;

// Returns whether a response with this status that ends with its connection is complete only if its
// peer has received the request. A client or server error is final whatever became of the request.
constexpr bool depends_on_delivery(unsigned status) noexcept
{
    constexpr unsigned first_error_status = 400;
    return status < first_error_status;
}

} // namespace cicadaport::http
