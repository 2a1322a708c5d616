// Handles attempts that fail, time out or are rejected.
#include "cicadaport/serving/exchange.h"

#include "cicadaport/serving/single_call.h"
#include "internal/exchange_constants.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

using transport::exchange_failure;

// Endpoints that may fail to connect before a request is rejected.
constexpr std::uint32_t max_connect_attempts = 6;
constexpr std::size_t max_logged_segments = 16;

// Returns the ids of the prompt's segments in hexadecimal, separated by commas.
std::string to_text(const std::vector<prompt_segment>& prompt)
{
    std::string out;
    for (std::size_t index = 0; index < prompt.size() && index < max_logged_segments; ++index) {
        fmt::format_to(std::back_inserter(out), "{}{:x}", index > 0 ? "," : "", prompt[index].id);
    }
    return out;
}

// Returns whether more of the `held` bytes were received from the endpoint than from the caller.
bool is_mostly_answer(std::size_t held, std::size_t request) noexcept
{
    return held > 2 * request;
}

} // namespace

void exchange::handle_prefill_failure()
{
    end_prefill();
    m_host.engines.state(m_endpoint->report.id).health.record_failure(m_host.timers.now());
    m_excluded.insert(m_endpoint->report.id);
    // A prefill counts as an attempt unless it succeeds. The request itself has not been
    // sent to be run.
    ++m_attempts;
    if (!m_host.crashes.may_retry_after_crash(suspects()) || !retry_elsewhere()) {
        reject(retry_after_overload, "the engine read no prompt");
    }
}

void exchange::handle_run_rejection()
{
    const auto now = m_host.timers.now();
    m_attempt_may_have_run = false;
    end_prefill();
    m_excluded.insert(m_endpoint->report.id);
    if (m_route->has_prompt) {
        m_host.engines.state(m_endpoint->report.id).health.record_failure(now);
    }
    if (m_kv_cache && m_plan.prefill_engine) {
        // Either the decode engine accepts no work, or the KV transfer failed.
        auto& memory = m_host.engines.state(m_plan.prefill_engine->report.id).kv_transfer_health;
        memory.record_failure(now);
        if (memory.is_ejected(now)) {
            release_held_kv_cache();
        }
    }
    if (retry_elsewhere()) {
        return;
    }
    if (m_answer_started) {
        fail(status_bad_gateway, "the stream could not be continued");
    }
    else {
        reject(retry_after_overload, "the replica took no request");
    }
}

void exchange::handle_run_failure()
{
    end_prefill();
    release_held_kv_cache();
    m_excluded.insert(m_endpoint->report.id);
    if (m_route->repeats == repeat_rule::any && m_host.crashes.may_retry_after_crash(suspects()) &&
        retry_elsewhere()) {
        return;
    }
    fail(status_bad_gateway, "the replica gave no whole answer");
}

endpoint_health& exchange::health_of_endpoint()
{
    return m_host.health_of(*m_endpoint, m_route->has_prompt);
}

milliseconds exchange::retry_after_without_replica() const
{
    const auto first = m_host.earliest_acceptance_time(m_service);
    return first ? std::max(std::chrono::duration_cast<milliseconds>(*first - m_host.timers.now()),
                            retry_after_no_endpoint)
                 : retry_after_no_endpoint;
}

void exchange::report_interrupted_answer()
{
    const bool is_beginning = m_run_first_event == time_point{} ||
                              m_host.timers.now() - m_run_first_event < answer_beginning_time;
    // A replica that was announced to leave ends without a fault of its prompts. When a zone's
    // reclaimable replicas end at once, their prompts' common segments would seem to crash them.
    const bool is_suspicious = is_beginning && !m_run_survived && !m_endpoint->gone;
    const auto suspected = is_suspicious ? suspects() : std::span<const segment_id>{};
    m_host.crashes.handle_interrupted_answer(*m_endpoint, suspected, m_metadata.id);
}

