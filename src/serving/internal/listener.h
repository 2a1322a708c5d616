// A socket that accepts connections.
//
// Not thread safe: used on the event loop only.
#pragma once

#include "cicadaport/transport/timer_queue.h"

#include "cicadaport/http/address.h"
#include "cicadaport/serving/line_budget.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace cicadaport::serving {

// Accepts connections and passes them to `on_connection`.
//
// If the address can't be used, the listener tries again until it can or is closed: the process
// that had the port before may end late, or an outgoing connection may have the port for a moment.
class listener {
public:
    using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    // Starts to accept. Throws boost::system::system_error if `at` has no valid IP address, and
    // std::runtime_error if it can't be used for another reason than that it is in use or not
    // there.
    listener(boost::asio::io_context& context, transport::timer_queue& timers,
             const http::address& at, connection_handler on_connection);

    // Returns whether connections can be established.
    bool is_listening() const noexcept { return m_acceptor.is_open(); }

    // Accepts the connections that are still in the listen queue, then closes the socket.
    void close();

    transport::time_point last_accepted() const noexcept { return m_last_accepted; }

private:
    // Binds the socket and starts to accept, or schedules the next attempt.
    void open();
    boost::system::error_code bind();
    void accept();
    // Passes on a connection. An exception ends this connection only.
    void start(boost::asio::ip::tcp::socket socket) noexcept;

    transport::timer_queue& m_timers;
    boost::asio::ip::tcp::endpoint m_address;
    boost::asio::ip::tcp::acceptor m_acceptor;
    connection_handler m_on_connection;
    transport::time_point m_last_accepted{};
    transport::timer_queue::handle m_pause;
    unsigned m_failed_binds = 0;
    line_budget m_failure_log_budget;
};

} // namespace cicadaport::serving
