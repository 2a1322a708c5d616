// An HTTP client for requests to endpoints and to the platform.
//
// A client belongs to one event loop and keeps connections open for reuse. The
// error of a failed request says whether the request may have run.
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
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace cicadaport::http {

// Thrown when an exchange yields no complete response.
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

// Lets its owner cancel a pending exchange. Belongs to the client's loop and must
// outlive the exchanges that it is passed to.
class cancellation {
public:
    // Cancels the exchange in progress and all that start afterwards.
    void request()
    {
        m_requested = true;
        if (m_close) {
            m_close();
        }
    }

    bool requested() const noexcept { return m_requested; }

    // Called by the client with a function that closes the connection in use, or with null.
    void attach(std::function<void()> close) { m_close = std::move(close); }

private:
    bool m_requested = false;
    std::function<void()> m_close;
};

struct exchange_options {
    std::chrono::milliseconds connect_timeout{1'000};
    // Applies to the response's head, and then to each further piece of its body.
    std::chrono::milliseconds response_timeout{30'000};
    // Opens a new connection for the request. Needed for requests that may not be
    // repeated: a reused connection may close while the request is being sent, and
    // then it is unknown whether the request ran.
    bool fresh_connection = false;
    // Discards unsent bytes when the connection ends and bounds how long the
    // kernel keeps sending them.
    std::optional<std::chrono::milliseconds> unsent_data_timeout;
    // Cancels the exchange on request; may be null.
    cancellation* cancel = nullptr;
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

    // Returns the next piece of the body, or nothing at the end of a complete body.
    // Throws `exchange_error` if the body is truncated.
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

    // Sends `message` and returns when the response's head has arrived; throws
    // `exchange_error`.
    boost::asio::awaitable<response_stream> open(address to, request message,
                                                 exchange_options options = {});

private:
    std::shared_ptr<implementation> m_impl;
};

} // namespace cicadaport::http
