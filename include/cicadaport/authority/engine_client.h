// Client for the engine endpoints that carry out orders.
#pragma once

#include "cicadaport/authority/order_step.h"
#include "cicadaport/http/client.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace cicadaport::authority {

// Upper bound on the lifetime of a packet between two hosts. Bytes of an order
// may still arrive this long after its sender closed the connection or ended.
constexpr std::chrono::milliseconds max_packet_lifetime{1'000};

// Sends requests to engines. Not thread safe; used from one event loop.
class engine_client {
public:
    explicit engine_client(boost::asio::io_context& context) : m_client{context} {}

    // Returns the role, model and orders that the engine reports; nothing if it
    // does not answer.
    boost::asio::awaitable<std::optional<engine_record>> observe(http::address engine);

    // Returns whether the engine reported, no earlier than `since`, that it has
    // no running or waiting requests.
    boost::asio::awaitable<bool> is_idle_since(http::address engine,
                                               std::chrono::steady_clock::time_point since);

    // Sends `order` once, on a new connection, within `limit`. Returns true if
    // the engine answered with any status, or if the order was certainly not
    // executed. After false, bytes of the order may still arrive for
    // `max_packet_lifetime`.
    boost::asio::awaitable<bool> send(http::address engine, protocol::endpoint_order order,
                                      std::uint64_t fencing_number,
                                      std::chrono::milliseconds limit);

private:
    http::client m_client;
};

} // namespace cicadaport::authority
