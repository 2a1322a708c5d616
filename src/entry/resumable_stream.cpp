#include "internal/resumable_stream.h"

#include "cicadaport/base/identifier.h"
#include "cicadaport/base/safeguards.h"
#include "cicadaport/entry/request_end.h"
#include "internal/stream_cancel.h"

#include <nlohmann/json.hpp>

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::safeguard;
using base::safeguards;
using base::verdict;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view final_data = "[DONE]";
constexpr std::string_view endpoint_field = "Cicadaport-Endpoint";
constexpr std::string_view last_event_field = "Last-Event-ID";
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
// The stream is resumed if the engine sends nothing for this long.
constexpr milliseconds event_timeout{15'000};
constexpr milliseconds resume_backoff{20};
// The maximum number of consecutive resumes without a new event.
constexpr std::uint32_t max_resume_count = 4;

} // namespace

resumable_stream::resumable_stream(path_resources& resources, const caller_exchange& exchange,
                                   completion_request wanted)
    : m_resources{resources}, m_exchange{exchange}, m_wanted{std::move(wanted)},
      m_prefix{stream_prefix(exchange.context.account, exchange.context.id, exchange.message.body)},
      m_tries{resources.own, exchange.context, true}, m_stages{resources, exchange, m_wanted.model},
      m_number{resources.own.next_stream_id++}, m_last_event{exchange.context.arrived}
{
    m_resources.own.handover_callbacks[m_number] = [this] {
        m_handing_over = true;
        m_cancel.request();
    };
}

resumable_stream::~resumable_stream()
{
    m_resources.own.handover_callbacks.erase(m_number);
}

