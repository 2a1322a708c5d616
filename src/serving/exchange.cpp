#include "cicadaport/serving/exchange.h"

#include "cicadaport/telemetry/exception_log.h"
#include "internal/exchange_constants.h"
#include "internal/silent_run.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

using transport::exchange_failure;

// Unsent bytes to a slow caller above which reading from the endpoint pauses.
constexpr std::size_t max_unsent_bytes = 128 * 1024;

// Larger answers, and larger events of a stream, are aborted.
constexpr std::size_t max_answer_bytes = 8 * 1024 * 1024;
constexpr std::size_t max_event_bytes = 1024 * 1024;

} // namespace

exchange::exchange(host_state& host, caller_port& caller, transport::message_head head,
                   std::string body, bool is_relayed)
    : m_host{host}, m_caller{&caller}, m_head{std::move(head)}, m_body{std::move(body)},
      m_memory{host.memory, *this}, m_arrived{host.timers.now()}, m_is_relayed{is_relayed}
{
}

exchange::~exchange() = default;

void exchange::start()
{
    m_self = shared_from_this();
    update_memory();
    guard([this] {
        if (find_route() && admit_to_stopping_host()) {
            m_deadline_timer =
                m_host.timers.call_at(m_deadline + deadline_grace, [this] { handle_deadline(); });
            place();
        }
    });
}

void exchange::end_after_exception()
{
    telemetry::log_exception("request");
    if (m_caller == nullptr) {
        return;
    }
    release_silent_run();
    release_endpoint();
    fail(status_bad_gateway, "the host could not handle the request");
}

void exchange::cancel(const segment_verdict& verdict)
{
    const auto keep = shared_from_this();
    ++m_host.counts.quarantined;
    spdlog::info("request_cancelled id={} endpoint={} segment={:x} crashes={} running_ms={:.0f}",
                 m_metadata.id, m_endpoint->report.id, verdict.segment, verdict.crashes,
                 fractional_milliseconds{m_host.timers.now() - m_sent}.count());
    fail(status_bad_gateway, "replicas crash on this request");
}

void exchange::record_survival()
{
    if (m_run_survived) {
        return;
    }
    m_run_survived = true;
    if (m_route->has_prompt) {
        m_host.crashes.handle_answer(m_shared_segments, m_metadata.id);
    }
    // Survivals of whole requests are recorded only while they are suspected: few come again.
    if (m_host.crashes.has_suspects() && m_host.crashes.is_suspect(suspects().back())) {
        m_host.crashes.handle_answer(suspects().last(1), m_metadata.id);
    }
}

milliseconds exchange::remaining_time() const
{
    return to_ms(m_deadline - m_host.timers.now());
}

bool exchange::owns(const transport::message_head& head)
{
    const auto metadata = m_host.wire.read_answer(head);
    return metadata.request_id ? *metadata.request_id == m_metadata.id : !is_success(head.status);
}

void exchange::on_head(transport::message_head head)
{
    m_answer_metadata = m_host.wire.read_answer(head);
    m_answer_confirmed = m_answer_metadata.request_id || m_connection->is_first_exchange();
    m_answer = std::move(head);
    if (m_step == step::relaying) {
        return;
    }
    m_host.paths.note_answer();
    m_host.apply_response_terms(*m_endpoint, m_route->has_prompt, m_answer->status,
                                m_answer_metadata, m_metadata.id, m_sent);
}

void exchange::on_body(std::string_view piece)
{
    const auto keep = shared_from_this();
    const bool forwarded = m_step != step::prefilling && m_route->streamed && is_genuine_success();
    if (!forwarded) {
        m_answer_body += piece;
        update_memory();
        enforce_answer_limit(m_answer_body.size(), max_answer_bytes);
        return;
    }
    if (m_silent_run != nullptr) {
        // Two replicas must not work on the stream.
        release_silent_run();
        m_silence_start = m_host.timers.now();
        start_silence_timeout();
    }
    m_events.feed(piece);
    forward_events();
    update_memory();
    enforce_answer_limit(m_events.pending_bytes(), max_event_bytes);
}

