#include "cicadaport/serving/caller_connection.h"

#include "internal/exchange_constants.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// Used until a configuration with limits for callers has been read.
constexpr caller_limits default_limits{};
// Time in which a body must arrive after its head.
constexpr milliseconds body_timeout{20'000};
// Time between two checks of a caller whose input is not read for having left.
constexpr milliseconds leave_check_interval{100};

} // namespace

caller_connection::caller_connection(host_state& host, caller_set& all, connection_slots& slots,
                                     boost::asio::ip::tcp::socket socket, peer from)
    : m_host{host}, m_all{all}, m_slots{slots},
      m_connection{std::make_shared<transport::tcp_connection>(std::move(socket))},
      m_reader{transport::message_kind::request, message_limits()}, m_from{from}, m_memory{
                                                                                      host.memory,
                                                                                      *this}
{
}

caller_connection::~caller_connection()
{
    m_connection->close();
}

const caller_limits& caller_connection::limits() const
{
    return m_host.deployed ? m_host.deployed->limits() : default_limits;
}

transport::message_limits caller_connection::message_limits() const
{
    return {limits().head_bytes, limits().body_bytes, m_host.caller_bounds.header_lines};
}

void caller_connection::start()
{
    if (!acquire_slot()) {
        return;
    }
    m_all.insert(shared_from_this());
    m_progress.accepted = m_host.timers.now();
    m_connection->set_observer(this);
    wait_for_request();
    m_connection->start();
}

bool caller_connection::acquire_slot()
{
    if (m_slots.is_full()) {
        auto* const least_used = m_slots.next_to_end();
        log_limit(least_used != nullptr ? "longest_waiting_ended" : "new_one_refused");
        if (least_used == nullptr) {
            // Left in the listen queue, it would wait for as long as its caller does; refused, its
            // caller can turn to another host at once.
            m_connection->close_with(format_refusal());
            return false;
        }
        least_used->end_for_room();
    }
    m_slot = m_slots.add(*this);
    return true;
}

void caller_connection::log_limit(std::string_view outcome)
{
    const auto now = m_host.timers.now();
    if (m_host.connection_log_budget.try_acquire(now)) {
        spdlog::warn("connections_at_limit peer={} count={} limit={} effect={} passed_over={}",
                     m_from == peer::host ? "host" : "caller", m_slots.count(), m_slots.limit(),
                     outcome, m_host.connection_log_budget.take_suppressed_count());
    }
}

void caller_connection::update_phase()
{
    using phase = connection_slots::phase;
    if (m_slot) {
        m_slots.set_phase(*m_slot, m_exchange != nullptr || m_connection->unsent() > 0
                                       ? phase::answering
                                   : m_closing                     ? phase::closing
                                   : m_progress.request_count == 0 ? phase::fresh
                                                                   : phase::kept);
    }
}

void caller_connection::end_for_room()
{
    const auto keep = shared_from_this();
    const bool has_request = m_request_started || m_connection->has_input();
    if (!m_closing && has_request && m_connection->unsent() == 0) {
        ++m_host.counts.refused;
        m_connection->close_with(format_refusal());
    }
    drop();
}

void caller_connection::wait_for_request()
{
    m_body.clear();
    update_memory();
    m_continue_sent = false;
    m_timed_phase = read_phase::idle;
    m_request_started = false;
    m_waiting_since = m_host.timers.now();
    start_idle_timeout();
}

void caller_connection::start_idle_timeout()
{
    m_timeout = m_host.timers.call_at(m_waiting_since + limits().idle_timeout, [this] {
        if (m_connection->has_input()) {
            // A request has arrived that will be read next.
            m_waiting_since = m_host.timers.now();
        }
        // The configuration may have changed since.
        if (m_host.timers.now() < m_waiting_since + limits().idle_timeout) {
            start_idle_timeout();
        }
        else {
            close_gracefully();
        }
    });
}

void caller_connection::begin_request()
{
    m_request_started = true;
    m_head_bytes = 0;
    m_reader = transport::message_reader{transport::message_kind::request, message_limits()};
}

void caller_connection::set_read_timeout()
{
    const auto phase = m_reader.head_complete() ? read_phase::body : read_phase::head;
    if (std::exchange(m_timed_phase, phase) == phase) {
        return;
    }
    start_read_timeout(m_host.timers.now() +
                       (phase == read_phase::body ? body_timeout : limits().head_timeout));
}

void caller_connection::start_read_timeout(time_point when)
{
    m_timeout = m_host.timers.call_at(when, [this] {
        if (m_connection->has_unread()) {
            // What has arrived in time is read first.
            start_read_timeout(m_host.timers.now() + transport::timer_queue::resolution);
        }
        else {
            constexpr unsigned request_timeout = 408;
            reject_unfinished(request_timeout, "the request did not arrive in time");
        }
    });
}

void caller_connection::on_input()
{
    const auto keep = shared_from_this();
    if (m_closing) {
        m_connection->consume(m_connection->input().size());
        return;
    }
    read_request();
    update_reading();
}

bool caller_connection::can_read_request() const noexcept
{
    return m_exchange == nullptr && !m_closing && !m_connection->input().empty() &&
           m_connection->unsent() <= m_host.caller_bounds.unread_answer_bytes;
}

