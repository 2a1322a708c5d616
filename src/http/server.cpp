#include "cicadaport/http/server.h"

#include "internal/convert.h"

#include <spdlog/spdlog.h>

#include <set>

namespace cicadaport::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

// Returns the status for an error in the peer's message, or 0 if no response can be
// sent.
unsigned status_of(const beast::error_code& error)
{
    if (error == beast::http::error::header_limit) {
        return 431;
    }
    if (error == beast::http::error::body_limit) {
        return 413;
    }
    if (error == beast::error::timeout) {
        return 408;
    }
    if (error == beast::http::error::end_of_stream ||
        error == beast::http::error::partial_message) {
        return 0;
    }
    return error.category() ==
                   beast::http::make_error_code(beast::http::error::bad_method).category()
               ? 400
               : 0;
}

} // namespace

namespace {

enum class peer_state { quiet, sending, gone };

peer_state state_of(tcp::socket& socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        return peer_state::sending;
    }
    const bool waiting = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return waiting ? peer_state::quiet : peer_state::gone;
}

} // namespace

class peer_watch::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(tcp::socket& socket, std::function<void()> on_gone)
        : m_socket{socket}, m_on_gone{std::move(on_gone)}
    {
    }

    void start()
    {
        m_socket.async_wait(tcp::socket::wait_read,
                            asio::bind_cancellation_slot(
                                m_signal.slot(), [self = shared_from_this()](beast::error_code) {
                                    self->readable();
                                }));
    }

    void stop()
    {
        m_stopped = true;
        m_signal.emit(asio::cancellation_type::terminal);
    }

private:
    void readable()
    {
        // A stopped watch must not use the socket, which may be destroyed.
        if (!m_stopped && state_of(m_socket) == peer_state::gone) {
            m_on_gone();
        }
    }

    tcp::socket& m_socket;
    std::function<void()> m_on_gone;
    asio::cancellation_signal m_signal;
    bool m_stopped = false;
};

peer_watch::peer_watch(std::shared_ptr<implementation> impl) noexcept : m_impl{std::move(impl)} {}

peer_watch::~peer_watch()
{
    if (m_impl) {
        m_impl->stop();
    }
}

class response_writer::implementation {
public:
    implementation(beast::tcp_stream& stream, std::chrono::milliseconds send_timeout) noexcept
        : m_stream{stream}, m_send_timeout{send_timeout}
    {
    }

    asio::awaitable<void> send(response message)
    {
        begin();
        auto wire = internal::to_beast(std::move(message), m_keep_alive);
        co_await beast::http::async_write(m_stream, wire, asio::use_awaitable);
        m_finished = true;
    }

    asio::awaitable<void> begin_stream(response head)
    {
        begin();
        m_bodiless = is_bodiless(head.status);
        auto wire = internal::to_beast_head(head, m_keep_alive);
        beast::http::response_serializer<beast::http::empty_body> serializer{wire};
        co_await beast::http::async_write_header(m_stream, serializer, asio::use_awaitable);
    }

    asio::awaitable<void> write(std::string_view piece)
    {
        if (piece.empty() || m_bodiless) {
            co_return;
        }
        m_stream.expires_after(m_send_timeout);
        const auto chunk = beast::http::make_chunk(asio::buffer(piece));
        co_await asio::async_write(m_stream, chunk, asio::use_awaitable);
    }

    asio::awaitable<void> end_stream()
    {
        if (!m_bodiless) {
            m_stream.expires_after(m_send_timeout);
            const auto last = beast::http::make_chunk_last();
            co_await asio::async_write(m_stream, last, asio::use_awaitable);
        }
        m_finished = true;
    }

    bool started() const noexcept { return m_started; }
    bool finished() const noexcept { return m_finished; }
    void keep_alive(bool value) noexcept { m_keep_alive = value; }

    bool peer_gone() const { return state_of(m_stream.socket()) == peer_state::gone; }

    peer_watch watch_peer(std::function<void()> on_gone)
    {
        auto watch =
            std::make_shared<peer_watch::implementation>(m_stream.socket(), std::move(on_gone));
        watch->start();
        return peer_watch{std::move(watch)};
    }

private:
    void begin()
    {
        m_started = true;
        m_stream.expires_after(m_send_timeout);
    }

