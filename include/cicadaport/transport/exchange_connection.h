// A client connection that carries one request at a time.
//
// Responses are matched to requests by identity. An interim response, and one that does not
// belong to the request in progress, is skipped, and the connection is not reused. A
// connection on which bytes follow a complete response is not reused either.
//
// Belongs to one event loop.
#pragma once

#include "cicadaport/transport/message_reader.h"
#include "cicadaport/transport/tcp_connection.h"

#include <optional>

namespace cicadaport::transport {

// Why an exchange has no complete response, and whether the peer may have received
// the request.
enum class exchange_failure {
    // No byte of the request was sent.
    not_sent,
    // The request was sent at least in part; the peer may have acted on it.
    unanswered,
    // The response began but is truncated, or it is not valid HTTP.
    cut_short,
    // The response has no length and ended in an orderly way, but the peer has not received the
    // whole request, so that the response may be truncated.
    ended_early,
};

std::string_view to_text(exchange_failure failure) noexcept;

// Receives the events of one exchange. No call follows `on_complete()` or
// `on_failure()`.
class answer_observer {
public:
    virtual ~answer_observer() = default;
    // Returns whether the final response with this head belongs to the request.
    virtual bool owns(const message_head& head) = 0;
    virtual void on_head(message_head head) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_complete() = 0;
    virtual void on_failure(exchange_failure failure) = 0;
};

class exchange_connection final : public connection_observer,
                                  public std::enable_shared_from_this<exchange_connection> {
public:
    // Maximum bytes of responses to other requests that are skipped before the
    // exchange fails. A faulty peer may send such responses without end.
    static constexpr std::size_t max_skipped_bytes = 1'024UL * 1'024;

    struct times {
        std::chrono::milliseconds connect{1'000};
        socket_times socket;
    };

    exchange_connection(boost::asio::io_context& context, timer_queue& timers,
                        message_limits limits);
    ~exchange_connection() override;

    // Starts connecting. `send()` may be called before the connection is established.
    void connect(const http::address& to, times limits);

    // Sends a whole request. `observer` must live until `on_complete()`,
    // `on_failure()` or `abandon()` was called. The connection must be `is_idle()`. Nothing is sent
    // if the connection is established only at `send_deadline` or later.
    void send(std::string request, answer_observer& observer,
              std::optional<time_point> send_deadline = std::nullopt);

    // Passes the events of the exchange in progress, if any, to another observer from now on.
    void set_observer(answer_observer& observer) noexcept;

    // Ends the exchange in progress, if any, and closes the connection, which
    // tells the peer to stop.
    void abandon() noexcept;

    void pause_reading() noexcept { m_connection->pause_reading(); }
    void resume_reading() { m_connection->resume_reading(); }

    // Whether the exchange in progress, or else the last one, is the connection's
    // first. Bytes received during a later exchange may be left over from an earlier one.
    bool is_first_exchange() const noexcept { return m_exchanges == 1; }

    // Whether the connection is open with no exchange in progress.
    bool is_idle() const noexcept { return m_open && m_observer == nullptr; }
    bool is_open() const noexcept { return m_open; }

    // Whether the connection can carry another exchange.
    bool is_reusable() const noexcept { return is_idle() && m_reusable; }
    time_point idle_since() const noexcept { return m_idle_since; }

    // The idle timeout that the peer advertised; empty if it advertised none.
    std::optional<std::chrono::seconds> advertised_idle_timeout() const noexcept
    {
        return m_advertised_idle_timeout;
    }

private:
    void on_connected() override;
    void on_input() override;
    void on_end(connection_end how) override;

    void read_answer();
    // Returns whether reading may continue.
    bool take_head();
    void complete();
    // Ends a response without a length, at the latest when the kernel has given up delivering the
    // request.
    void end_unframed_response();
    void fail(exchange_failure failure);

    timer_queue& m_timers;
    message_limits m_limits;
    std::shared_ptr<tcp_connection> m_connection;
    message_reader m_reader;
    timer_queue::handle m_connect_limit;
    timer_queue::handle m_delivery_check;
    answer_observer* m_observer = nullptr;
    std::optional<std::chrono::seconds> m_advertised_idle_timeout;
    std::optional<time_point> m_send_deadline;
    time_point m_idle_since{};
    std::size_t m_skipped_bytes = 0;
    std::uint64_t m_exchanges = 0;
    unsigned m_status = 0;
    bool m_open = false;
    bool m_connected = false;
    bool m_reusable = true;
    bool m_head_taken = false;
    bool m_skipping = false;
    bool m_peer_keeps_alive = true;
};

} // namespace cicadaport::transport
