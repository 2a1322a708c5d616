// A connection of the balancer's readiness checks.
//
// Not thread safe: used on the event loop only.
#pragma once

#include "cicadaport/transport/message_reader.h"
#include "cicadaport/transport/tcp_connection.h"

#include <functional>
#include <memory>

namespace cicadaport::serving {

// Answers the balancer's readiness checks: responds to each request of a connection with 200
// if the host is ready, else with 503.
class readiness_connection final : public transport::connection_observer,
                                   public std::enable_shared_from_this<readiness_connection> {
public:
    readiness_connection(boost::asio::ip::tcp::socket socket, std::function<bool()> is_ready)
        : m_connection{std::make_shared<transport::tcp_connection>(std::move(socket))},
          m_is_ready{std::move(is_ready)}
    {
    }
    ~readiness_connection() override { m_connection->close(); }

    void start();

private:
    void on_input() override;
    void on_end(transport::connection_end) override { end(); }
    void end();

    static transport::message_reader fresh_reader()
    {
        return transport::message_reader{transport::message_kind::request, {}};
    }

    std::shared_ptr<transport::tcp_connection> m_connection;
    std::function<bool()> m_is_ready;
    transport::message_reader m_reader = fresh_reader();
    std::shared_ptr<readiness_connection> m_self;
};

} // namespace cicadaport::serving
