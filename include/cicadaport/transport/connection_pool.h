// The connections of one host to endpoints, kept for reuse.
//
// Belongs to one event loop.
#pragma once

#include "cicadaport/transport/exchange_connection.h"

#include <map>
#include <vector>

namespace cicadaport::transport {

// How old a kept connection may be for a request. A peer that closes an idle
// connection just as a request is sent leaves open whether the request ran.
enum class reuse_rule {
    // The request may be repeated: any connection that looks open.
    any,
    // Only connections that the peer certainly still keeps.
    certain,
};

class connection_pool {
public:
    // How long a peer that states nothing is trusted to keep an idle
    // connection, for requests that may be repeated and for others.
    static constexpr std::chrono::milliseconds unstated_idle{2'000};
    static constexpr std::chrono::milliseconds unstated_certain_idle{250};
    // A stated idle time counts from when the peer sent its answer, and whole
    // seconds may be rounded up: this much less is used.
    static constexpr std::chrono::milliseconds stated_margin{700};

    connection_pool(boost::asio::io_context& context, timer_queue& timers, message_limits limits,
                    exchange_connection::times times)
        : m_context{context}, m_timers{timers}, m_limits{limits}, m_times{times}
    {
    }

    // Returns a connection to `to` on which a request may be sent at once.
    std::shared_ptr<exchange_connection> take(const http::address& to, reuse_rule rule);

    // Takes back a connection whose exchange has ended; drops it if it is not
    // fit for another.
    void give_back(const http::address& to, std::shared_ptr<exchange_connection> connection);

    // Drops what is kept for an endpoint that is gone.
    void forget(const http::address& to) { m_idle.erase(to); }

    // Closes connections that have been idle for too long.
    void trim();

    std::uint64_t opened() const noexcept { return m_opened; }

private:
    bool is_fit(const exchange_connection& connection, reuse_rule rule) const;

    boost::asio::io_context& m_context;
    timer_queue& m_timers;
    message_limits m_limits;
    exchange_connection::times m_times;
    std::map<http::address, std::vector<std::shared_ptr<exchange_connection>>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace cicadaport::transport
