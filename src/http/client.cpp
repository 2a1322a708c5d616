#include "cicadaport/http/client.h"

#include "cicadaport/base/safeguards.h"
#include "cicadaport/http/delivery.h"
#include "internal/convert.h"

namespace cicadaport::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using base::verdict;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t response_body_limit = 256ULL * 1024 * 1024;
// Heads that are read for one response, the final one included.
constexpr int max_heads = 16;

// Idle connections are dropped after this time, before the peer closes them.
constexpr std::chrono::seconds max_idle_time{20};

// Returns whether the peer has closed `socket` or sent unexpected bytes.
bool is_stale(tcp::socket& socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !(got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void discard_unsent_data_on_close(tcp::socket& socket, std::chrono::milliseconds limit)
{
    socket.set_option(asio::socket_base::linger{true, 0});
    const auto milliseconds = static_cast<unsigned>(limit.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                 sizeof milliseconds);
}

} // namespace

// A connection and the bytes read ahead from it.
struct connection {
    explicit connection(asio::io_context& context) : stream{context} {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point idle_since;
};

class client::implementation {
public:
    explicit implementation(asio::io_context& context) : m_context{context} {}

    asio::awaitable<std::unique_ptr<connection>> connect(const address& to,
                                                         const exchange_options& options)
    {
        if (!options.fresh_connection) {
            if (auto kept = take_idle(to)) {
                co_return kept;
            }
        }
        auto made = std::make_unique<connection>(m_context);
        made->stream.expires_after(options.connect_timeout);
        const tcp::endpoint peer{asio::ip::make_address(to.ip), to.port};
        auto [error] = co_await made->stream.async_connect(peer, as_result);
        if (error) {
            throw exchange_error{verdict::not_run, "connect: " + error.message()};
        }
        beast::error_code ignored;
        made->stream.socket().set_option(tcp::no_delay{true}, ignored);
        if (options.unsent_data_timeout) {
            discard_unsent_data_on_close(made->stream.socket(), *options.unsent_data_timeout);
        }
        co_return made;
    }

    void keep(const address& to, std::unique_ptr<connection> used)
    {
        constexpr std::size_t max_idle_per_address = 64;
        auto& kept = m_idle_connections[to];
        if (kept.size() < max_idle_per_address) {
            used->stream.expires_never();
            used->idle_since = std::chrono::steady_clock::now();
            kept.push_back(std::move(used));
        }
    }

private:
    std::unique_ptr<connection> take_idle(const address& to)
    {
        auto& kept = m_idle_connections[to];
        const auto oldest = std::chrono::steady_clock::now() - max_idle_time;
        while (!kept.empty()) {
            auto candidate = std::move(kept.back());
            kept.pop_back();
            if (candidate->idle_since > oldest && !is_stale(candidate->stream.socket())) {
                return candidate;
            }
        }
        return nullptr;
    }

    asio::io_context& m_context;
    std::map<address, std::vector<std::unique_ptr<connection>>> m_idle_connections;
};

class response_stream::implementation {
public:
    implementation(std::shared_ptr<client::implementation> owner, address to,
                   exchange_options options, std::unique_ptr<connection> made)
        : m_owner{std::move(owner)}, m_to{std::move(to)}, m_options{options}, m_connection{
                                                                                  std::move(made)}
    {
        if (m_options.cancel != nullptr) {
            m_options.cancel->attach([this] { cancel(); });
        }
    }

    ~implementation()
    {
        if (m_options.cancel != nullptr) {
            m_options.cancel->attach({});
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    asio::awaitable<void> send(request message)
    {
        auto wire = internal::to_beast(std::move(message), to_string(m_to));
        m_connection->stream.expires_after(m_options.response_timeout);
        // Once a write has started, bytes may have been sent even if it reports an error.
        auto [write_error, sent] =
            co_await beast::http::async_write(m_connection->stream, wire, as_result);
        if (write_error) {
            throw exchange_error{verdict::may_have_run, "send: " + write_error.message()};
        }
        // An interim response says nothing about the request; the final one follows it.
        for (int heads = 0; heads < max_heads; ++heads) {
            m_parser.emplace();
            m_parser->body_limit(response_body_limit);
            auto [read_error, got] = co_await beast::http::async_read_header(
                m_connection->stream, m_connection->buffer, *m_parser, as_result);
            if (read_error) {
                throw exchange_error{verdict::may_have_run, "receive: " + read_error.message()};
            }
            const auto status = m_parser->get().result_int();
            if (!is_valid_status(status)) {
                throw exchange_error{verdict::may_have_run, "receive: invalid status"};
            }
            if (!is_interim(status)) {
                m_head = internal::head_from_beast(m_parser->get());
                co_return;
            }
        }
        throw exchange_error{verdict::may_have_run, "receive: too many interim responses"};
    }

    asio::awaitable<std::optional<std::string>> next()
    {
        constexpr std::size_t piece_size = 4'096;
        while (!m_parser->is_done()) {
            std::string piece(piece_size, '\0');
            auto& body = m_parser->get().body();
            body.data = piece.data();
            body.size = piece.size();
            body.more = true;
            m_connection->stream.expires_after(m_options.response_timeout);
            auto [error, got] = co_await beast::http::async_read_some(
                m_connection->stream, m_connection->buffer, *m_parser, as_result);
            if (error && error != beast::http::error::need_buffer) {
                throw exchange_error{verdict::may_have_run, "receive: " + error.message()};
            }
            piece.resize(piece.size() - body.size);
            if (!piece.empty()) {
                co_return piece;
            }
        }
        co_await confirm_end();
        give_back();
        co_return std::nullopt;
    }

    const response& head() const noexcept { return m_head; }

    void cancel()
    {
        if (m_connection) {
            m_connection->stream.close();
        }
    }

private:
    // Throws if the response is delimited by the end of the connection and may be incomplete.
    asio::awaitable<void> confirm_end()
    {
        if (!m_connection || !m_parser->need_eof() || !depends_on_delivery(m_head.status)) {
            co_return;
        }
        auto& socket = m_connection->stream.socket();
        const auto limit = std::chrono::steady_clock::now() + m_options.response_timeout;
        asio::steady_timer timer{socket.get_executor()};
        auto delivered = get_delivery(socket.native_handle(), 0);
        while (delivered == delivery::pending && std::chrono::steady_clock::now() < limit) {
            timer.expires_after(delivery_check_interval);
            co_await timer.async_wait(as_result);
            delivered =
                socket.is_open() ? get_delivery(socket.native_handle(), 0) : delivery::failed;
        }
        if (delivered != delivery::complete) {
            throw exchange_error{verdict::may_have_run,
                                 "receive: the response ended before the request was received"};
        }
    }

    // Bytes after the response belong to no request, so the connection must not be
    // reused for the next one.
    bool is_clean() const
    {
        return m_connection->buffer.size() == 0 ||
               !base::safeguards::is_on(base::safeguard::clean_connection);
    }

    void give_back()
    {
        if (m_connection && m_parser->get().keep_alive() && !m_options.fresh_connection &&
            is_clean()) {
            m_owner->keep(m_to, std::move(m_connection));
        }
        m_connection.reset();
    }

    std::shared_ptr<client::implementation> m_owner;
    address m_to;
    exchange_options m_options;
    std::unique_ptr<connection> m_connection;
    std::optional<beast::http::response_parser<beast::http::buffer_body>> m_parser;
    response m_head;
};

response_stream::response_stream(std::unique_ptr<implementation> impl) : m_impl{std::move(impl)} {}
response_stream::response_stream(response_stream&&) noexcept = default;
response_stream& response_stream::operator=(response_stream&&) noexcept = default;
response_stream::~response_stream() = default;

const response& response_stream::head() const noexcept
{
    return m_impl->head();
}

asio::awaitable<std::optional<std::string>> response_stream::next()
{
    return m_impl->next();
}

void response_stream::cancel()
{
    m_impl->cancel();
}

client::client(asio::io_context& context) : m_impl{std::make_shared<implementation>(context)} {}
client::~client() = default;

asio::awaitable<response_stream> client::open(address to, request message, exchange_options options)
{
    auto made = co_await m_impl->connect(to, options);
    if (options.cancel != nullptr && options.cancel->requested()) {
        throw exchange_error{verdict::not_run, "cancelled"};
    }
    auto stream =
        std::make_unique<response_stream::implementation>(m_impl, to, options, std::move(made));
    co_await stream->send(std::move(message));
    co_return response_stream{std::move(stream)};
}

asio::awaitable<response> client::exchange(address to, request message, exchange_options options)
{
    auto stream = co_await open(std::move(to), std::move(message), options);
    auto whole = stream.head();
    while (auto piece = co_await stream.next()) {
        whole.body += *piece;
    }
    co_return whole;
}

} // namespace cicadaport::http
