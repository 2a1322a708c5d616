// Continues interrupted streams.
#include "cicadaport/serving/exchange.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {

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
                 m_metadata.id, m_route->name, by_caller ? "caller" : "this_host",
                 m_metadata.last_event_id ? m_metadata.resumed_request : m_metadata.id,
                 m_origin.value_or(0), after ? *after : *m_metadata.last_event_id, to.report.id,
                 to.report.incarnation, to.report.version, origin_of(to.report),
                 m_host.resumption_log_budget.take_suppressed_count(),
                 to_fields(m_host.endpoints_position, now));
}

} // namespace cicadaport::serving
