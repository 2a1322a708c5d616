#include "cicadaport/transport/tcp_connection.h"

#include "cicadaport/telemetry/exception_log.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cicadaport::transport {
namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

// Maximum bytes per read; all connections of a loop share one buffer of this size.
constexpr std::size_t max_read_bytes = 64 * 1024;
// Consumed bytes are erased from the front of the input when they exceed this many.
constexpr std::size_t compact_bytes = 16 * 1024;
// Maximum number of reads that discard input before a connection is closed.
constexpr int max_discarding_reads = 4;

// Empties a buffer, and frees its memory if it is large: most connections are idle most of the
// time.
void release_buffer(std::string& buffer) noexcept
{
    constexpr std::size_t max_kept_bytes = 16 * 1024;
    buffer.clear();
    if (buffer.capacity() > max_kept_bytes) {
        std::string{}.swap(buffer);
    }
}

std::span<char> read_buffer()
{
    static thread_local std::vector<char> buffer(max_read_bytes);
    return buffer;
}

void set_option(int descriptor, int level, int option, int value) noexcept
{
    // Errors are ignored: without the option a dead peer is only detected later.
    ::setsockopt(descriptor, level, option, &value, sizeof(value));
}

} // namespace

tcp_connection::~tcp_connection()
{
    close();
}

template <typename Handler>
void tcp_connection::guard(Handler handle) noexcept
{
    try {
        handle();
    }
    catch (...) {
        telemetry::log_exception("connection");
        end_after_exception();
    }
}

void tcp_connection::end_after_exception() noexcept
{
    auto* observer = std::exchange(m_observer, nullptr);
    abort();
    if (observer == nullptr || m_end_reported) {
        return;
    }
    m_end_reported = true;
    try {
        observer->on_end(connection_end::failed);
    }
    catch (...) {
        telemetry::log_exception("connection_end");
    }
}

void tcp_connection::connect(const http::address& to, socket_times times)
{
    error_code error;
    const auto ip = asio::ip::make_address(to.ip, error);
    if (!error) {
        m_socket.open(tcp::v4(), error);
    }
    if (error) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->guard([&] { self->end(connection_end::failed); });
        });
        return;
    }
    set_options(times);
    m_socket.async_connect(tcp::endpoint{ip, to.port},
                           [self = shared_from_this()](error_code failure) {
                               self->guard([&] { self->handle_connected(failure); });
                           });
}

void tcp_connection::handle_connected(error_code failure)
{
    if (!m_socket.is_open()) {
        return;
    }
    if (failure) {
        end(connection_end::failed);
        return;
    }
    m_connected = true;
    wait_for_input();
    if (m_observer != nullptr) {
        m_observer->on_connected();
    }
    send_queued();
}

void tcp_connection::start(socket_times times)
{
    set_options(times);
    m_connected = true;
    wait_for_input();
}

void tcp_connection::set_options(socket_times times) noexcept
{
    error_code ignored;
    m_socket.non_blocking(true, ignored);
    const auto descriptor = m_socket.native_handle();
    const auto silence = static_cast<int>(times.peer_silence.count());
    constexpr int probes = 2;
    const int probe_seconds = std::max(1, silence / 1'000 / (probes + 1));
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, silence);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

std::string_view tcp_connection::input() const noexcept
{
    return std::string_view{m_input}.substr(m_consumed);
}

void tcp_connection::consume(std::size_t count) noexcept
{
    m_consumed += count;
    if (m_consumed == m_input.size()) {
        release_buffer(m_input);
        m_consumed = 0;
    }
    else if (m_consumed > compact_bytes) {
        m_input.erase(0, m_consumed);
        m_consumed = 0;
    }
}

void tcp_connection::report_input_later()
{
    if (std::exchange(m_report_pending, true)) {
        return;
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_report_pending = false;
        self->guard([&] {
            if (self->m_observer != nullptr && !self->input().empty()) {
                self->m_observer->on_input();
            }
        });
    });
}

bool tcp_connection::has_input() const noexcept
{
    return !input().empty() || has_unread();
}

bool tcp_connection::has_unread() const noexcept
{
    error_code ignored;
    return m_socket.is_open() && m_socket.available(ignored) > 0;
}

