#include "cicadaport/serving/endpoint_probe.h"

#include "cicadaport/transport/tcp_connection.h"

namespace cicadaport::serving {
namespace {

constexpr std::chrono::milliseconds probe_timeout{300};

// Holds a reference to itself until the probe has ended.
class endpoint_probe final : public transport::connection_observer,
                             public std::enable_shared_from_this<endpoint_probe> {
public:
    endpoint_probe(boost::asio::io_context& context, transport::timer_queue& timers,
                   std::function<void(bool)> on_end)
        : m_timers{timers}, m_connection{std::make_shared<transport::tcp_connection>(context)},
          m_on_end{std::move(on_end)}
    {
    }

    void start(const http::address& to)
    {
        m_self = shared_from_this();
        m_limit = m_timers.call_at(m_timers.now() + probe_timeout, [this] { end(false); });
        m_connection->set_observer(this);
        m_connection->connect(to);
    }

private:
    void on_connected() override { end(true); }
    void on_input() override {}
    void on_end(transport::connection_end) override { end(false); }

    void end(bool accepts_connections)
    {
        const auto keep = std::exchange(m_self, nullptr);
        m_limit.cancel();
        m_connection->close();
        m_on_end(accepts_connections);
    }

    transport::timer_queue& m_timers;
    std::shared_ptr<transport::tcp_connection> m_connection;
    std::function<void(bool)> m_on_end;
    transport::timer_queue::handle m_limit;
    std::shared_ptr<endpoint_probe> m_self;
};

} // namespace

void probe_endpoint(boost::asio::io_context& context, transport::timer_queue& timers,
                    const http::address& to, std::function<void(bool accepts_connections)> on_end)
{
    std::make_shared<endpoint_probe>(context, timers, std::move(on_end))->start(to);
}

} // namespace cicadaport::serving