bool exchange::is_genuine_success() const
{
    const auto status = m_answer->status;
    return is_success(status) && m_answer_metadata.is_signed && !m_answer_metadata.is_encoded &&
           (!m_answer_started || status == m_begun_status);
}

void exchange::forward_events()
{
    const auto events = m_events.take_complete();
    if (events.empty()) {
        return;
    }
    if (m_run_first_event == time_point{}) {
        m_answer_timer.cancel();
        double time_ratio = 0;
        if (!m_answer_started && m_route->has_prompt && !m_kv_cache) {
            const auto now = m_host.timers.now();
            time_ratio = m_host.engines.observed_time_ratio(
                m_endpoint->report.id, m_plan.prefill_latency, now - m_sent, now);
        }
        end_prefill(time_ratio);
    }
    if (!m_answer_started) {
        m_answer_started = true;
        m_begun_status = m_answer->status;
        const bool is_late = m_host.timers.now() - m_arrived > m_route->latency_objective;
        m_host.counts.late += m_route->has_prompt && is_late ? 1 : 0;
        m_caller->begin(m_begun_status, m_answer->fields);
    }
    record_event();
    record_kv_transfer();
    if (m_route->resumable && !m_answer_timer.is_set()) {
        start_silence_timeout();
    }
    m_caller->write(events);
    if (m_caller != nullptr && m_caller->unsent() > max_unsent_bytes) {
        on_caller_blocked();
    }
}

void exchange::record_event()
{
    const auto now = m_host.timers.now();
    auto& engine = m_host.engines.state(m_endpoint->report.id);
    health_of_endpoint().record_activity(now);
    if (m_run_first_event == time_point{}) {
        m_run_first_event = now;
        m_run_first_count = m_events.count();
        m_host.crashes.remove_pending(*this);
    }
    else if (now - m_run_first_event >= answer_beginning_time) {
        record_survival();
    }
    if (m_first_event == time_point{}) {
        m_first_event = now;
        record_origin();
        record_decode_wait();
        if (m_step == step::running) {
            m_host.usage.record_run(m_account, now);
        }
    }
    else {
        m_longest_pause = std::max(m_longest_pause, now - m_last_event);
        engine.pause.record(now - m_last_event, now);
    }
    m_last_event = now;
}

void exchange::record_usage()
{
    // The host that a request is relayed to counts it.
    if (m_account.empty() || m_route->streamed || m_step != step::running) {
        return;
    }
    if (!m_route->has_prompt) {
        if (may_have_run()) {
            m_host.usage.record_run(m_account, m_sent);
        }
    }
    else if (m_served) {
        // An engine begins to run a request with its first token, which is close to the end of an
        // answer that is no stream.
        m_host.usage.record_run(m_account, m_host.timers.now());
    }
}

void exchange::record_decode_wait()
{
    if (m_kv_cache && m_endpoint != nullptr) {
        const auto now = m_host.timers.now();
        m_host.engines.state(m_endpoint->report.id).decode_start_delay.record(now - m_sent, now);
    }
}

void exchange::record_kv_transfer()
{
    if (m_kv_cache && m_plan.prefill_engine) {
        m_host.engines.state(m_plan.prefill_engine->report.id)
            .kv_transfer_health.record_success(m_host.timers.now());
    }
    m_kv_cache.reset();
}

void exchange::log_end(std::string_view result, std::string_view reason) const
{
    if (!spdlog::should_log(spdlog::level::debug)) {
        return;
    }
    const auto ms = [](clock::duration time) { return fractional_milliseconds{time}.count(); };
    const auto first = m_first_event == time_point{} ? time_point{m_arrived} : m_first_event;
    spdlog::debug(
        "request_ended id={} route={} version={} result={} reason=\"{}\" attempts={} "
        "endpoint={} reader={} tokens={} urgency={} predicted_ms={:.1f} first_event_ms={:.1f} "
        "longest_pause_ms={:.1f} total_ms={:.1f} events={}",
        m_metadata.id, m_route != nullptr ? m_route->name : "",
        m_deployment != nullptr ? m_deployment->version() : 0, result, reason, m_attempts,
        m_endpoint ? m_endpoint->report.id : "",
        m_plan.prefill_engine ? m_plan.prefill_engine->report.id : "", m_metadata.prompt_tokens,
        m_plan.urgency, m_plan.first_event.count(), ms(first - m_arrived), ms(m_longest_pause),
        ms(m_host.timers.now() - m_arrived), m_events.count());
}

