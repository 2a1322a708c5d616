// A blocking HTTP client that sends requests to a host, for tests.
#pragma once

#include "cicadaport/http/address.h"
#include "cicadaport/http/message.h"
#include "cicadaport/transport/message_reader.h"

#include <boost/asio.hpp>

#include <array>
#include <string>

#include <poll.h>

namespace cicadaport::platform::testing {

using boost::asio::ip::tcp;
using transport::message_kind;
using transport::message_reader;

// One connection to a host. All calls block.
class caller {
public:
    explicit caller(const http::address& to) : m_socket{m_context}
    {
        m_socket.connect({boost::asio::ip::make_address(to.ip), to.port});
    }

    void send(const std::string& bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    struct answer {
        unsigned status = 0;
        http::field_list fields;
        std::string body;
        // Whether the answer was received up to its end as HTTP defines it.
        bool complete = false;

        std::string field(std::string_view name) const
        {
            return std::string{fields.find(name).value_or("")};
        }
    };

    // Receives one answer, up to its end or the end of the connection.
    answer receive()
    {
        message_reader reader{message_kind::response, {}};
        answer out;
        boost::system::error_code error;
        while (!reader.complete() && reader.problem() == transport::parse_problem::none) {
            m_input.erase(0, reader.feed(m_input));
            out.body += reader.take_body();
            if (reader.complete()) {
                break;
            }
            std::array<char, 4096> buffer{};
            const auto count = m_socket.read_some(boost::asio::buffer(buffer), error);
            if (error) {
                if (error == boost::asio::error::eof) {
                    reader.feed_end();
                }
                break;
            }
            m_input.append(buffer.data(), count);
        }
        out.status = reader.head().status;
        out.fields = reader.head().fields;
        out.complete = reader.complete();
        return out;
    }

    answer ask(const std::string& bytes)
    {
        send(bytes);
        return receive();
    }

    // Discards what arrives until the end of the connection. Returns whether it is reset, at the
    // latest a short time after an orderly end.
    bool ends_with_reset()
    {
        boost::system::error_code error;
        std::array<char, 4096> buffer{};
        while (!error) {
            m_socket.read_some(boost::asio::buffer(buffer), error);
        }
        constexpr int limit_ms = 3'000;
        pollfd polled{m_socket.native_handle(), 0, 0};
        return error != boost::asio::error::eof || ::poll(&polled, 1, limit_ms) > 0;
    }

    void disconnect() { m_socket.close(); }

    // Ends the sending side in an orderly way; answers can still be received.
    void end_sending() { m_socket.shutdown(tcp::socket::shutdown_send); }

    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger{true, 0});
        m_socket.close();
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
    std::string m_input;
};

} // namespace cicadaport::platform::testing
