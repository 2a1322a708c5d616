#include "cicadaport/transport/exchange_connection.h"

#include <charconv>

namespace cicadaport::transport {
namespace {

// Parses the idle timeout of a Keep-Alive field such as "timeout=5, max=100".
std::optional<std::chrono::seconds> idle_time_of(const http::field_list& fields)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = fields.find("Keep-Alive");
    const auto at = value ? value->find(parameter) : std::string_view::npos;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value->substr(at + parameter.size());
    unsigned count = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
    return error == std::errc{} ? std::optional{std::chrono::seconds{count}} : std::nullopt;
}

} // namespace

std::string_view to_text(exchange_failure failure) noexcept
{
    switch (failure) {
    case exchange_failure::not_sent:
        return "not_sent";
    case exchange_failure::unanswered:
        return "unanswered";
    case exchange_failure::cut_short:
        return "cut_short";
    case exchange_failure::ended_early:
        break;
    }
    return "ended_early";
}

exchange_connection::exchange_connection(boost::asio::io_context& context, timer_queue& timers,
                                         message_limits limits)
    : m_timers{timers}, m_limits{limits}, m_connection{std::make_shared<tcp_connection>(context)},
      m_reader{message_kind::response, limits}
{
}

exchange_connection::~exchange_connection()
{
    m_connection->close();
}

void exchange_connection::connect(const http::address& to, times limits)
{
    m_open = true;
    m_connection->set_observer(this);
    m_connection->connect(to, limits.socket);
    m_connect_limit = m_timers.call_at(m_timers.now() + limits.connect,
                                       [this] { fail(exchange_failure::not_sent); });
}

void exchange_connection::send(std::string request, answer_observer& observer,
                               std::optional<time_point> send_deadline)
{
    m_send_deadline = send_deadline;
    m_observer = &observer;
    m_reader = message_reader{message_kind::response, m_limits};
    m_head_taken = false;
    m_skipping = false;
    m_skipped_bytes = 0;
    ++m_exchanges;
    m_connection->write(std::move(request));
}

void exchange_connection::set_observer(answer_observer& observer) noexcept
{
    if (m_observer != nullptr) {
        m_observer = &observer;
    }
}

void exchange_connection::abandon() noexcept
{
    m_observer = nullptr;
    m_open = false;
    m_reusable = false;
    m_connect_limit.cancel();
    m_delivery_check.cancel();
    m_connection->abort();
}

void exchange_connection::on_connected()
{
    m_connected = true;
    m_idle_since = m_timers.now();
    m_connect_limit.cancel();
    // The process may have been suspended while the connection was established.
    if (m_send_deadline && m_idle_since >= *m_send_deadline) {
        fail(exchange_failure::not_sent);
    }
}

void exchange_connection::on_input()
{
    const auto keep = shared_from_this();
    if (m_observer == nullptr) {
        // The bytes belong to no request.
        abandon();
        return;
    }
    read_answer();
}

void exchange_connection::read_answer()
{
    while (m_open && m_observer != nullptr) {
        const auto input = m_connection->input();
        const auto used = m_reader.feed(input);
        m_connection->consume(used);
        if (m_reader.problem() != parse_problem::none) {
            fail(exchange_failure::cut_short);
            return;
        }
        if (m_reader.head_complete() && !m_head_taken && !take_head()) {
            return;
        }
        if (m_skipping) {
            m_skipped_bytes += used;
            if (m_skipped_bytes > max_skipped_bytes) {
                fail(exchange_failure::unanswered);
                return;
            }
        }
        auto piece = m_reader.take_body();
        if (!piece.empty() && !m_skipping) {
            m_observer->on_body(piece);
        }
        // The observer may have ended the exchange.
        if (!m_open || m_observer == nullptr) {
            return;
        }
        if (m_reader.complete()) {
            if (!m_skipping) {
                complete();
                return;
            }
            m_reader = message_reader{message_kind::response, m_limits};
            m_head_taken = false;
            m_skipping = false;
            if (m_connection->input().empty()) {
                return;
            }
        }
        else if (used == 0 || m_connection->input().empty()) {
            return;
        }
    }
}

bool exchange_connection::take_head()
{
    m_head_taken = true;
    m_status = m_reader.head().status;
    m_peer_keeps_alive = m_reader.keeps_connection();
    if (!http::is_interim(m_reader.head().status) && m_observer->owns(m_reader.head())) {
        if (const auto idle = idle_time_of(m_reader.head().fields)) {
            m_advertised_idle_timeout = idle;
        }
        m_observer->on_head(std::move(m_reader.head()));
        return m_open && m_observer != nullptr;
    }
    m_reusable = false;
    if (m_reader.ends_with_connection()) {
        fail(exchange_failure::unanswered);
        return false;
    }
    m_skipping = true;
    return true;
}

void exchange_connection::complete()
{
    const bool clean = m_connection->input().empty() && m_connection->unsent() == 0;
    m_reusable = m_reusable && clean && m_peer_keeps_alive && !m_reader.ends_with_connection();
    m_idle_since = m_timers.now();
    auto* observer = std::exchange(m_observer, nullptr);
    if (m_reusable) {
        // Reading may have been paused for this exchange.
        m_connection->resume_reading();
    }
    else {
        abandon();
    }
    observer->on_complete();
}

void exchange_connection::on_end(connection_end how)
{
    const auto keep = shared_from_this();
    if (m_observer == nullptr) {
        abandon();
        return;
    }
    if (how == connection_end::closed && m_head_taken && !m_skipping) {
        if (m_reader.ends_with_connection()) {
            end_unframed_response();
            return;
        }
        m_reader.feed_end();
        if (m_reader.complete()) {
            complete();
            return;
        }
    }
    fail(!m_connected                  ? exchange_failure::not_sent
         : m_head_taken && !m_skipping ? exchange_failure::cut_short
                                       : exchange_failure::unanswered);
}

void exchange_connection::end_unframed_response()
{
    const auto keep = shared_from_this();
    const auto delivered = http::depends_on_delivery(m_status) ? m_connection->output_delivery()
                                                               : http::delivery::complete;
    if (delivered == http::delivery::pending) {
        m_delivery_check = m_timers.call_at(m_timers.now() + http::delivery_check_interval,
                                            [this] { end_unframed_response(); });
        return;
    }
    m_reader.feed_end();
    if (delivered == http::delivery::complete && m_reader.complete()) {
        complete();
    }
    else {
        fail(delivered == http::delivery::failed ? exchange_failure::ended_early
                                                 : exchange_failure::cut_short);
    }
}

void exchange_connection::fail(exchange_failure failure)
{
    const auto keep = shared_from_this();
    auto* observer = std::exchange(m_observer, nullptr);
    abandon();
    if (observer != nullptr) {
        observer->on_failure(failure);
    }
}

} // namespace cicadaport::transport