void caller_connection::update_reading()
{
    const auto pipelined = m_connection->input().size();
    // What is left of a request that has not arrived whole is bounded by the reader.
    const bool must_read = m_closing || m_request_started || pipelined == 0;
    const auto& bounds = m_host.caller_bounds;
    const auto* const reason = pipelined > bounds.pipelined_bytes ? "pipelined_bytes"
                               : m_connection->unsent() > bounds.unread_answer_bytes
                                   ? "unread_answer"
                               : m_host.memory.is_scarce() ? "memory"
                                                           : nullptr;
    if (must_read || reason == nullptr) {
        m_pause_reported = false;
        m_connection->resume_reading();
        return;
    }
    m_connection->pause_reading();
    watch_caller();
    if (!std::exchange(m_pause_reported, true)) {
        log_paused_reading(reason);
    }
}

void caller_connection::watch_caller()
{
    if (m_leave_check.is_set()) {
        return;
    }
    m_leave_check = m_host.timers.call_at(m_host.timers.now() + leave_check_interval, [this] {
        const auto keep = shared_from_this();
        if (m_closing && m_exchange == nullptr) {
            // The close has a timeout of its own.
            return;
        }
        if (!drop_if_left() && m_connection->is_reading_held()) {
            watch_caller();
        }
    });
}

bool caller_connection::drop_if_left()
{
    if (!m_connection->has_peer_ended()) {
        return false;
    }
    if (m_host.caller_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::info("caller_left_while_paused input_bytes={} unread_answer_bytes={} requests={} "
                     "passed_over={}",
                     m_connection->input().size(), m_connection->unsent(), m_progress.request_count,
                     m_host.caller_log_budget.take_suppressed_count());
    }
    drop();
    return true;
}

void caller_connection::read_request()
{
    if (!can_read_request()) {
        update_memory();
        return;
    }
    // While reading is paused, the caller may have left since its requests were read.
    if (m_leave_check.is_set() && drop_if_left()) {
        return;
    }
    if (!m_request_started) {
        begin_request();
    }
    m_connection->consume(m_reader.feed(m_connection->input()));
    if (m_reader.problem() != transport::parse_problem::none) {
        reject_message();
        return;
    }
    m_body += m_reader.take_body();
    const bool head_arrived = m_reader.head_complete() && m_head_bytes == 0;
    m_head_bytes = m_reader.head().memory_bytes;
    if (head_arrived && !m_host.memory.admits(m_head_bytes)) {
        reject_for_memory();
        return;
    }
    update_memory();
    if (!m_reader.complete()) {
        set_read_timeout();
        if (m_reader.head_complete() && !m_continue_sent && m_reader.head().fields.find("Expect")) {
            m_continue_sent = true;
            m_connection->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
    }
    m_timeout.cancel();
    m_request_started = false;
    ++m_progress.request_count;
    if (!m_reader.keeps_connection()) {
        m_closing = true;
    }
    m_exchange = std::make_shared<exchange>(m_host, *this, std::move(m_reader.head()),
                                            std::move(m_body), m_from == peer::host);
    update_phase();
    update_memory();
    // This copy keeps the exchange alive: start() may end it and reset m_exchange.
    const auto current = m_exchange;
    current->start();
}

void caller_connection::log_paused_reading(std::string_view reason)
{
    ++m_host.counts.callers.reading_pauses;
    if (m_host.caller_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::info("caller_reading_paused reason={} input_bytes={} unread_answer_bytes={} "
                     "requests={} passed_over={}",
                     reason, m_connection->input().size(), m_connection->unsent(),
                     m_progress.request_count, m_host.caller_log_budget.take_suppressed_count());
    }
}

void caller_connection::on_end(transport::connection_end)
{
    const auto keep = shared_from_this();
    drop();
}

void caller_connection::on_written()
{
    const auto keep = shared_from_this();
    update_memory();
    if (m_exchange != nullptr) {
        m_exchange->on_caller_drained();
    }
    else if (m_closing) {
        close_gracefully();
        return;
    }
    else {
        update_phase();
        if (!m_connection->input().empty()) {
            m_connection->report_input_later();
        }
    }
    update_reading();
}

void caller_connection::close_if_idle()
{
    const bool waited = m_host.timers.now() - m_waiting_since >= min_idle_time;
    if (m_exchange == nullptr && !m_request_started && !m_closing && waited &&
        !m_connection->has_input()) {
        close_gracefully();
    }
}

void caller_connection::end_now()
{
    const auto keep = shared_from_this();
    if (m_exchange != nullptr) {
        const auto current = m_exchange;
        current->end_for_stop(m_progress);
    }
    else if (!m_closing) {
        // A request that has arrived whole is refused by its exchange.
        read_request();
        if (m_request_started && !m_closing) {
            constexpr unsigned unavailable = 503;
            reject_unfinished(unavailable, "the host is stopping");
        }
        else if (m_exchange == nullptr && !m_closing && m_connection->input().empty()) {
            close_gracefully();
        }
    }
}

void caller_connection::drop()
{
    // No further request is begun, although its bytes may have been received.
    m_closing = true;
    m_timeout.cancel();
    m_leave_check.cancel();
    if (m_exchange != nullptr) {
        // It owns itself until its answer has ended, and must not answer to a freed connection.
        std::exchange(m_exchange, nullptr)->on_caller_disconnected();
    }
    m_memory.resize(0);
    m_connection->close();
    if (m_slot) {
        m_slots.remove(*m_slot);
        m_slot.reset();
    }
    m_all.erase(shared_from_this());
}

} // namespace cicadaport::serving