    beast::tcp_stream& m_stream;
    std::chrono::milliseconds m_send_timeout;
    bool m_keep_alive = true;
    bool m_bodiless = false;
    bool m_started = false;
    bool m_finished = false;
};

asio::awaitable<void> response_writer::send(response message)
{
    return m_impl.send(std::move(message));
}
asio::awaitable<void> response_writer::begin_stream(response head)
{
    return m_impl.begin_stream(std::move(head));
}
asio::awaitable<void> response_writer::write(std::string_view piece)
{
    return m_impl.write(piece);
}
asio::awaitable<void> response_writer::end_stream()
{
    return m_impl.end_stream();
}
bool response_writer::started() const noexcept
{
    return m_impl.started();
}
bool response_writer::peer_gone() const
{
    return m_impl.peer_gone();
}
peer_watch response_writer::watch_peer(std::function<void()> on_gone)
{
    return m_impl.watch_peer(std::move(on_gone));
}

// The idle connections of one event loop, so that a drain can close them.
// Accessed on that loop only.
struct idle_connections {
    std::set<beast::tcp_stream*> streams;
};

class server::implementation : public std::enable_shared_from_this<server::implementation> {
public:
    implementation(base::io_pool& pool, const std::string& ip, std::uint16_t port,
                   server_limits limits, handler handle)
        : m_pool{pool}, m_limits{limits}, m_handle{std::move(handle)},
          m_idle(pool.size()), m_acceptor{pool.context(0)}
    {
        const tcp::endpoint address{asio::ip::make_address(ip), port};
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address{true});
        m_acceptor.bind(address);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
    }

    void start()
    {
        asio::co_spawn(m_pool.context(0), accept_loop(shared_from_this()), asio::detached);
    }

    void drain()
    {
        m_draining.store(true, std::memory_order_release);
        asio::post(m_pool.context(0), [self = shared_from_this()] { self->stop_accepting(); });
        for (std::size_t worker = 0; worker < m_pool.size(); ++worker) {
            asio::post(m_pool.context(worker), [self = shared_from_this(), worker] {
                for (auto* stream : self->m_idle[worker].streams) {
                    stream->cancel();
                }
            });
        }
    }

    std::uint16_t port() const noexcept { return m_port; }
    std::size_t active_requests() const noexcept
    {
        return m_active.load(std::memory_order_acquire);
    }

