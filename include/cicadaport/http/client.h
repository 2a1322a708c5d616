// Requests to endpoints and to the platform.
//
// A client belongs to one event loop and keeps connections open for reuse.
// What may have become of a failed request is part of the error.
//
//   client engines{context};
//   const auto reply = co_await engines.exchange(engine, message, options);
#pragma once

#include "cicadaport/base/verdict.h"
#include "cicadaport/http/address.h"
#include "cicadaport/http/message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace cicadaport::http {

// An exchange that brought no whole response.
class exchange_error : public std::runtime_error {
public:
    exchange_error(base::verdict outcome, const std::string& reason)
        : std::runtime_error{reason}, m_outcome{outcome}
    {
    }

    // Says whether the peer may have acted on the request.
    base::verdict outcome() const noexcept { return m_outcome; }

private:
    base::verdict m_outcome;
};

struct exchange_options {
    std::chrono::milliseconds connect_time{1'000};
    // For the response's head, and then for each further piece of its body.
    std::chrono::milliseconds response_time{30'000};
    // A kept connection may close just as the request is sent, and nobody can
    // tell then whether it ran: requests that may not be repeated go out on a
    // connection of their own.
    bool fresh_connection = false;
    // Discards unsent bytes when the connection ends and bounds how long the
    // kernel goes on sending them.
    std::optional<std::chrono::milliseconds> unsent_data_time;
};

// A response whose body arrives in pieces. Destroying it before the end closes
// the connection, which tells the peer to stop. Belongs to the client's loop.
class response_stream {
public:
    class implementation;
    explicit response_stream(std::unique_ptr<implementation> impl);
    response_stream(response_stream&&) noexcept;
    response_stream& operator=(response_stream&&) noexcept;
    ~response_stream();

    // Status and fields; the body is empty.
    const response& head() const noexcept;

    // Returns the next piece of the body, or nothing at its proper end.
    // Throws `exchange_error` if the body is cut short.
    boost::asio::awaitable<std::optional<std::string>> next();

    // Makes a waiting `next()` fail and closes the connection.
    void cancel();

private:
    std::unique_ptr<implementation> m_impl;
};

class client {
public:
    class implementation;

    explicit client(boost::asio::io_context& context);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Sends `message` and returns the whole response; throws `exchange_error`.
    boost::asio::awaitable<response> exchange(address to, request message,
                                              exchange_options options = {});

    // Sends `message` and returns once the response's head is there; throws
    // `exchange_error`.
    boost::asio::awaitable<response_stream> open(address to, request message,
                                                 exchange_options options = {});

private:
    std::shared_ptr<implementation> m_impl;
};

} // namespace cicadaport::http
