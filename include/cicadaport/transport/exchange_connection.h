// A connection over which requests are sent, one at a time, and answered.
//
// Answers are matched by identity: an answer that is not that of the request
// under way is passed over, and the connection is not used again. So is any
// connection on which bytes follow a complete answer.
//
// Belongs to one event loop.
#pragma once

#include "cicadaport/transport/message_reader.h"
#include "cicadaport/transport/tcp_connection.h"

#include <optional>

namespace cicadaport::transport {

// Why an exchange has no complete answer, and what the peer may know of it.
enum class exchange_failure {
    // No byte of the request was sent.
    not_sent,
    // Sent at least in part; the peer may have acted on it.
    unanswered,
    // The answer began and was cut short, or is not HTTP.
    cut_short,
};

// What the sender of a request is told. After `on_complete()` or
// `on_failure()` nothing follows.
class answer_observer {
public:
    virtual ~answer_observer() = default;
    // Returns whether the answer with this head is that of the request.
    virtual bool owns(const message_head& head) = 0;
    virtual void on_head(message_head head) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_complete() = 0;
    virtual void on_failure(exchange_failure failure) = 0;
};

class exchange_connection final : public connection_observer,
                                  public std::enable_shared_from_this<exchange_connection> {
public:
    // Bytes of answers that are not the request's which are passed over before the
    // exchange fails: a peer in trouble may send them without end.
    static constexpr std::size_t most_passed_over = 1'024UL * 1'024;

    struct times {
        std::chrono::milliseconds connect{1'000};
        socket_times socket;
    };

    exchange_connection(boost::asio::io_context& context, timer_queue& timers,
                        message_limits limits);
    ~exchange_connection() override;

    // Begins to connect. A request may be given at once.
    void connect(const http::address& to, times limits);

    // Sends a whole request. `observer` must live until it was told the end or
    // `abandon()` was called. The connection must be `is_idle()`.
    void send(std::string request, answer_observer& observer);

    // Ends the exchange under way, if any, and closes the connection, which
    // tells the peer to stop.
    void abandon() noexcept;

    void pause_reading() noexcept { m_connection->pause_reading(); }
    void resume_reading() { m_connection->resume_reading(); }

    // Whether the exchange under way, or the last one, is the connection's first. What
    // comes on a later one may be left over from those before.
    bool is_first_exchange() const noexcept { return m_exchanges == 1; }

    // Whether it is open with no exchange under way.
    bool is_idle() const noexcept { return m_open && m_observer == nullptr; }
    bool is_open() const noexcept { return m_open; }

    // Whether the last exchange left it fit for another.
    bool is_reusable() const noexcept { return is_idle() && m_reusable; }
    time_point idle_since() const noexcept { return m_idle_since; }

    // How long the peer said that it keeps an idle connection; nothing if it
    // said nothing.
    std::optional<std::chrono::seconds> kept_idle() const noexcept { return m_kept_idle; }

private:
    void on_connected() override;
    void on_input() override;
    void on_end(connection_end how) override;

    void read_answer();
    // Returns whether reading may go on.
    bool take_head();
    void complete();
    void fail(exchange_failure failure);

    timer_queue& m_timers;
    message_limits m_limits;
    std::shared_ptr<tcp_connection> m_connection;
    message_reader m_reader;
    timer_queue::handle m_connect_limit;
    answer_observer* m_observer = nullptr;
    std::optional<std::chrono::seconds> m_kept_idle;
    time_point m_idle_since{};
    std::size_t m_passed_over = 0;
    std::uint64_t m_exchanges = 0;
    bool m_open = false;
    bool m_connected = false;
    bool m_reusable = true;
    bool m_head_taken = false;
    bool m_skipping = false;
    bool m_peer_keeps = true;
};

} // namespace cicadaport::transport
