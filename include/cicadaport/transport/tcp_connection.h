// One TCP connection on one event loop.
//
// Received bytes are buffered until the owner consumes them; bytes to send are
// queued. A read is always outstanding unless the owner pauses reading or leaves unread
// what the peer sends, so that a disconnect by the peer is noticed at once; in those states
// the owner checks `has_peer_ended()`.
//
// Belongs to one event loop. The observer is called until `close()` or
// `abort()` and never afterwards. It must keep itself alive during its calls. If a call
// throws, the connection is reset and the observer told that it failed.
#pragma once

#include "cicadaport/http/address.h"
#include "cicadaport/http/delivery.h"
#include "cicadaport/transport/timer_queue.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace cicadaport::transport {

enum class connection_end {
    // The peer closed its side in an orderly way: all that it sent has been received.
    closed,
    // The connection was reset, timed out or was never established.
    failed,
};

// Receives the events of a connection.
class connection_observer {
public:
    virtual ~connection_observer() = default;
    virtual void on_connected() {}
    // `input()` has grown.
    virtual void on_input() = 0;
    virtual void on_end(connection_end how) = 0;
    // All bytes passed to `write()` were handed to the kernel.
    virtual void on_written() {}
};

// Timeouts that the kernel enforces on a connection.
struct socket_times {
    // How long sent bytes may stay unacknowledged, and how long an idle peer may
    // leave TCP keepalive probes unanswered.
    std::chrono::milliseconds peer_silence{4'000};
};

class tcp_connection : public std::enable_shared_from_this<tcp_connection> {
public:
    explicit tcp_connection(boost::asio::ip::tcp::socket socket) : m_socket{std::move(socket)} {}
    explicit tcp_connection(boost::asio::io_context& context) : m_socket{context} {}
    ~tcp_connection();
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    // `observer` must live until the connection is closed; null stops the calls.
    void set_observer(connection_observer* observer) noexcept { m_observer = observer; }

    // Starts connecting; `on_connected()` or `on_end()` follows.
    void connect(const http::address& to, socket_times times = {});

    // Starts reading from an accepted connection.
    void start(socket_times times = {});

    // Received bytes that were not consumed yet.
    std::string_view input() const noexcept;
    void consume(std::size_t count) noexcept;

    // Calls `on_input()` from the event loop for bytes that were not consumed, once until then also
    // if further bytes arrive. Like every call of the observer it does not come after `close()` or
    // `abort()`.
    void report_input_later();

    // Returns whether bytes have arrived that were not consumed yet, also if they were not read.
    bool has_input() const noexcept;
    // Returns whether bytes have arrived that were not read yet.
    bool has_unread() const noexcept;

    void pause_reading() noexcept { m_paused = true; }
    void resume_reading();
    // Returns whether the end of the connection may stay unnoticed behind bytes that are not read.
    bool is_reading_held() const noexcept { return m_paused || m_leaves_unread; }

    // Returns whether the peer has ended its sending side or the connection, also if bytes that it
    // sent before were not read.
    bool has_peer_ended() noexcept;

    void write(std::string bytes);

    // Number of bytes not yet handed to the kernel.
    std::size_t unsent() const noexcept { return m_sending.size() + m_queued.size(); }

    // Returns whether the peer has received all that was passed to `write()`, also after the end of
    // the connection was reported.
    http::delivery output_delivery() noexcept;

    // Bytes of memory that the connection holds for input and output.
    std::size_t buffer_capacity() const noexcept
    {
        return m_input.capacity() + m_sending.capacity() + m_queued.capacity();
    }

    bool is_open() const noexcept { return m_socket.is_open(); }

    // Leaves unread what the peer sends from now on, so that closing the connection resets it if
    // there is any. The end of the connection is reported if nothing was sent before it.
    void leave_unread();

    // Shuts down the sending side; reading continues.
    void stop_sending() noexcept;

    // Closes in an orderly way. The kernel sends a reset if unread input remains.
    void close() noexcept;

    // Discards what has arrived and is unread, passes `bytes` to the kernel as far as it takes them
    // at once, and closes. Without the unread bytes the peer receives `bytes` and no reset.
    void close_with(std::string_view bytes) noexcept;

    // Closes with a reset, so that the peer sees that the data it received is incomplete.
    void abort() noexcept;

private:
    void set_options(socket_times times) noexcept;
    void handle_connected(boost::system::error_code failure);
    void wait_for_input();
    void read_input();
    void handle_end_of_file();
    void handle_sent(boost::system::error_code error);
    void end(connection_end how);
    void send_queued();
    // Runs what the event loop has called. An exception is logged and ends this connection only.
    template <typename Handler>
    void guard(Handler handle) noexcept;
    void end_after_exception() noexcept;

    boost::asio::ip::tcp::socket m_socket;
    connection_observer* m_observer = nullptr;
    std::string m_input;
    std::size_t m_consumed = 0;
    std::string m_sending;
    std::string m_queued;
    bool m_paused = false;
    bool m_report_pending = false;
    bool m_leaves_unread = false;
    bool m_waiting = false;
    bool m_connected = false;
    bool m_write_failed = false;
    bool m_write_was_reset = false;
    bool m_end_awaits_write = false;
    bool m_end_reported = false;
};

} // namespace cicadaport::transport
