// A test server that sends exactly the bytes that a test passes to it.
#pragma once

#include "cicadaport/http/address.h"
#include "cicadaport/transport/timer_queue.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadaport::transport::testing {

// Accepts connections on loopback and collects the bytes received on each. Belongs
// to the test's event loop.
class peer {
public:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket from) : socket{std::move(from)} {}

        boost::asio::ip::tcp::socket socket;
        std::string received;
        bool ended = false;
        // What arrives from now on is left unread.
        bool stop_reading = false;

        void say(std::string_view bytes)
        {
            boost::system::error_code ignored;
            boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        }

        void reset()
        {
            boost::system::error_code ignored;
            socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            socket.close(ignored);
        }
    };
    using connection_pointer = std::shared_ptr<connection>;

    // `on_input` is called whenever a connection has received more bytes.
    peer(boost::asio::io_context& context, std::function<void(connection&)> on_input)
        : m_acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}},
          m_on_input{std::move(on_input)}
    {
        accept();
    }

    // Bounds what the kernel receives and the test has not read, in bytes, on connections that are
    // accepted from now on.
    void set_receive_buffer(int bytes)
    {
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size{bytes});
    }

    boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    http::address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    std::vector<connection_pointer> connections;

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (error) {
                    return;
                }
                connections.push_back(std::make_shared<connection>(std::move(socket)));
                read(connections.back());
                accept();
            });
    }

    void read(const connection_pointer& from)
    {
        auto buffer = std::make_shared<std::string>(4'096, '\0');
        from->socket.async_read_some(
            boost::asio::buffer(*buffer),
            [this, from, buffer](boost::system::error_code error, std::size_t count) {
                if (error) {
                    from->ended = true;
                    return;
                }
                from->received.append(*buffer, 0, count);
                m_on_input(*from);
                if (from->socket.is_open() && !from->stop_reading) {
                    read(from);
                }
            });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::function<void(connection&)> m_on_input;
};

// Runs the loop until `done` returns true, for at most five seconds; returns whether
// it did.
template <typename Done>
bool run_until(boost::asio::io_context& context, Done done)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{5};
    while (!done() && std::chrono::steady_clock::now() < limit) {
        context.restart();
        context.run_for(std::chrono::milliseconds{5});
    }
    return done();
}

} // namespace cicadaport::transport::testing
