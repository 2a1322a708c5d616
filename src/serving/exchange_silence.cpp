// Continues streams elsewhere while their replica is silent.
#include "cicadaport/serving/exchange.h"

#include "internal/silent_run.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// The silence after which a resumable stream is continued on another replica, as a multiple of the
// inter-token latency objective. Callers disconnect after 8 times the objective, or two seconds if
// that is longer.
constexpr int silence_timeout_ratio = 4;
constexpr milliseconds min_silence_timeout{1'300};

} // namespace

milliseconds exchange::max_silence() const
{
    return std::max(silence_timeout_ratio * m_route->pause_objective, min_silence_timeout);
}

void exchange::start_silence_timeout()
{
    const auto silent_since = std::max(m_last_event, m_silence_start);
    m_answer_timer = m_host.timers.call_at(silent_since + max_silence() - liveness_checker::timeout,
                                           [this] { check_silent_replica(); });
}

void exchange::check_silent_replica()
{
    const auto now = m_host.timers.now();
    const auto limit = max_silence() - liveness_checker::timeout;
    // The other host of a relayed stream watches the replica.
    if (m_step == step::relaying || now - m_last_event < limit ||
        health_of_endpoint().was_active_since(now - limit) || !can_continue_elsewhere()) {
        m_silence_start = now - limit / 2;
        start_silence_timeout();
        return;
    }
    if (!m_host.accepts_request(*m_endpoint, m_route->has_prompt)) {
        // It has asked for a pause or is at its limit, and must not be sent a check.
        m_silence_start = now;
        start_silence_timeout();
        return;
    }
    m_host.liveness.check(*m_endpoint, [weak = weak_from_this(), run = m_sent](bool is_alive) {
        const auto self = weak.lock();
        if (self != nullptr && self->m_step == step::running && self->m_sent == run) {
            self->handle_liveness(is_alive);
        }
    });
}

void exchange::handle_liveness(bool is_alive)
{
    const auto now = m_host.timers.now();
    auto& health = health_of_endpoint();
    if (is_alive) {
        health.record_activity(now);
    }
    if (is_alive || now - m_last_event < max_silence() - liveness_checker::timeout) {
        m_silence_start = now;
        start_silence_timeout();
        return;
    }
    health.record_failure(now);
    m_host.paths.note_silence();
    continue_elsewhere();
}

void exchange::continue_elsewhere()
{
    if (can_continue_elsewhere() && try_acquire_attempt()) {
        log_silence("another replica is asked to continue the stream");
        m_excluded.insert(m_endpoint->report.id);
        hold_silent_run();
        place();
        return;
    }
    log_silence("no further attempt is possible now");
    m_silence_start = m_host.timers.now();
    start_silence_timeout();
}

void exchange::hold_silent_run()
{
    run_state run;
    run.connection = std::move(m_connection);
    run.endpoint = m_endpoint;
    run.sent = m_sent;
    run.first_event = m_run_first_event;
    run.survived = m_run_survived;
    run.answer = std::move(m_answer);
    run.answer_metadata = std::move(m_answer_metadata);
    run.answer_confirmed = m_answer_confirmed;
    run.incomplete_event = m_events.take_incomplete();
    run.decode_work = std::exchange(m_decode_work, 0);
    m_answer_timer.cancel();
    m_step = step::idle;
    m_silent_run = std::make_unique<silent_run>(*this, std::move(run));
}

void exchange::return_to_silent_run()
{
    release_endpoint();
    end_prefill();
    auto run = std::exchange(m_silent_run, nullptr)->take();
    m_connection = std::move(run.connection);
    m_endpoint = std::move(run.endpoint);
    m_address = m_endpoint->report.address;
    m_sent = run.sent;
    m_run_first_event = run.first_event;
    m_run_survived = run.survived;
    m_answer = std::move(run.answer);
    m_answer_metadata = std::move(run.answer_metadata);
    m_answer_confirmed = run.answer_confirmed;
    m_events.restart();
    m_events.feed(run.incomplete_event);
    m_decode_work = run.decode_work;
    m_step = step::running;
    m_excluded.erase(m_endpoint->report.id);
    m_connection->set_observer(*this);
    m_connection->resume_reading();
    m_silence_start = m_host.timers.now();
    start_silence_timeout();
    log_silence("the stream stays at its replica");
}

void exchange::release_silent_run()
{
    if (m_silent_run == nullptr) {
        return;
    }
    const auto run = std::exchange(m_silent_run, nullptr)->take();
    end_run_work(*run.endpoint, run.decode_work, fractional_milliseconds{0});
    run.connection->abandon();
}

void exchange::handle_silent_run_failure()
{
    const auto& silent = *m_silent_run->state().endpoint;
    m_host.health_of(silent, m_route->has_prompt).record_failure(m_host.timers.now());
    m_host.crashes.handle_interrupted_answer(silent, {}, m_metadata.id);
    release_silent_run();
    m_silence_start = m_host.timers.now();
    start_silence_timeout();
}

void exchange::log_silence(std::string_view effect) const
{
    const auto now = m_host.timers.now();
    if (m_host.resumption_log_budget.try_acquire(now)) {
        spdlog::info("stream_silent id={} endpoint={} silent_ms={:.0f} attempts={} effect=\"{}\" "
                     "passed_over={}",
                     m_metadata.id, m_endpoint->report.id,
                     fractional_milliseconds{now - m_last_event}.count(), m_attempts, effect,
                     m_host.resumption_log_budget.take_suppressed_count());
    }
}

} // namespace cicadaport::serving
