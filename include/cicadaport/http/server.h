// An HTTP server over the event loops of an io_pool.
//
// Connections are kept alive. A request that is malformed, too large or sent too
// slowly gets an error response or a closed connection. If a handler returns without
// finishing its response, the server closes the connection, so that an incomplete
// response never looks complete.
#pragma once

#include "cicadaport/base/io_pool.h"
#include "cicadaport/http/message.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cicadaport::http {

// Bounds on what a peer may send and on how long it may take.
struct server_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4ULL * 1024 * 1024;
    std::chrono::milliseconds receive_timeout{10'000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds send_timeout{30'000};
};

// Detects a disconnect of the peer during its lifetime. Belongs to the session's
// event loop.
class peer_watch {
public:
    class implementation;
    explicit peer_watch(std::shared_ptr<implementation> impl) noexcept;
    peer_watch(peer_watch&&) noexcept = default;
    peer_watch& operator=(peer_watch&&) = delete;
    ~peer_watch();

private:
    std::shared_ptr<implementation> m_impl;
};

// Writes the response to one request. Belongs to the session's event loop.
// Each function throws boost::system::system_error when the peer is gone.
class response_writer {
public:
    class implementation;
    explicit response_writer(implementation& impl) noexcept : m_impl{impl} {}

    // Sends a whole response.
    boost::asio::awaitable<void> send(response message);

    // Sends status and fields, then the body in pieces. Without `end_stream()`
    // the peer sees a truncated response.
    boost::asio::awaitable<void> begin_stream(response head);
    boost::asio::awaitable<void> write(std::string_view piece);
    boost::asio::awaitable<void> end_stream();

    // Returns whether any byte of a response was handed to the connection.
    bool started() const noexcept;

    // Returns whether the peer has closed its connection, without waiting.
    bool peer_gone() const;

    // Calls `on_gone` once if the peer closes its connection, or its sending
    // half, during the lifetime of the watch. Watching stops when the peer
    // sends more than its request.
    peer_watch watch_peer(std::function<void()> on_gone);

private:
    implementation& m_impl;
};

// Answers one request on the event loop `worker`.
using handler = std::function<boost::asio::awaitable<void>(
    std::size_t worker, const request& message, response_writer& writer)>;

// Listens on one address. Thread safety: all members from any thread.
//
//   server api{pool, {"127.0.0.1", 8080}, limits, handle};
//   pool.run();
class server {
public:
    // Starts listening; port 0 selects a free port. Throws if it can't listen.
    server(base::io_pool& pool, const std::string& ip, std::uint16_t port, server_limits limits,
           handler handle);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const noexcept;

    // Accepts the connections already in the backlog, stops accepting, closes idle
    // connections, and lets requests in progress finish.
    void drain();

    // Returns the number of requests in progress.
    std::size_t active_requests() const noexcept;

private:
    class implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace cicadaport::http