private:
    static asio::awaitable<void> accept_loop(std::shared_ptr<implementation> self)
    {
        while (self->m_acceptor.is_open()) {
            const auto worker = self->m_pool.next();
            auto [error, socket] =
                co_await self->m_acceptor.async_accept(self->m_pool.context(worker), as_result);
            if (error == asio::error::operation_aborted) {
                break;
            }
            if (!error) {
                self->spawn(worker, std::move(socket));
            }
            else {
                co_await pause_after(error);
            }
        }
    }

    // Without a pause, the loop would spin when file descriptors run out.
    static asio::awaitable<void> pause_after(beast::error_code error)
    {
        constexpr std::chrono::milliseconds accept_pause{20};
        spdlog::warn("accept_failed error=\"{}\"", error.message());
        asio::steady_timer timer{co_await asio::this_coro::executor, accept_pause};
        co_await timer.async_wait(as_result);
    }

    void spawn(std::size_t worker, tcp::socket socket)
    {
        asio::co_spawn(m_pool.context(worker),
                       session(shared_from_this(), worker, std::move(socket)), asio::detached);
    }

    // Accepts the connections in the backlog, then closes the acceptor.
    void stop_accepting()
    {
        if (!m_acceptor.is_open()) {
            return;
        }
        beast::error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            const auto worker = m_pool.next();
            tcp::socket socket{m_pool.context(worker)};
            m_acceptor.accept(socket, error);
            if (!error) {
                spawn(worker, std::move(socket));
            }
        }
        m_acceptor.close(error);
    }

    static asio::awaitable<void> session(std::shared_ptr<implementation> self, std::size_t worker,
                                         tcp::socket socket)
    {
        beast::error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        beast::tcp_stream stream{std::move(socket)};
        beast::flat_buffer buffer;
        while (co_await self->wait_for_request(worker, stream, buffer)) {
            if (!co_await self->serve_one(worker, stream, buffer)) {
                break;
            }
        }
        stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    // Waits for the first byte of the next request; returns whether it arrived.
    asio::awaitable<bool> wait_for_request(std::size_t worker, beast::tcp_stream& stream,
                                           beast::flat_buffer& buffer)
    {
        if (buffer.size() > 0) {
            co_return true;
        }
        constexpr std::size_t read_size = 4096;
        auto& idle = m_idle[worker].streams;
        // A draining server waits briefly, because the peer may be sending a request.
        constexpr std::chrono::milliseconds drain_idle_timeout{200};
        stream.expires_after(is_draining() ? drain_idle_timeout : m_limits.idle_timeout);
        idle.insert(&stream);
        auto [error, count] = co_await stream.async_read_some(buffer.prepare(read_size), as_result);
        if (error == asio::error::operation_aborted && is_draining()) {
            // A request may be in transit.
            stream.expires_after(drain_idle_timeout);
            std::tie(error, count) =
                co_await stream.async_read_some(buffer.prepare(read_size), as_result);
        }
        idle.erase(&stream);
        buffer.commit(count);
        co_return !error;
    }

    asio::awaitable<bool> serve_one(std::size_t worker, beast::tcp_stream& stream,
                                    beast::flat_buffer& buffer)
    {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.header_limit(m_limits.header_bytes);
        parser.body_limit(m_limits.body_bytes);
        stream.expires_after(m_limits.receive_timeout);
        auto [error, count] = co_await beast::http::async_read(stream, buffer, parser, as_result);
        response_writer::implementation writer{stream, m_limits.send_timeout};
        if (error) {
            co_await refuse(writer, status_of(error), error.message());
            co_return false;
        }
        const bool keep_alive = parser.get().keep_alive() && !is_draining();
        writer.keep_alive(keep_alive);
        stream.expires_never();
        co_await answer(worker, internal::from_beast(parser.release()), writer);
        co_return writer.finished() && keep_alive;
    }

    asio::awaitable<void> answer(std::size_t worker, request message,
                                 response_writer::implementation& writer)
    {
        m_active.fetch_add(1, std::memory_order_acq_rel);
        response_writer front{writer};
        std::string failure;
        try {
            co_await m_handle(worker, message, front);
        }
        catch (const std::exception& error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            spdlog::debug("request failed target={} error=\"{}\"", message.target, failure);
            if (!writer.started()) {
                co_await refuse(writer, 500, failure);
            }
        }
        m_active.fetch_sub(1, std::memory_order_acq_rel);
    }

    static asio::awaitable<void> refuse(response_writer::implementation& writer, unsigned status,
                                        const std::string& reason)
    {
        if (status == 0) {
            co_return;
        }
        writer.keep_alive(false);
        response message{status, {{"Content-Type", "text/plain"}}, reason + "\n"};
        try {
            co_await writer.send(std::move(message));
        }
        catch (const boost::system::system_error&) {
            // The peer has disconnected, so the error can't be reported.
            co_return;
        }
    }

    bool is_draining() const noexcept { return m_draining.load(std::memory_order_acquire); }

    base::io_pool& m_pool;
    server_limits m_limits;
    handler m_handle;
    std::vector<idle_connections> m_idle;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_draining{false};
    std::atomic<std::size_t> m_active{0};
};

server::server(base::io_pool& pool, const std::string& ip, std::uint16_t port, server_limits limits,
               handler handle)
    : m_impl{std::make_shared<implementation>(pool, ip, port, limits, std::move(handle))}
{
    m_impl->start();
}

server::~server() = default;

std::uint16_t server::port() const noexcept
{
    return m_impl->port();
}

void server::drain()
{
    m_impl->drain();
}

std::size_t server::active_requests() const noexcept
{
    return m_impl->active_requests();
}

} // namespace cicadaport::http
