// An HTTP/1.1 connection from a caller. Requests are handled one at a time: each is
// answered before the next one is read.
//
// Not thread safe: used on the event loop only.
#pragma once

#include "cicadaport/serving/connection_slots.h"
#include "cicadaport/serving/exchange.h"
#include "cicadaport/transport/tcp_connection.h"

#include <unordered_set>

namespace cicadaport::serving {

class caller_connection;
using caller_set = std::unordered_set<std::shared_ptr<caller_connection>>;

class caller_connection final : public transport::connection_observer,
                                public caller_port,
                                public slot_holder,
                                public memory_holder,
                                public std::enable_shared_from_this<caller_connection> {
public:
    // Who sends the requests: callers, or other hosts that relay theirs.
    enum class peer { caller, host };

    // The connection is a member of `all`, which owns it, and holds one of `slots`, from start()
    // until it is closed.
    caller_connection(host_state& host, caller_set& all, connection_slots& slots,
                      boost::asio::ip::tcp::socket socket, peer from = peer::caller);
    ~caller_connection() override;

    // Starts the connection. If no slot is free, the one that `slots` names ends to make room; if
    // there is none, the new connection is refused.
    void start();

    // A connection is idle once it has waited this long for a request. It is not idle
    // right after it was accepted, because its first request is then on the way.
    static constexpr milliseconds min_idle_time = planned_stop::first_request_time;

    // Closes the connection gracefully if it is idle and no request is being read or
    // answered.
    void close_if_idle();

    bool is_answering() const noexcept { return m_exchange != nullptr; }

    // Ends the request in progress, if any, and closes the connection gracefully. Requests that
    // have arrived whole behind it are refused one by one, in later turns of the event loop.
    void end_now();

private:
    enum class read_phase { idle, head, body };

    void on_input() override;
    void on_end(transport::connection_end how) override;
    void on_written() override;
    void end_for_room() override;

    void answer(unsigned status, const http::field_list& fields, std::string_view body) override;
    void begin(unsigned status, const http::field_list& fields) override;
    void write(std::string_view piece) override;
    void finish() override;
    void close_after_answer() override;
    void cut() override;
    std::size_t unsent() const override { return m_connection->unsent(); }

    std::string memory_fields() const override;
    void release_memory() override;

    // Returns whether input may be read as a request: the last one was answered, and its caller has
    // taken most of the answer.
    bool can_read_request() const noexcept;
    // Reads at most one request, so that the event loop serves other connections before the next.
    void read_request();
    // Pauses reading while what has arrived can't be used yet, else resumes it.
    void update_reading();
    void log_paused_reading(std::string_view reason);
    // Notices within `leave_check_interval` that the caller leaves while its input is not read.
    void watch_caller();
    // Closes the connection if the caller has left. Returns whether it has.
    bool drop_if_left();
    void reject_message();
    // Refuses the request whose head has arrived, because what it takes in memory is not available.
    void reject_for_memory();
    void refuse_for_memory();
    // Returns the bytes that are held for requests that are not being answered.
    std::size_t request_bytes() const noexcept;
    // Records how many bytes the connection holds.
    void update_memory();
    // Answers a request that has not arrived whole, and closes the connection.
    void reject_unfinished(unsigned status, std::string_view reason,
                           const http::field_list& fields = {});
    void wait_for_request();
    void start_idle_timeout();
    // Begins to read a request, with the limits that are in force now.
    void begin_request();
    void set_read_timeout();
    // Sets the time by which the rest of the current phase must have arrived.
    void start_read_timeout(time_point when);
    // Decides, before an answer is sent, whether it is the last one of the connection because the
    // host stops.
    void announce_close_for_stop();
    std::string format_head(unsigned status, const http::field_list& fields,
                            std::string_view framing);
    // Returns whether the connection has a slot; else it was refused.
    bool acquire_slot();
    void log_limit(std::string_view outcome);
    void update_phase();
    // Returns the answer to a request that is not taken on, for want of descriptors.
    std::string format_refusal();
    void on_answer_ended();
    void close_gracefully();
    void drop();
    const caller_limits& limits() const;
    transport::message_limits message_limits() const;

    host_state& m_host;
    caller_set& m_all;
    connection_slots& m_slots;
    std::optional<connection_slots::slot> m_slot;
    std::shared_ptr<transport::tcp_connection> m_connection;
    transport::message_reader m_reader;
    peer m_from;
    std::string m_body;
    // Bytes of memory that the fields of the request take that is being read.
    std::size_t m_head_bytes = 0;
    // Bytes of the request that is being read.
    memory_budget::reservation m_memory;
    std::shared_ptr<exchange> m_exchange;
    transport::timer_queue::handle m_timeout;
    transport::timer_queue::handle m_leave_check;
    connection_progress m_progress;
    bool m_continue_sent = false;
    // When the connection began to wait for the next request.
    time_point m_waiting_since{};
    bool m_closing = false;
    bool m_pause_reported = false;
    bool m_request_started = false;
    // The phase of the request whose timeout is set.
    read_phase m_timed_phase = read_phase::idle;
};

} // namespace cicadaport::serving
