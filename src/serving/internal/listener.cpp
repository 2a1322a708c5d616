#include "internal/listener.h"

#include "cicadaport/telemetry/exception_log.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <cerrno>
#include <stdexcept>

namespace cicadaport::serving {
namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds accept_retry_interval{20};
constexpr std::chrono::milliseconds bind_retry_interval{100};
// The failure to bind is logged again after this many attempts.
constexpr unsigned log_bind_failure_every = 100;

// Returns whether binding may succeed later without a change of the settings.
bool is_transient(const error_code& error)
{
    return error == asio::error::address_in_use || error == asio::error::no_descriptors ||
           error == error_code{EADDRNOTAVAIL, boost::system::system_category()};
}

} // namespace

listener::listener(asio::io_context& context, transport::timer_queue& timers,
                   const http::address& at, connection_handler on_connection)
    : m_timers{timers}, m_address{asio::ip::make_address(at.ip), at.port}, m_acceptor{context},
      m_on_connection{std::move(on_connection)}
{
    open();
}

void listener::open()
{
    const auto error = bind();
    if (!error) {
        if (m_failed_binds > 0) {
            spdlog::info("listening_begun address={}:{} failed_attempts={}",
                         m_address.address().to_string(), m_address.port(), m_failed_binds);
        }
        accept();
        return;
    }
    if (m_failed_binds == 0 && !is_transient(error)) {
        throw std::runtime_error{fmt::format("can't listen on {}:{}: {}",
                                             m_address.address().to_string(), m_address.port(),
                                             error.message())};
    }
    if (m_failed_binds++ % log_bind_failure_every == 0) {
        spdlog::warn(
            "listening_delayed address={}:{} error=\"{}\" effect=\"tried again every {} ms\"",
            m_address.address().to_string(), m_address.port(), error.message(),
            bind_retry_interval.count());
    }
    m_pause = m_timers.call_at(m_timers.now() + bind_retry_interval, [this] { open(); });
}

error_code listener::bind()
{
    error_code error;
    m_acceptor.open(m_address.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address{true}, error);
    }
    if (!error) {
        m_acceptor.bind(m_address, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        error_code ignored;
        m_acceptor.close(ignored);
    }
    return error;
}

void listener::close()
{
    m_pause.cancel();
    if (!m_acceptor.is_open()) {
        return;
    }
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket{m_acceptor.get_executor()};
        m_acceptor.accept(socket, error);
        if (!error) {
            start(std::move(socket));
        }
    }
    m_acceptor.close(error);
}

void listener::start(tcp::socket socket) noexcept
{
    try {
        m_on_connection(std::move(socket));
    }
    catch (...) {
        telemetry::log_exception("accepted_connection");
    }
}

void listener::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (!error) {
            m_last_accepted = m_timers.now();
            start(std::move(socket));
        }
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            accept();
            return;
        }
        if (m_failure_log_budget.try_acquire(m_timers.now())) {
            spdlog::warn("accept_failed error=\"{}\" passed_over={}", error.message(),
                         m_failure_log_budget.take_suppressed_count());
        }
        m_pause = m_timers.call_at(m_timers.now() + accept_retry_interval, [this] { accept(); });
    });
}

} // namespace cicadaport::serving