void exchange::log_interrupted_run(exchange_failure failure)
{
    const auto now = m_host.timers.now();
    if (!m_host.response_log_budget.try_acquire(now)) {
        return;
    }
    spdlog::info("run_interrupted id={} route={} endpoint={} incarnation={} attempt={} "
                 "failure={} running_ms={:.0f} events={} prompt={} digest={:x} passed_over={}",
                 m_metadata.id, m_route->name, m_endpoint->report.id,
                 m_endpoint->report.incarnation, m_attempts, to_text(failure),
                 fractional_milliseconds{now - m_sent}.count(), m_events.count(),
                 to_text(m_metadata.prompt), suspects().back(),
                 m_host.response_log_budget.take_suppressed_count());
}

void exchange::log_unreached(time_point now) const
{
    if (m_host.reachability_log_budget.try_acquire(now)) {
        spdlog::info("endpoint_unreached id={} request={} waited_ms={:.0f} connect_attempts={} "
                     "passed_over={}",
                     m_endpoint->report.id, m_metadata.id,
                     fractional_milliseconds{now - m_sent}.count(), m_connect_attempts + 1,
                     m_host.reachability_log_budget.take_suppressed_count());
    }
}

bool exchange::try_acquire_attempt()
{
    if (m_attempts >= max_attempts() || remaining_time() < min_useful_time ||
        !m_host.budget.try_acquire(m_service, m_host.timers.now())) {
        return false;
    }
    ++m_host.counts.retries;
    return true;
}

bool exchange::retry_elsewhere()
{
    if (!try_acquire_attempt()) {
        return false;
    }
    release_endpoint();
    place();
    return true;
}

void exchange::on_failure(exchange_failure failure)
{
    const auto keep = shared_from_this();
    guard([this, failure] { handle_failure(failure); });
}

void exchange::handle_failure(exchange_failure failure)
{
    m_answer_timer.cancel();
    m_host.crashes.remove_pending(*this);
    m_connection.reset();
    if (m_step == step::relaying) {
        handle_relay_failure(failure);
        return;
    }
    const auto now = m_host.timers.now();
    auto& health = health_of_endpoint();
    if (failure == exchange_failure::not_sent) {
        log_unreached(now);
        m_host.paths.note_unreached();
        health.record_unreachable(now);
        end_prefill();
        m_excluded.insert(m_endpoint->report.id);
        if (m_step == step::running) {
            --m_attempts;
            m_attempt_may_have_run = m_answer_started;
        }
        else {
            m_kv_transfer_attempted = false;
        }
        if (++m_connect_attempts < max_connect_attempts) {
            release_endpoint();
            place();
        }
        else {
            reject(retry_after_no_endpoint, "no replica could be reached");
        }
        return;
    }
    health.record_failure(now);
    log_interrupted_run(failure);
    report_interrupted_answer();
    if (m_step == step::prefilling) {
        handle_prefill_failure();
    }
    else {
        handle_run_failure();
    }
}

void exchange::start_answer_timeout(fractional_milliseconds time)
{
    const auto limit = std::chrono::duration_cast<clock::duration>(time);
    m_answer_timer = m_host.timers.call_at(m_host.timers.now() + limit, [this, limit] {
        auto& health = health_of_endpoint();
        const auto now = m_host.timers.now();
        if (m_route->has_prompt && health.has_answered_since(now - limit)) {
            // The engine has answered other requests in this time, so this one is still
            // queued there.
            start_answer_timeout(fractional_milliseconds{limit});
            return;
        }
        health.record_failure(now);
        m_host.paths.note_silence();
        handle_answer_timeout();
    });
}

