#include "internal/listener.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds accept_retry_interval{20};

} // namespace

listener::listener(asio::io_context& context, transport::timer_queue& timers,
                   const http::address& at, connection_handler on_connection)
    : m_timers{timers}, m_acceptor{context}, m_on_connection{std::move(on_connection)}
{
    const tcp::endpoint address{asio::ip::make_address(at.ip), at.port};
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address{true});
    m_acceptor.bind(address);
    m_acceptor.listen();
    accept();
}

void listener::close()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket{m_acceptor.get_executor()};
        m_acceptor.accept(socket, error);
        if (!error) {
            m_on_connection(std::move(socket));
        }
    }
    m_acceptor.close(error);
}

void listener::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (!error) {
            m_last_accepted = m_timers.now();
            m_on_connection(std::move(socket));
        }
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            accept();
            return;
        }
        spdlog::warn("accept_failed error=\"{}\"", error.message());
        m_pause = m_timers.call_at(m_timers.now() + accept_retry_interval, [this] { accept(); });
    });
}

} // namespace cicadaport::serving
