#include "cicadaport/membership/endpoint_monitor.h"

#include <algorithm>

namespace cicadaport::membership {

std::string_view to_string(condition value) noexcept
{
    switch (value) {
    case condition::leaving:
        return "leaving";
    case condition::down:
        return "down";
    case condition::serving:
    case condition::suspect:
        break;
    }
    return "serving";
}

endpoint_monitor::endpoint_monitor(condition reported, monitor_timing timing)
    : m_timing{timing}, m_leaving{reported == condition::leaving},
      m_down{reported == condition::down}, m_failure_count{m_down ? 1U : 0U}
{
}

void endpoint_monitor::note_probe(bool answered, time_point now)
{
    if (answered) {
        note_answer(now);
    }
    else {
        note_silence(now);
    }
}

void endpoint_monitor::note_answer(time_point now)
{
    if (m_silent_probes > 0 || m_answering_since == time_point{}) {
        m_answering_since = now;
    }
    m_silent_probes = 0;
    if (m_down && now - m_answering_since >= steady_time()) {
        m_down = false;
    }
    if (!m_down && now - m_last_down > m_timing.flap_retention) {
        m_failure_count = 0;
    }
}

void endpoint_monitor::note_silence(time_point now)
{
    if (m_silent_probes == 0) {
        m_silent_since = now;
    }
    ++m_silent_probes;
    const bool long_enough = now - m_silent_since >= m_timing.down_after;
    if (!m_down && long_enough && m_silent_probes >= m_timing.min_silent_probes) {
        m_down = true;
        m_last_down = now;
        ++m_failure_count;
    }
}

void endpoint_monitor::note_listed(listed_state state) noexcept
{
    if (state != listed_state::unknown) {
        m_leaving = state == listed_state::leaving;
    }
}

// The required time doubles with each recent failure of the endpoint.
std::chrono::milliseconds endpoint_monitor::steady_time() const noexcept
{
    constexpr std::uint32_t max_doublings = 16;
    const auto doublings = std::min(m_failure_count > 0 ? m_failure_count - 1 : 0, max_doublings);
    return std::min(m_timing.steady_time * (1U << doublings), m_timing.max_steady_time);
}

condition endpoint_monitor::standing() const noexcept
{
    if (m_leaving) {
        return condition::leaving;
    }
    if (m_down) {
        return condition::down;
    }
    return m_silent_probes > 0 ? condition::suspect : condition::serving;
}

} // namespace cicadaport::membership
