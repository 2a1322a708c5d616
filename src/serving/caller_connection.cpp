#include "cicadaport/serving/caller_connection.h"

#include "internal/exchange_constants.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// Bytes of pipelined requests that are buffered while a request is being answered, before
// reading pauses.
constexpr std::size_t max_pipelined_bytes = 64 * 1024;
// Bytes of earlier answers that the caller has not taken above which its next request is not begun.
constexpr std::size_t max_unread_answer_bytes = 128 * 1024;
// Retry-After time of a request whose body can't be held.
constexpr milliseconds retry_after_memory{1'000};
// Used until a configuration with limits for callers has been read.
constexpr caller_limits default_limits{};
// Time in which a body must arrive after its head.
constexpr milliseconds body_timeout{20'000};
// Time in which a caller must have taken the last answer of its connection.
constexpr milliseconds last_answer_timeout{20'000};
// Time in which the caller may close its side after the host has closed its own.
constexpr milliseconds close_timeout{1'000};

// Returns whether a field applies to a single connection only (hop-by-hop) or is written
// by format_head(), and so is not forwarded.
bool is_connection_field(std::string_view name)
{
    constexpr std::string_view names[] = {
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
        "TE",         "Trailer",    "Upgrade",          "Content-Length"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view each) { return boost::beast::iequals(each, name); });
}

// Weight of the bytes that wait for their caller to read. An answer that nobody reads is ended
// before one that is being received, whose caller may read it.
constexpr std::size_t unread_weight = 2;

// Returns the number of bytes that a connection holds, with their weight.
std::size_t held_bytes(const std::string& body, const transport::tcp_connection& connection)
{
    return (body.empty() ? 0 : body.capacity()) + unread_weight * connection.unsent();
}

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
    return {limits().head_bytes, limits().body_bytes};
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

std::string caller_connection::format_refusal()
{
    constexpr std::string_view reason = "the host has no connection left";
    m_closing = true;
    http::field_list fields;
    const auto again = m_host.wire.make_retry_after_field(retry_after_overload);
    fields.add(again.name, again.value);
    return format_head(status_unavailable, fields,
                       fmt::format("Content-Length: {}", reason.size())) +
           std::string{reason};
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
    m_memory.resize(held_bytes(m_body, *m_connection));
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
    if (m_exchange == nullptr) {
        read_requests();
    }
    if (!can_read_requests() && m_connection->input().size() > max_pipelined_bytes) {
        m_connection->pause_reading();
    }
}

bool caller_connection::can_read_requests() const noexcept
{
    return m_exchange == nullptr && !m_closing && m_connection->unsent() <= max_unread_answer_bytes;
}

void caller_connection::read_requests()
{
    while (can_read_requests() && !m_connection->input().empty()) {
        if (!m_request_started) {
            begin_request();
        }
        const auto used = m_reader.feed(m_connection->input());
        m_connection->consume(used);
        if (m_reader.problem() != transport::parse_problem::none) {
            reject_message();
            return;
        }
        m_body += m_reader.take_body();
        m_memory.resize(held_bytes(m_body, *m_connection));
        if (!m_reader.complete()) {
            set_read_timeout();
            if (m_reader.head_complete() && !m_continue_sent &&
                m_reader.head().fields.find("Expect")) {
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
        // This copy keeps the exchange alive: start() may end it and reset m_exchange.
        m_memory.resize(held_bytes(m_body, *m_connection));
        const auto current = m_exchange;
        current->start();
    }
}

void caller_connection::reject_message()
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned too_large = 413;
    constexpr unsigned head_too_large = 431;
    const auto problem = m_reader.problem();
    m_closing = true;
    m_body.clear();
    m_body.shrink_to_fit();
    m_memory.resize(0);
    answer(problem == transport::parse_problem::body_too_large   ? too_large
           : problem == transport::parse_problem::head_too_large ? head_too_large
                                                                 : bad_request,
           {}, "the request can't be read");
}

void caller_connection::reject_unfinished(unsigned status, std::string_view reason,
                                          const http::field_list& fields)
{
    m_closing = true;
    m_body.clear();
    m_body.shrink_to_fit();
    m_memory.resize(0);
    answer(status, fields, reason);
}

std::string caller_connection::memory_fields() const
{
    return fmt::format("holder={} received_requests={}",
                       m_connection->unsent() > m_body.size() ? "unread_answer" : "request_body",
                       m_progress.request_count);
}

void caller_connection::release_memory()
{
    const auto keep = shared_from_this();
    const auto held = held_bytes(m_body, *m_connection);
    if (held < m_memory.bytes()) {
        // The kernel has taken or refused bytes since they were counted.
        m_memory.resize(held);
        return;
    }
    if (m_exchange != nullptr || m_connection->unsent() > m_body.size()) {
        m_connection->abort();
        drop();
        return;
    }
    constexpr unsigned unavailable = 503;
    http::field_list fields;
    const auto again = m_host.wire.make_retry_after_field(retry_after_memory);
    fields.add(again.name, again.value);
    reject_unfinished(unavailable, "the host has no memory for the request", fields);
}

void caller_connection::on_end(transport::connection_end)
{
    const auto keep = shared_from_this();
    drop();
}

void caller_connection::on_written()
{
    const auto keep = shared_from_this();
    m_memory.resize(held_bytes(m_body, *m_connection));
    if (m_exchange != nullptr) {
        m_exchange->on_caller_drained();
    }
    else if (m_closing) {
        close_gracefully();
    }
    else {
        update_phase();
        m_connection->resume_reading();
        read_requests();
    }
}

std::string caller_connection::format_head(unsigned status, const http::field_list& fields,
                                           std::string_view framing)
{
    m_closing = m_closing || m_host.is_stopping();
    const auto reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    auto out = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view{reason});
    for (const auto& each : fields) {
        if (!is_connection_field(each.name)) {
            out += each.name;
            out += ": ";
            out += each.value;
            out += "\r\n";
        }
    }
    if (m_closing) {
        out += "Connection: close\r\n";
    }
    out += framing;
    out += "\r\n\r\n";
    return out;
}

void caller_connection::answer(unsigned status, const http::field_list& fields,
                               std::string_view body)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    const bool bodiless = status == no_content || status == not_modified;
    auto bytes = format_head(status, fields,
                             bodiless ? "Content-Length: 0"
                                      : fmt::format("Content-Length: {}", body.size()));
    if (!bodiless) {
        bytes += body;
    }
    m_connection->write(std::move(bytes));
    m_memory.resize(held_bytes(m_body, *m_connection));
    on_answer_ended();
}

void caller_connection::begin(unsigned status, const http::field_list& fields)
{
    m_connection->write(format_head(status, fields, "Transfer-Encoding: chunked"));
}

void caller_connection::write(std::string_view piece)
{
    m_connection->write(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
    m_memory.resize(held_bytes(m_body, *m_connection));
}

void caller_connection::finish()
{
    m_connection->write("0\r\n\r\n");
    on_answer_ended();
}

void caller_connection::cut()
{
    m_exchange.reset();
    m_connection->abort();
    drop();
}

void caller_connection::on_answer_ended()
{
    m_exchange.reset();
    m_connection->resume_reading();
    // A caller whose answer began before the stop was not told that the connection closes. A
    // request that has already arrived is still answered.
    m_closing = m_closing || (m_host.is_stopping() && !m_connection->has_input());
    if (m_closing) {
        close_gracefully();
        return;
    }
    wait_for_request();
    update_phase();
    // This function may run within read_requests(). Input that has already arrived is
    // read later, from the event loop, so that the call does not recurse.
    if (!m_connection->input().empty()) {
        m_connection->report_input_later();
    }
}

void caller_connection::close_if_idle()
{
    const bool waited = m_host.timers.now() - m_waiting_since >= min_idle_time;
    if (m_exchange == nullptr && !m_request_started && !m_closing && waited &&
        !m_connection->has_input()) {
        close_gracefully();
    }
}

void caller_connection::close_gracefully()
{
    m_closing = true;
    if (!m_request_started) {
        // A request that crosses the close must not be read: the reset tells its caller that it was
        // not taken on.
        m_connection->leave_unread();
    }
    const bool is_written = m_connection->unsent() == 0;
    if (is_written) {
        m_connection->stop_sending();
    }
    // Else on_written() continues here.
    update_phase();
    m_timeout = m_host.timers.call_at(
        m_host.timers.now() + (is_written ? close_timeout : last_answer_timeout), [this] {
            const auto keep = shared_from_this();
            drop();
        });
}

void caller_connection::end_now()
{
    const auto keep = shared_from_this();
    if (m_exchange != nullptr) {
        const auto current = m_exchange;
        current->end_for_stop(m_progress);
    }
    else if (!m_closing && (m_request_started || !m_connection->input().empty())) {
        constexpr unsigned unavailable = 503;
        reject_unfinished(unavailable, "the host is stopping");
    }
    else if (!m_closing) {
        close_gracefully();
    }
}

void caller_connection::drop()
{
    // No further request is begun, although its bytes may have been received.
    m_closing = true;
    m_timeout.cancel();
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