asio::awaitable<void> resumable_stream::run()
{
    std::exception_ptr failure;
    try {
        co_await answer();
    }
    catch (...) {
        failure = std::current_exception();
    }
    // No client reads the rest of the stream after a disconnect or a failure, so the
    // engine need not produce it.
    if (m_client_disconnected || failure) {
        cancel_at_engine();
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

asio::awaitable<void> resumable_stream::answer()
{
    restore_position();
    watch_caller();
    auto end = connection_result::lost;
    if (!m_position.stream.empty()) {
        end = co_await resume();
    }
    std::optional<request_failure> failure;
    try {
        while (end != connection_result::whole && end != connection_result::different &&
               !m_cancel.requested()) {
            end = end == connection_result::lost ? co_await start_new_run() : co_await resume();
        }
    }
    catch (const request_failure& error) {
        failure = error;
    }
    if (end == connection_result::whole) {
        co_return;
    }
    if (m_client_disconnected) {
        report_interrupted(m_resources.counters, m_exchange.context, m_position.engine,
                           "caller_gone", "the caller left");
    }
    else if (m_handing_over) {
        co_await hand_over();
    }
    else {
        co_await end_with_error(failure.value_or(
            request_failure{failure_kind::endpoint_failed, verdict::may_have_run,
                            "the engine was lost and another one answered differently"}));
    }
}

void resumable_stream::restore_position()
{
    const auto id = m_exchange.message.fields.find(last_event_field);
    if (!id || id->empty() || !safeguards::is_on(safeguard::resume_position)) {
        return;
    }
    const auto position = parse_event_id(*id);
    const bool own = position && (position->stream.starts_with(m_prefix) ||
                                  !safeguards::is_on(safeguard::position_owner));
    if (!own) {
        throw request_failure{failure_kind::invalid_request, verdict::not_run,
                              std::string{last_event_field} +
                                  " is not of this account's request with this id and body"};
    }
    m_position = *position;
    // An earlier request began this answer.
    m_tries.record_earlier_exchange();
}

void resumable_stream::watch_caller()
{
    m_watch.emplace(m_exchange.writer.watch_peer([this] {
        m_client_disconnected = true;
        m_cancel.request();
    }));
}

// Runs the request from the beginning at an engine that has not received it yet.
asio::awaitable<resumable_stream::connection_result> resumable_stream::start_new_run()
{
    const auto& message = m_exchange.message;
    auto engine = co_await m_stages.next(m_tries, m_cancel);
    m_read = {0, 0, m_prefix + base::make_identifier(), engine.name};
    if (m_position.delivered == 0) {
        m_position = m_read;
    }
    http::request forwarded{"POST", message.target, forwarded_fields(message, m_read.stream),
                            message.body};
    add_engine_fields(forwarded.fields, engine);
    m_charge.move_account_slot_to(engine.charge);
    m_charge = std::move(engine.charge);
    auto end = co_await read_from(engine.address, std::move(forwarded));
    if (end == connection_result::broken && m_read.delivered < m_position.delivered) {
        // The new run has not reached the caller's position, so there is nothing to resume.
        end = connection_result::lost;
    }
    while (end == connection_result::broken && !m_cancel.requested()) {
        end = co_await resume();
    }
    if (end == connection_result::whole || end == connection_result::different) {
        m_tries.record_success(engine.name);
    }
    else if (!m_cancel.requested()) {
        m_tries.record_failure(engine.name, m_outcome, m_reason);
    }
    co_return end;
}

// Resumes the caller's stream at the engine that holds it.
asio::awaitable<resumable_stream::connection_result> resumable_stream::resume()
{
    const auto engine = engine_address();
    if (!engine || ++m_resumes > max_resume_count) {
        m_reason = "the engine can't go on with the stream";
        m_outcome = verdict::may_have_run;
        co_return connection_result::lost;
    }
    if (m_resumes > 1) {
        co_await back_off();
    }
    m_read = m_position;
    http::request message{"GET",
                          "/v1/streams/" + m_position.stream +
                              "?from=" + std::to_string(m_position.delivered),
                          {},
                          {}};
    const auto end = co_await read_from(*engine, std::move(message));
    m_outcome = verdict::may_have_run;
    co_return end;
}

asio::awaitable<resumable_stream::connection_result>
resumable_stream::read_from(const http::address& engine, http::request message)
{
    const bool is_resume = message.method == "GET";
    try {
        auto answer =
            co_await m_resources.own.endpoints.open(engine, std::move(message), options());
        const auto& head = answer.head();
        if (head.status == status_ok) {
            co_return co_await read_events(answer);
        }
        m_outcome = is_not_started(head) ? verdict::not_run : verdict::may_have_run;
        m_reason = "the engine answered " + std::to_string(head.status);
        if (!is_resume && is_final_response(head)) {
            throw request_failure{failure_kind::invalid_request,
                                  std::max(m_outcome, m_tries.outcome()), m_reason};
        }
        co_return is_resume&& head.status != status_not_found ? connection_result::broken
                                                              : connection_result::lost;
    }
    catch (const http::exchange_error& error) {
        m_outcome = error.outcome();
        m_reason = error.what();
    }
    catch (const std::length_error& error) {
        m_outcome = verdict::may_have_run;
        m_reason = error.what();
        co_return connection_result::lost;
    }
    // `not_run` means that no connection to the engine was made, so it can't resume the stream.
    co_return m_outcome == verdict::not_run ? connection_result::lost : connection_result::broken;
}

asio::awaitable<resumable_stream::connection_result>
resumable_stream::read_events(http::response_stream& answer)
{
    event_parser parser;
    while (auto piece = co_await answer.next()) {
        parser.feed(*piece);
        const auto end = process_events(parser);
        co_await flush();
        if (end == connection_result::whole) {
            co_await finish();
            co_await read_to_end(answer);
        }
        if (end || m_cancel.requested()) {
            co_return end.value_or(connection_result::broken);
        }
    }
    m_reason = "the engine's stream ended without its final event";
    co_return connection_result::broken;
}

// Reads the bytes after the final event, so that the connection can be reused.
asio::awaitable<void> resumable_stream::read_to_end(http::response_stream& answer)
{
    try {
        while (co_await answer.next()) {
        }
    }
    catch (const http::exchange_error& error) {
        m_reason = error.what();
    }
}

std::optional<resumable_stream::connection_result>
resumable_stream::process_events(event_parser& parser)
{
    while (const auto event = parser.next()) {
        if (const auto end = process_event(*event)) {
            return end;
        }
    }
    return std::nullopt;
}

std::optional<resumable_stream::connection_result>
resumable_stream::process_event(const stream_event& event)
{
    if (event.data == final_data) {
        return m_read.delivered < m_position.delivered ? connection_result::different
                                                       : connection_result::whole;
    }
    if (!event.position || *event.position < m_read.delivered) {
        // A duplicate event or a keep-alive comment.
        return std::nullopt;
    }
    if (*event.position > m_read.delivered) {
        m_reason = "the engine's stream has a gap";
        return connection_result::broken;
    }
    const bool is_new = m_read.delivered == m_position.delivered;
    advance_position(m_read, event.data);
    m_charge.record_tokens(1, std::chrono::steady_clock::now());
    if (is_new) {
        m_position = m_read;
        m_resumes = 0;
        forward(event);
    }
    else if (m_read.delivered == m_position.delivered) {
        if (m_read.digest != m_position.digest && safeguards::is_on(safeguard::same_beginning)) {
            return connection_result::different;
        }
        // The new run has reached the caller's position and replaces the old run.
        m_position = m_read;
    }
    return std::nullopt;
}

void resumable_stream::forward(const stream_event& event)
{
    record_token_latency();
    m_unsent += "id: ";
    m_unsent += to_event_id(m_position);
    m_unsent += "\ndata: ";
    m_unsent += event.data;
    m_unsent += "\n\n";
}

// Sends the events of one piece to the caller. The next piece is read from the
// engine only after the write completes.
asio::awaitable<void> resumable_stream::flush()
{
    if (m_unsent.empty()) {
        co_return;
    }
    if (!m_begun) {
        co_await begin();
    }
    co_await m_exchange.writer.write(m_unsent);
    m_unsent.clear();
}

asio::awaitable<void> resumable_stream::begin()
{
    m_begun = true;
    http::response head{status_ok, {}, {}};
    head.fields.add("Content-Type", "text/event-stream");
    head.fields.add("Cache-Control", "no-cache");
    head.fields.add(request_id_field, m_exchange.context.id);
    head.fields.add(endpoint_field, m_position.engine);
    // Whether the answer is complete is unknown until the final event.
    head.fields.add(verdict_field, base::to_string(verdict::may_have_run));
    co_await m_exchange.writer.begin_stream(std::move(head));
}

asio::awaitable<void> resumable_stream::finish()
{
    if (!m_begun) {
        co_await begin();
    }
    co_await m_exchange.writer.write("data: [DONE]\n\n");
    co_await m_exchange.writer.end_stream();
    m_charge.record_response_end();
    report_answered(m_resources.counters, m_exchange.context, m_position.engine);
}

asio::awaitable<void> resumable_stream::hand_over()
{
    if (m_position.stream.empty() && !m_stages.prefill_engine().empty()) {
        // No engine holds this stream yet; the next entry process starts it.
        m_position = {0, 0, m_prefix + base::make_identifier(), m_stages.prefill_engine()};
    }
    if (m_position.stream.empty()) {
        throw request_failure{failure_kind::unavailable, m_tries.outcome(),
                              "this entry process stops", milliseconds{0}};
    }
    if (!m_begun) {
        co_await begin();
    }
    const nlohmann::json body{{"request_id", m_exchange.context.id},
                              {"last_event_id", to_event_id(m_position)},
                              {"verdict", base::to_string(verdict::may_have_run)}};
    const auto text = "event: resume\ndata: " + body.dump() + "\n\n";
    co_await m_exchange.writer.write(text);
    report_interrupted(m_resources.counters, m_exchange.context, m_position.engine, "handed_over",
                       "this entry process stops");
}

// Ends the answer with an error event. The final event and chunk are omitted, so
// that the client can tell that the answer is incomplete.
asio::awaitable<void> resumable_stream::end_with_error(const request_failure& failure)
{
    if (!m_begun) {
        throw request_failure{failure};
    }
    const nlohmann::json body{{"error",
                               {{"message", failure.what()},
                                {"type", "server_error"},
                                {"code", to_string(failure.kind())},
                                {"verdict", base::to_string(verdict::may_have_run)}}},
                              {"request_id", m_exchange.context.id},
                              {"last_event_id", to_event_id(m_position)}};
    const auto text = "event: error\ndata: " + body.dump() + "\n\n";
    co_await m_exchange.writer.write(text);
    report_interrupted(m_resources.counters, m_exchange.context, m_position.engine, "cut",
                       failure.what());
}

asio::awaitable<void> resumable_stream::back_off()
{
    asio::steady_timer timer{m_resources.own.context, resume_backoff * (1U << m_resumes)};
    co_await timer.async_wait(asio::use_awaitable);
}

http::exchange_options resumable_stream::options()
{
    http::exchange_options out;
    out.response_timeout = event_timeout;
    out.cancel = &m_cancel;
    return out;
}

std::optional<http::address> resumable_stream::engine_address() const
{
    const base::rcu_reader guard;
    const auto* found = m_resources.view.read(guard).document().find_endpoint(m_position.engine);
    return found == nullptr ? std::nullopt : std::optional{found->address};
}

void resumable_stream::record_token_latency()
{
    const auto now = clock::now();
    const auto& context = m_exchange.context;
    if (m_last_event == context.arrived) {
        m_resources.counters.record_first_token(context.priority, now - m_last_event);
    }
    else {
        m_resources.counters.record_token_gap(context.priority, now - m_last_event);
    }
    m_last_event = now;
}

void resumable_stream::cancel_at_engine()
{
    const auto engine = engine_address();
    if (engine && !m_position.stream.empty() && safeguards::is_on(safeguard::engine_cancel)) {
        cancel_stream(m_resources.own, *engine, m_position.stream);
    }
}

} // namespace cicadaport::entry