bool tcp_connection::has_peer_ended() noexcept
{
    return !m_socket.is_open() || http::has_peer_ended(m_socket.native_handle());
}

void tcp_connection::resume_reading()
{
    m_paused = false;
    wait_for_input();
}

void tcp_connection::leave_unread()
{
    m_leaves_unread = true;
    resume_reading();
}

void tcp_connection::wait_for_input()
{
    if (m_waiting || m_paused || !m_connected || !m_socket.is_open()) {
        return;
    }
    m_waiting = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->m_waiting = false;
        if (!error && !self->m_paused && self->m_socket.is_open()) {
            self->guard([&] { self->read_input(); });
        }
    });
}

void tcp_connection::read_input()
{
    error_code error;
    if (m_leaves_unread && m_socket.available(error) > 0) {
        return;
    }
    const auto buffer = read_buffer();
    const auto count = m_socket.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    if (error == asio::error::would_block) {
        wait_for_input();
        return;
    }
    if (error == asio::error::eof) {
        handle_end_of_file();
        return;
    }
    if (error) {
        end(connection_end::failed);
        return;
    }
    m_input.append(buffer.data(), count);
    if (m_observer != nullptr && !m_report_pending) {
        m_observer->on_input();
    }
    wait_for_input();
}

// The kernel reports a reset once, to whichever of reading and writing comes first; the other one
// then gets an end of file or a broken pipe.
void tcp_connection::handle_end_of_file()
{
    // While a write is pending, it may have been told of a reset without its handler having run.
    m_end_awaits_write = !m_sending.empty() && http::is_hung_up(m_socket.native_handle());
    if (!m_end_awaits_write) {
        end(m_write_was_reset ? connection_end::failed : connection_end::closed);
    }
}

void tcp_connection::end(connection_end how)
{
    if (m_observer != nullptr) {
        m_end_reported = true;
        m_observer->on_end(how);
    }
}

void tcp_connection::write(std::string bytes)
{
    if (!m_socket.is_open() || m_write_failed) {
        return;
    }
    if (m_queued.empty()) {
        m_queued = std::move(bytes);
    }
    else {
        m_queued += bytes;
    }
    send_queued();
}

void tcp_connection::send_queued()
{
    if (!m_connected || !m_sending.empty() || m_queued.empty() || !m_socket.is_open()) {
        return;
    }
    m_sending = std::exchange(m_queued, {});
    asio::async_write(m_socket, asio::buffer(m_sending),
                      [self = shared_from_this()](error_code error, std::size_t) {
                          self->guard([&] { self->handle_sent(error); });
                      });
}

void tcp_connection::handle_sent(error_code error)
{
    release_buffer(m_sending);
    if (!m_socket.is_open()) {
        return;
    }
    if (error) {
        // Bytes that the peer sent earlier remain to be read; the reading side reports the end.
        m_write_failed = true;
        // A reset after the peer's end of file, which has completed the input, is a broken pipe.
        m_write_was_reset = error != asio::error::broken_pipe;
        m_queued.clear();
    }
    if (std::exchange(m_end_awaits_write, false)) {
        handle_end_of_file();
        return;
    }
    if (m_write_failed) {
        return;
    }
    if (!m_queued.empty()) {
        send_queued();
    }
    else if (m_observer != nullptr) {
        m_observer->on_written();
    }
}

http::delivery tcp_connection::output_delivery() noexcept
{
    return !m_socket.is_open() || m_write_failed
               ? http::delivery::failed
               : http::get_delivery(m_socket.native_handle(), unsent());
}

void tcp_connection::stop_sending() noexcept
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void tcp_connection::close() noexcept
{
    m_observer = nullptr;
    error_code ignored;
    m_socket.close(ignored);
}

void tcp_connection::close_with(std::string_view bytes) noexcept
{
    error_code error;
    m_socket.non_blocking(true, error);
    const auto buffer = read_buffer();
    for (int reads = 0; reads < max_discarding_reads && !error; ++reads) {
        m_socket.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    }
    error_code ignored;
    m_socket.write_some(asio::buffer(bytes), ignored);
    close();
}

void tcp_connection::abort() noexcept
{
    error_code ignored;
    if (m_socket.is_open()) {
        m_socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    close();
}

} // namespace cicadaport::transport
