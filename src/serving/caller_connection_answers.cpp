// Answers to callers, refusals, and the memory that a connection holds.
#include "cicadaport/serving/caller_connection.h"

#include "internal/exchange_constants.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// Retry-After time of a request that can't be held.
constexpr milliseconds retry_after_memory{1'000};
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

} // namespace

std::string caller_connection::format_refusal()
{
    constexpr std::string_view reason = "the host has no connection left";
    m_closing = true;
    http::field_list fields;
    const auto again = m_host.wire.make_retry_after_field(retry_after_overload);
    fields.add(again.name, again.value);
    return format_head(status_unavailable, fields,
                       fmt::format("Content-Length: {}\r\n", reason.size())) +
           std::string{reason};
}

std::size_t caller_connection::request_bytes() const noexcept
{
    return (m_body.empty() ? 0 : m_body.capacity()) + m_connection->input().size() +
           (m_request_started ? m_head_bytes : 0);
}

void caller_connection::update_memory()
{
    m_memory.resize(request_bytes() + unread_weight * m_connection->unsent());
}

void caller_connection::reject_message()
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned too_large = 413;
    constexpr unsigned head_too_large = 431;
    using transport::parse_problem;
    const auto problem = m_reader.problem();
    if (problem == parse_problem::too_many_lines) {
        ++m_host.counts.callers.too_many_lines;
        if (m_host.caller_log_budget.try_acquire(m_host.timers.now())) {
            spdlog::warn("request_with_too_many_lines limit={} passed_over={}",
                         m_host.caller_bounds.header_lines,
                         m_host.caller_log_budget.take_suppressed_count());
        }
    }
    reject_unfinished(problem == parse_problem::body_too_large ? too_large
                      : problem == parse_problem::head_too_large ||
                              problem == parse_problem::too_many_lines
                          ? head_too_large
                          : bad_request,
                      "the request can't be read");
}

void caller_connection::reject_for_memory()
{
    ++m_host.counts.callers.heads_without_memory;
    if (m_host.caller_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::warn("request_without_memory bytes={} held={} limit={} passed_over={}",
                     m_head_bytes, m_host.memory.held(), m_host.memory.limit(),
                     m_host.caller_log_budget.take_suppressed_count());
    }
    refuse_for_memory();
}

void caller_connection::refuse_for_memory()
{
    constexpr unsigned unavailable = 503;
    http::field_list fields;
    const auto again = m_host.wire.make_retry_after_field(retry_after_memory);
    fields.add(again.name, again.value);
    reject_unfinished(unavailable, "the host has no memory for the request", fields);
}

void caller_connection::reject_unfinished(unsigned status, std::string_view reason,
                                          const http::field_list& fields)
{
    m_closing = true;
    m_body.clear();
    m_body.shrink_to_fit();
    m_reader = transport::message_reader{transport::message_kind::request, message_limits()};
    m_head_bytes = 0;
    m_connection->consume(m_connection->input().size());
    answer(status, fields, reason);
}

std::string caller_connection::memory_fields() const
{
    return fmt::format("holder={} received_requests={}",
                       m_connection->unsent() > request_bytes()       ? "unread_answer"
                       : m_connection->input().size() > m_body.size() ? "pipelined_requests"
                                                                      : "request_body",
                       m_progress.request_count);
}

void caller_connection::release_memory()
{
    const auto keep = shared_from_this();
    const auto counted = m_memory.bytes();
    update_memory();
    if (m_memory.bytes() < counted) {
        // The kernel has taken or refused bytes since they were counted.
        return;
    }
    if (m_exchange != nullptr || m_connection->unsent() > request_bytes()) {
        m_connection->abort();
        drop();
        return;
    }
    refuse_for_memory();
}

void caller_connection::announce_close_for_stop()
{
    // A request that has already arrived is still answered.
    if (m_closing || !m_host.is_stopping() || m_connection->has_input()) {
        return;
    }
    m_closing = true;
    // A request that crosses the answer must not be read: the reset tells its caller that it was
    // not taken on.
    m_connection->leave_unread();
    watch_caller();
}

std::string caller_connection::format_head(unsigned status, const http::field_list& fields,
                                           std::string_view framing)
{
    announce_close_for_stop();
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
    out += "\r\n";
    return out;
}

void caller_connection::answer(unsigned status, const http::field_list& fields,
                               std::string_view body)
{
    const bool bodiless = http::is_bodiless(status);
    auto bytes = format_head(status, fields,
                             bodiless ? "" : fmt::format("Content-Length: {}\r\n", body.size()));
    if (!bodiless) {
        bytes += body;
    }
    m_connection->write(std::move(bytes));
    update_memory();
    on_answer_ended();
}

void caller_connection::begin(unsigned status, const http::field_list& fields)
{
    m_connection->write(format_head(status, fields, "Transfer-Encoding: chunked\r\n"));
}

void caller_connection::write(std::string_view piece)
{
    m_connection->write(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
    update_memory();
}

void caller_connection::finish()
{
    m_connection->write("0\r\n\r\n");
    on_answer_ended();
}

void caller_connection::close_after_answer()
{
    ++m_host.counts.callers.unusable;
    m_closing = true;
    // Nothing more is read as a request.
    m_connection->consume(m_connection->input().size());
    if (m_host.caller_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::info("caller_closed_after_unusable_request requests={} passed_over={}",
                     m_progress.request_count, m_host.caller_log_budget.take_suppressed_count());
    }
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
    // A caller whose answer began before the stop was not told that the connection closes. A
    // request that has already arrived is still answered.
    m_closing = m_closing || (m_host.is_stopping() && !m_connection->has_input());
    if (m_closing) {
        close_gracefully();
        return;
    }
    wait_for_request();
    update_phase();
    update_reading();
    // The next request of the connection, if it has arrived, waits until the event loop has turned
    // once, so that a connection that pipelines gets no more turns than others.
    if (!m_connection->input().empty()) {
        ++m_host.counts.callers.later_turns;
        m_connection->report_input_later();
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

} // namespace cicadaport::serving