void exchange::log_cut_by_stop(const connection_progress& connection) const
{
    const auto now = m_host.timers.now();
    if (!m_host.stop_log_budget.try_acquire(now)) {
        return;
    }
    const auto stop = m_host.stop ? m_host.stop->requested_at() : now;
    const auto ms = [](clock::duration time) { return to_ms(time).count(); };
    spdlog::info("request_cut_by_stop id={} route={} received_ms={} accepted_ms={} "
                 "request_of_connection={} endpoint={} attempts={} events={} time_left_ms={} "
                 "passed_over={}",
                 m_metadata.id, m_route != nullptr ? m_route->name : "", ms(m_arrived - stop),
                 ms(connection.accepted - stop), connection.request_count,
                 m_endpoint ? m_endpoint->report.id : "", m_attempts, m_events.count(),
                 ms(m_deadline - now), m_host.stop_log_budget.take_suppressed_count());
}

void exchange::end_for_stop(const connection_progress& connection)
{
    const auto keep = shared_from_this();
    log_cut_by_stop(connection);
    give_up(retry_after_stop, "the host is stopping");
}

void exchange::on_complete()
{
    const auto keep = shared_from_this();
    guard([this] { handle_answer(); });
}

void exchange::handle_answer()
{
    m_host.crashes.remove_pending(*this);
    m_answer_timer.cancel();
    m_answered_at.insert(m_address);
    if (m_answer_confirmed) {
        m_host.connections.give_back(m_address, std::exchange(m_connection, nullptr));
    }
    else {
        // The request's own answer may still arrive on this connection.
        std::exchange(m_connection, nullptr)->abandon();
    }
    if (m_step == step::prefilling) {
        handle_prefill_answer();
    }
    else if (m_step == step::relaying) {
        handle_relay_answer();
    }
    else {
        handle_run_answer();
    }
}

void exchange::handle_prefill_answer()
{
    const auto now = m_host.timers.now();
    const fractional_milliseconds observed = now - m_sent;
    if (!is_success(m_answer->status)) {
        handle_prefill_failure();
        return;
    }
    auto handle = m_host.wire.read_kv_handle(m_answer_body);
    if (!handle) {
        handle_prefill_failure();
        return;
    }
    spdlog::debug(
        "prompt_read id={} engine={} tokens={:.0f} pairs_millions={:.1f} fetching_ms={:.1f} "
        "wait_ms={:.1f} predicted_ms={:.1f} observed_ms={:.1f}",
        m_metadata.id, m_endpoint->report.id, m_plan.prefilled_tokens, m_plan.prefilled_pairs / 1e6,
        m_plan.prefix_transfer_time.count(), (m_plan.prefill_latency - m_plan.prefill_time).count(),
        m_plan.prefill_latency.count(), observed.count());
    auto& state = m_host.engines.state(m_endpoint->report.id);
    state.health.record_success(now);
    end_prefill(m_host.engines.learn_prefill_time(m_endpoint->report.id, m_plan, observed, now));
    m_kv_cache = prompt_kv_cache{m_address, std::move(*handle)};
    if (reject_if_quarantined()) {
        return;
    }
    // Other streams have begun during the prefill, so the decode engine is chosen again. Otherwise
    // all hosts would choose the same engine until the first of these prefills ends.
    place();
}

