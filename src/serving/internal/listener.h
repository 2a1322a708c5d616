// A socket that accepts connections.
//
// Not thread safe: used on the event loop only.
#pragma once

#include "cicadaport/transport/timer_queue.h"

#include "cicadaport/http/address.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace cicadaport::serving {

// Accepts connections and passes them to `on_connection`.
class listener {
public:
    using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    // Starts to accept; throws boost::system::system_error if the address can't be used.
    listener(boost::asio::io_context& context, transport::timer_queue& timers,
             const http::address& at, connection_handler on_connection);

    // Accepts the connections that are still in the listen queue, then closes the socket.
    void close();

    transport::time_point last_accepted() const noexcept { return m_last_accepted; }

private:
    void accept();

    transport::timer_queue& m_timers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    connection_handler m_on_connection;
    transport::time_point m_last_accepted{};
    transport::timer_queue::handle m_pause;
};

} // namespace cicadaport::serving
