// The part of an engine's interface that orders need.
#pragma once

#include "cicadaport/authority/order_step.h"
#include "cicadaport/http/client.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace cicadaport::authority {

// How long a byte of an order may still travel once its sender has closed the
// connection or was ended: the longest life of a packet between two hosts.
constexpr std::chrono::milliseconds longest_packet_life{1'000};

// Speaks to engines. Belongs to one event loop.
class engine_client {
public:
    explicit engine_client(boost::asio::io_context& context) : m_client{context} {}

    // Returns what the engine says of itself; nothing if it doesn't answer.
    boost::asio::awaitable<std::optional<engine_record>> observe(http::address engine);

    // Returns whether the engine reported, not before `since`, that nothing
    // runs or waits there.
    boost::asio::awaitable<bool> is_idle_since(http::address engine,
                                               std::chrono::steady_clock::time_point since);

    // Sends `order` once, on a connection of its own, within `limit`. Returns
    // whether the engine answered, whatever it said: if it did not, bytes of
    // the order may arrive for `longest_packet_life` after this returns.
    boost::asio::awaitable<bool> send(http::address engine, protocol::endpoint_order order,
                                      std::uint64_t fencing_number,
                                      std::chrono::milliseconds limit);

private:
    http::client m_client;
};

} // namespace cicadaport::authority