void exchange::handle_run_answer()
{
    const auto now = m_host.timers.now();
    const auto status = m_answer->status;
    const bool genuine = !is_success(status) || is_genuine_success();
    auto& health = health_of_endpoint();
    if (!m_answer_confirmed) {
        handle_run_failure();
        return;
    }
    if (!is_success(status) && (m_answer_metadata.states_not_run || status == status_misdirected)) {
        handle_run_rejection();
        return;
    }
    if (!genuine) {
        health.record_failure(now);
        handle_run_failure();
        return;
    }
    if (is_success(status) && m_route->streamed && m_events.is_inside_event()) {
        // The engine broke the stream off.
        on_failure(exchange_failure::cut_short);
        return;
    }
    if (is_success(status)) {
        health.record_success(now);
        record_survival();
        record_kv_transfer();
        m_served = true;
        log_end("answered", "");
        ++m_host.counts.answered;
        if (m_route->streamed) {
            m_host.events.learn(m_route->name, m_events.count());
        }
        if (!m_answer_started) {
            // Also a stream without events, whose status may allow no body.
            m_caller->answer(status, m_answer->fields, m_answer_body);
        }
        else if (m_caller != nullptr) {
            m_caller->finish();
        }
        finish();
        return;
    }
    if (!m_route->has_prompt) {
        // Whatever the status, the replica has run the request and has not ended.
        record_survival();
    }
    if (status >= 500) {
        health.record_failure(now);
    }
    m_excluded.insert(m_endpoint->report.id);
    const bool may_repeat = m_route->repeats == repeat_rule::any && status >= 500;
    if (may_repeat && !m_answer_started && retry_elsewhere()) {
        return;
    }
    if (m_answer_started) {
        fail(status_bad_gateway, "the stream could not be continued");
        return;
    }
    if (promises_not_run(status)) {
        // The endpoint has not stated that the request did not run, so the status, which
        // would tell the caller so, is not forwarded.
        fail(status_bad_gateway, "the replica failed");
        return;
    }
    ++m_host.counts.failed;
    m_caller->answer(status, m_answer->fields, m_answer_body);
    finish();
}

void exchange::on_caller_disconnected()
{
    if (m_caller == nullptr) {
        return;
    }
    ++m_host.counts.client_disconnects;
    log_end("caller_left", "");
    if (m_step == step::running && m_first_event == time_point{}) {
        record_decode_wait();
    }
    m_caller = nullptr;
    finish();
}

void exchange::on_caller_blocked()
{
    m_caller_was_blocked = true;
    if (m_connection != nullptr) {
        m_connection->pause_reading();
    }
}

void exchange::on_caller_drained()
{
    if (m_connection != nullptr) {
        m_connection->resume_reading();
    }
}

void exchange::reject(milliseconds pause, std::string_view reason)
{
    if (m_answer_started || may_have_run()) {
        fail(status_bad_gateway, reason);
        return;
    }
    ++m_host.counts.refused;
    log_end("refused", reason);
    // Random jitter: callers rejected at the same time retry between one and two pauses
    // later.
    const auto spread =
        pause +
        milliseconds{std::uniform_int_distribution<std::int64_t>{0, pause.count()}(m_host.random)};
    http::field_list fields;
    const auto again = m_host.wire.make_retry_after_field(spread);
    fields.add(again.name, again.value);
    const auto identity = m_host.wire.make_request_id_field(m_metadata.id);
    fields.add(identity.name, identity.value);
    m_caller->answer(status_unavailable, fields, reason);
    finish();
}

void exchange::fail(unsigned status, std::string_view reason)
{
    if (m_silent_run != nullptr) {
        return_to_silent_run();
        return;
    }
    if (m_answer_started) {
        ++m_host.counts.cut;
        m_caller->cut();
    }
    else {
        ++m_host.counts.failed;
        http::field_list fields;
        if (!m_metadata.id.empty()) {
            const auto identity = m_host.wire.make_request_id_field(m_metadata.id);
            fields.add(identity.name, identity.value);
        }
        if (status == status_unauthorized) {
            fields.add("WWW-Authenticate", "Bearer");
        }
        m_caller->answer(status, fields, reason);
    }
    log_end(fmt::format("failed_{}", status), reason);
    finish();
}

void exchange::finish()
{
    const auto keep = std::exchange(m_self, nullptr);
    m_caller = nullptr;
    m_deadline_timer.cancel();
    if (m_route != nullptr) {
        record_usage();
        release_silent_run();
        if (m_route->has_prompt) {
            m_host.sizes.record_outcome(m_route->name, m_size, m_served);
        }
        release_endpoint();
        end_prefill();
        release_held_kv_cache();
    }
}

} // namespace cicadaport::serving
