// Continues interrupted streams.
#include "cicadaport/serving/exchange.h"

#include "internal/exchange_constants.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {

void exchange::find_origin()
{
    m_host.origins.find(m_route->shares, begun_as(),
                        [weak = weak_from_this()](std::optional<origin_id> origin) {
                            const auto self = weak.lock();
                            if (self != nullptr && self->m_caller != nullptr) {
                                self->resume_at(origin);
                            }
                        });
}

void exchange::resume_at(std::optional<origin_id> origin)
{
    if (!origin) {
        reject(retry_after_no_endpoint, "the version that began the stream is not known");
        return;
    }
    m_origin = origin;
    for (const auto& share : m_route->shares) {
        const auto& replicas = m_host.endpoints.serving(share.service);
        if (std::any_of(replicas.begin(), replicas.end(), [&](const endpoint_pointer& each) {
                return origin_of(each->report) == *origin;
            })) {
            m_service = share.service;
            place();
            return;
        }
    }
    reject(retry_after_no_endpoint, "no replica of the version that began the stream");
}

void exchange::exclude_other_versions()
{
    m_other_versions.clear();
    if (!m_route->resumable) {
        return;
    }
    const auto& replicas = m_host.endpoints.serving(m_service);
    if (!m_origin) {
        m_other_versions = m_host.origins.replicas_that_begin_no_streams(replicas);
        return;
    }
    for (const auto& each : replicas) {
        if (origin_of(each->report) != *m_origin) {
            m_other_versions.insert(each->report.id);
        }
    }
}

bool exchange::can_continue_elsewhere() const
{
    const auto& replicas = m_host.endpoints.serving(m_service);
    return std::any_of(replicas.begin(), replicas.end(), [this](const endpoint_pointer& each) {
        return each->report.id != m_endpoint->report.id && !m_excluded.contains(each->report.id) &&
               each->report.stage != engine_stage::prefill &&
               (!m_origin || origin_of(each->report) == *m_origin) &&
               m_host.accepts_request(*each, m_route->has_prompt);
    });
}

void exchange::record_origin()
{
    if (m_step == step::relaying) {
        // The other host records it.
        return;
    }
    if (!m_origin) {
        m_origin = origin_of(m_endpoint->report);
    }
    if (m_route->resumable) {
        m_host.origins.record_begin(m_route->shares, begun_as(), m_endpoint->report);
    }
}

void exchange::log_continuation(const endpoint& to) const
{
    const auto now = m_host.timers.now();
    const auto after = m_events.last_event_id();
    const bool by_caller = !after && m_route->resumable && m_metadata.last_event_id;
    if ((!after && !by_caller) || !m_host.resumption_log_budget.try_acquire(now)) {
        return;
    }
    spdlog::info("stream_continued id={} route={} requested_by={} begun_as={} begun_origin={:x} "
                 "after_event={} endpoint={} incarnation={} version={} origin={:x} passed_over={} "
                 "{}",
                 m_metadata.id, m_route->name, by_caller ? "caller" : "this_host", begun_as(),
                 m_origin.value_or(0), after ? *after : *m_metadata.last_event_id, to.report.id,
                 to.report.incarnation, to.report.version, origin_of(to.report),
                 m_host.resumption_log_budget.take_suppressed_count(),
                 to_fields(m_host.endpoints_position, now));
}

} // namespace cicadaport::serving
