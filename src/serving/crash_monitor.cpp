#include "cicadaport/serving/crash_monitor.h"

#include "cicadaport/serving/digest.h"
#include "cicadaport/serving/endpoint_probe.h"
#include "cicadaport/serving/host_state.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// A request may still be sent on while the evidence against its segments is below this.
constexpr double retry_evidence_limit = 1.5;

// Returns a number that identifies the incarnation of an engine on all hosts.
std::uint64_t incarnation_key(const endpoint_report& engine)
{
    return hash_number(engine_number(engine.id) ^
                       hash_number(static_cast<std::uint64_t>(engine.incarnation)));
}

milliseconds to_ms(clock::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

} // namespace

void crash_monitor::handle_interrupted_answer(const endpoint& engine,
                                              std::span<const segment_id> segments,
                                              const std::string& id)
{
    const auto& report = engine.report;
    const auto [found, added] = m_probes.try_emplace(report.id);
    auto& pending = found->second;
    ++pending.answers;
    for (const auto segment : segments) {
        auto& known = pending.crash.segments;
        if (std::find(known.begin(), known.end(), segment) == known.end()) {
            known.push_back(segment);
        }
    }
    if (!added) {
        return;
    }
    pending.request = id;
    pending.crash.engine = incarnation_key(report);
    pending.crash.at = m_timers.now();
    probe_endpoint(m_context, m_timers, report.address,
                   [this, engine_id = report.id](bool accepts_connections) {
                       handle_probe(engine_id, accepts_connections);
                   });
}

void crash_monitor::handle_probe(const std::string& engine, bool accepts_connections)
{
    const auto node = m_probes.extract(engine);
    const auto& pending = node.mapped();
    if (m_log_budget.try_acquire(m_timers.now())) {
        spdlog::info("endpoint_probed id={} ended={} interrupted_answers={} segments={} "
                     "request={} passed_over={}",
                     engine, !accepts_connections, pending.answers, pending.crash.segments.size(),
                     pending.request, m_log_budget.take_suppressed_count());
    }
    if (!accepts_connections) {
        record_crash(pending.crash, crash_source::own_request, pending.request);
    }
}

void crash_monitor::record_crash(const engine_crash& crash, crash_source source,
                                 const std::string& request)
{
    const auto now = m_timers.now();
    const auto result = m_quarantine.record_crash(crash, now);
    const bool is_own = source == crash_source::own_request;
    engine_crash announced{crash.engine, crash.at, {}};
    bool is_any_quarantined = false;
    for (const auto& each : result.suspected) {
        announced.segments.push_back(each.segment);
        is_any_quarantined = is_any_quarantined || each.quarantined_until;
        if (each.quarantined_until || m_log_budget.try_acquire(now)) {
            spdlog::log(each.quarantined_until ? spdlog::level::warn : spdlog::level::info,
                        "prompt_segment_{} segment={:x} crashes={} engine={:x} age_ms={} for_ms={} "
                        "source={} request={}",
                        each.quarantined_until ? "quarantined" : "suspected", each.segment,
                        each.crashes, crash.engine, to_ms(now - crash.at).count(),
                        each.quarantined_until ? to_ms(*each.quarantined_until - now).count() : 0,
                        is_own ? "own_request" : "other_host", request);
        }
    }
    if (is_own && m_gossip != nullptr && (result.is_new || !announced.segments.empty())) {
        m_gossip->announce_crashes({&announced, 1});
    }
    if (is_any_quarantined) {
        cancel_pending();
    }
    if (!is_own) {
        for (const auto& each : result.contradicted) {
            schedule_contradiction(each);
        }
    }
}

void crash_monitor::cancel_pending()
{
    const auto now = m_timers.now();
    const auto all = m_pending;
    for (auto* const each : all) {
        // Cancelling one request may end others.
        if (!m_pending.contains(each)) {
            continue;
        }
        if (const auto verdict = m_quarantine.find_convicted(each->suspects(), now)) {
            each->cancel(*verdict);
        }
    }
}

