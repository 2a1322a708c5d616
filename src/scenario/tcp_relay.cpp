#include "cicadaport/scenario/tcp_relay.h"

#include <boost/asio.hpp>

#include <array>
#include <thread>
#include <vector>

namespace cicadaport::scenario {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t buffer_bytes = 16 * 1024;

tcp::endpoint endpoint_of(const http::address& value)
{
    return {asio::ip::make_address(value.ip), value.port};
}

// The two sockets of one relayed connection.
struct connection {
    explicit connection(tcp::socket accepted) : near{std::move(accepted)}, far{near.get_executor()}
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }

    tcp::socket near;
    tcp::socket far;
};

// Passes bytes one way; `pair` keeps both sockets alive.
asio::awaitable<void> pass(std::shared_ptr<connection> pair, tcp::socket& from, tcp::socket& to)
{
    std::array<char, buffer_bytes> bytes{};
    try {
        for (;;) {
            const auto count =
                co_await from.async_read_some(asio::buffer(bytes), asio::use_awaitable);
            co_await asio::async_write(to, asio::buffer(bytes, count), asio::use_awaitable);
        }
    }
    catch (const boost::system::system_error&) {
        pair->close();
    }
}

} // namespace

class tcp_relay::implementation {
public:
    implementation(const http::address& listen, const http::address& to)
        : m_acceptor{m_context, endpoint_of(listen)}, m_to{endpoint_of(to)}
    {
        asio::co_spawn(m_context, accept(), asio::detached);
        m_thread = std::thread{[this] { m_context.run(); }};
    }
    ~implementation()
    {
        m_context.stop();
        m_thread.join();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void set_cut(bool cut)
    {
        asio::post(m_context, [this, cut] {
            m_cut = cut;
            if (cut) {
                close_all();
            }
        });
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto pair =
                std::make_shared<connection>(co_await m_acceptor.async_accept(asio::use_awaitable));
            if (!m_cut) {
                std::erase_if(m_connections, [](const auto& each) { return each.expired(); });
                m_connections.push_back(pair);
                asio::co_spawn(m_context, connect(std::move(pair)), asio::detached);
            }
        }
    }

    asio::awaitable<void> connect(std::shared_ptr<connection> pair)
    {
        try {
            co_await pair->far.async_connect(m_to, asio::use_awaitable);
        }
        catch (const boost::system::system_error&) {
            co_return;
        }
        asio::co_spawn(m_context, pass(pair, pair->near, pair->far), asio::detached);
        asio::co_spawn(m_context, pass(pair, pair->far, pair->near), asio::detached);
    }

    void close_all()
    {
        for (const auto& each : m_connections) {
            if (const auto pair = each.lock()) {
                pair->close();
            }
        }
        m_connections.clear();
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_to;
    bool m_cut = false;
    std::vector<std::weak_ptr<connection>> m_connections;
    std::thread m_thread;
};

tcp_relay::tcp_relay(const http::address& listen, const http::address& to)
    : m_impl{std::make_unique<implementation>(listen, to)}
{
}

tcp_relay::~tcp_relay() = default;

void tcp_relay::set_cut(bool cut)
{
    m_impl->set_cut(cut);
}

std::uint16_t tcp_relay::port() const
{
    return m_impl->port();
}

} // namespace cicadaport::scenario
