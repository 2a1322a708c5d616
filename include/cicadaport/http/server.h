// An HTTP server over the event loops of an io_pool.
//
// Connections are kept alive; a request that is malformed, too large or sent
// too slowly gets a clear error or a closed connection. A handler that ends
// without finishing its response makes the server cut the connection, so that
// an incomplete answer never looks complete.
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
    std::chrono::milliseconds receive_time{10'000};
    std::chrono::milliseconds idle_time{60'000};
    std::chrono::milliseconds send_time{30'000};
};

// Watches for the peer to leave, for as long as it lives. Belongs to the
// session's event loop.
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
    // the peer sees the response cut short.
    boost::asio::awaitable<void> begin_stream(response head);
    boost::asio::awaitable<void> write(std::string_view piece);
    boost::asio::awaitable<void> end_stream();

    // Returns whether any byte of a response was handed to the connection.
    bool started() const noexcept;

    // Returns whether the peer has closed its connection, without waiting.
    bool peer_gone() const;

    // Calls `on_gone` once if the peer closes its connection, or its sending
    // half, while the watch lives. A peer that sends more than its request is
    // not watched any longer.
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
    // Listens at once; port 0 takes a free one. Throws if it can't listen.
    server(base::io_pool& pool, const std::string& ip, std::uint16_t port, server_limits limits,
           handler handle);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const noexcept;

    // Stops accepting after taking in what already waits, closes idle
    // connections, and lets requests that run go on to their end.
    void drain();

    // Returns how many requests are being answered.
    std::size_t active_requests() const noexcept;

private:
    class implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace cicadaport::http