void crash_monitor::schedule_contradiction(const segment_survival& survival)
{
    m_contradictions.insert_or_assign(survival.segment, survival);
    if (!m_contradiction.is_set()) {
        const milliseconds delay{std::uniform_int_distribution<std::int64_t>{
            0, max_contradiction_delay.count()}(m_random)};
        m_contradiction = m_timers.call_at(m_timers.now() + delay, [this] { contradict(); });
    }
}

void crash_monitor::contradict()
{
    m_contradiction.cancel();
    std::vector<segment_survival> survivals;
    for (const auto& each : std::exchange(m_contradictions, {})) {
        survivals.push_back(each.second);
    }
    if (m_gossip != nullptr && !survivals.empty()) {
        m_gossip->announce_survivals(survivals);
    }
}

void crash_monitor::handle_answer(std::span<const segment_id> segments, const std::string& id)
{
    const auto now = m_timers.now();
    const auto cleared = m_quarantine.record_survival(segments, now, now);
    if (cleared.empty()) {
        return;
    }
    log_cleared(cleared, "own_request", id);
    if (m_gossip != nullptr) {
        std::vector<segment_survival> survivals;
        survivals.reserve(cleared.size());
        for (const auto& each : cleared) {
            survivals.push_back({each.segment, now});
        }
        m_gossip->announce_survivals(survivals);
    }
}

void crash_monitor::apply_announced_crash(const engine_crash& crash)
{
    record_crash(crash, crash_source::other_host, "");
}

void crash_monitor::apply_announced_survival(const segment_survival& survival)
{
    m_contradictions.erase(survival.segment);
    log_cleared(m_quarantine.record_survival({&survival.segment, 1}, survival.at, m_timers.now()),
                "other_host", "");
}

void crash_monitor::log_cleared(const std::vector<segment_verdict>& cleared,
                                std::string_view source, const std::string& request)
{
    const auto now = m_timers.now();
    for (const auto& each : cleared) {
        if (each.quarantined_until || m_log_budget.try_acquire(now)) {
            spdlog::info("prompt_segment_cleared segment={:x} crashes={} quarantined={} "
                         "last_crash_ms={} source={} request={}",
                         each.segment, each.crashes, each.quarantined_until.has_value(),
                         to_ms(now - each.last_crash).count(), source, request);
        }
    }
}

std::optional<prompt_quarantine::rejection>
crash_monitor::check(std::span<const segment_id> segments, const std::string& id)
{
    const auto now = m_timers.now();
    const auto admission = m_quarantine.admit(segments, now);
    if (admission.rejected) {
        log_rejection(id, admission.rejected->verdict);
        return admission.rejected;
    }
    for (const auto segment : admission.tried) {
        if (m_admission_log_budget.try_acquire(now)) {
            spdlog::info("prompt_segment_tried segment={:x} request={} passed_over={}", segment, id,
                         m_admission_log_budget.take_suppressed_count());
        }
    }
    if (m_gossip != nullptr && !admission.tried.empty()) {
        m_gossip->announce_trials(admission.tried);
    }
    return std::nullopt;
}

void crash_monitor::apply_announced_trial(segment_id segment)
{
    m_quarantine.record_trial(segment, m_timers.now());
}

bool crash_monitor::may_retry_after_crash(std::span<const segment_id> segments) const
{
    return m_quarantine.max_evidence(segments) < retry_evidence_limit;
}

void crash_monitor::log_rejection(const std::string& id, const segment_verdict& verdict)
{
    const auto now = m_timers.now();
    if (m_admission_log_budget.try_acquire(now)) {
        spdlog::info("request_quarantined id={} segment={:x} crashes={} last_crash_ms={} "
                     "passed_over={}",
                     id, verdict.segment, verdict.crashes, to_ms(now - verdict.last_crash).count(),
                     m_admission_log_budget.take_suppressed_count());
    }
}

void crash_monitor::run_housekeeping()
{
    const auto now = m_timers.now();
    m_quarantine.forget_old(now);
    const auto due = m_quarantine.take_due_announcements(now);
    if (m_gossip != nullptr && !due.empty()) {
        m_gossip->announce_crashes(due);
    }
}

} // namespace cicadaport::serving