void exchange::handle_answer_timeout()
{
    if (m_step == step::prefilling) {
        // Giving up an engine that has not answered counts as an attempt, so a second one
        // must be left for the run itself.
        if (m_attempts + 1 < max_attempts() && try_acquire_attempt()) {
            ++m_attempts;
            m_excluded.insert(m_endpoint->report.id);
            release_endpoint();
            end_prefill();
            place();
        }
        return;
    }
    const bool may_repeat = m_route->repeats == repeat_rule::any;
    if (m_answer_started) {
        if (!m_answer && m_silent_run == nullptr) {
            continue_elsewhere();
        }
        return;
    }
    if (may_repeat && !m_answer) {
        m_excluded.insert(m_endpoint->report.id);
        if (try_acquire_attempt()) {
            release_endpoint();
            end_prefill();
            release_held_kv_cache();
            place();
        }
    }
}

void exchange::handle_deadline()
{
    give_up(retry_after_overload, "out of time");
}

void exchange::give_up(milliseconds pause, std::string_view reason)
{
    release_silent_run();
    release_endpoint();
    if (m_answer_started || may_have_run()) {
        fail(status_timeout, reason);
    }
    else {
        reject(pause, reason);
    }
}

void exchange::end_run_work(const endpoint& at, std::uint64_t decode_work,
                            fractional_milliseconds event_interval)
{
    if (decode_work != 0) {
        m_host.end_work(decode_work, event_interval.count());
    }
    if (!m_route->has_prompt) {
        auto& in_flight = m_host.replicas.state(at.report.id).in_flight;
        in_flight -= in_flight > 0 ? 1 : 0;
    }
}

void exchange::release_endpoint()
{
    m_answer_timer.cancel();
    if (m_step == step::running) {
        end_run_work(*m_endpoint, std::exchange(m_decode_work, 0), observed_event_interval());
    }
    m_step = step::idle;
    m_host.crashes.remove_pending(*this);
    if (m_connection != nullptr) {
        std::exchange(m_connection, nullptr)->abandon();
    }
}

void exchange::release_held_kv_cache()
{
    if (!m_kv_cache) {
        return;
    }
    const auto prompt = *std::exchange(m_kv_cache, std::nullopt);
    const auto& prefill_engine = m_plan.prefill_engine;
    if (prefill_engine != nullptr && !m_host.accepts_request(*prefill_engine, true)) {
        spdlog::debug("prompt_not_released engine={} reason=\"engine accepts no requests\"",
                      prefill_engine->report.id);
        return;
    }
    if (prefill_engine != nullptr) {
        m_host.limits.count_call(prefill_engine->report.id);
    }
    release_kv_cache(m_host, prompt);
}

void exchange::update_memory()
{
    m_memory.resize(request_bytes() + m_answer_body.capacity() + m_events.pending_bytes());
}

std::string exchange::memory_fields() const
{
    return fmt::format("holder={} id={} endpoint={}",
                       is_mostly_answer(m_memory.bytes(), request_bytes()) ? "answer" : "request",
                       m_metadata.id, m_endpoint != nullptr ? m_endpoint->report.id : "");
}

void exchange::release_memory()
{
    const auto keep = shared_from_this();
    if (m_connection != nullptr && m_caller != nullptr &&
        is_mostly_answer(m_memory.bytes(), request_bytes())) {
        m_answer_body.clear();
        m_answer_body.shrink_to_fit();
        m_events.restart();
        update_memory();
        m_connection->abandon();
        on_failure(exchange_failure::cut_short);
        return;
    }
    if (m_caller != nullptr) {
        give_up(retry_after_overload, "the host has no memory for the request");
    }
    if (m_caller == nullptr) {
        // A request that goes on at a silent replica may need its head and its body again.
        m_head = {};
        m_body.clear();
        m_body.shrink_to_fit();
        update_memory();
    }
}

void exchange::enforce_answer_limit(std::size_t bytes, std::size_t max_bytes)
{
    if (m_connection == nullptr || bytes <= max_bytes) {
        return;
    }
    if (m_host.response_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::warn("answer_too_large id={} endpoint={} bytes={} passed_over={}", m_metadata.id,
                     m_endpoint->report.id, bytes,
                     m_host.response_log_budget.take_suppressed_count());
    }
    m_connection->abandon();
    on_failure(exchange_failure::cut_short);
}

} // namespace cicadaport::serving
