// A pool of idle connections from one host to its endpoints.
//
// Belongs to one event loop.
#pragma once

#include "cicadaport/transport/exchange_connection.h"

#include <map>
#include <vector>

namespace cicadaport::transport {

// How long a pooled connection may have been idle to be reused for a request. If
// the peer closes an idle connection while a request is being sent, it is unknown
// whether the request ran.
enum class reuse_rule {
    // For requests that may be repeated: any connection that appears open.
    any,
    // Only connections whose peer has certainly not reached its idle timeout.
    certain,
};

class connection_pool {
public:
    // Idle timeouts assumed for a peer that advertises none: for requests that may
    // be repeated, and for all others.
    static constexpr std::chrono::milliseconds assumed_idle_timeout{2'000};
    static constexpr std::chrono::milliseconds assumed_certain_idle_timeout{250};
    // Subtracted from an advertised idle timeout, because the peer counts it from
    // when it sent its response and may have rounded it up to whole seconds.
    static constexpr std::chrono::milliseconds advertised_timeout_margin{700};

    connection_pool(boost::asio::io_context& context, timer_queue& timers, message_limits limits,
                    exchange_connection::times times)
        : m_context{context}, m_timers{timers}, m_limits{limits}, m_times{times}
    {
    }

    // Returns a pooled or new connection to `to`; a request may be sent on it at once.
    std::shared_ptr<exchange_connection> take(const http::address& to, reuse_rule rule);

    // Returns a new connection to `to`; a request may be sent on it at once.
    std::shared_ptr<exchange_connection> open(const http::address& to);

    // Returns a connection to the pool after its exchange has ended. A connection
    // that can't be reused is dropped.
    void give_back(const http::address& to, std::shared_ptr<exchange_connection> connection);

    // Drops the idle connections to an endpoint that was removed.
    void forget(const http::address& to) { m_idle.erase(to); }

    // Closes connections that have exceeded their idle timeout.
    void close_expired();

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
