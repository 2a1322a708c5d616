#include "cicadaport/serving/liveness_checker.h"

#include "cicadaport/serving/host_state.h"
#include "cicadaport/serving/single_call.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {

void liveness_checker::check(const endpoint& which, std::function<void(bool)> on_end)
{
    const auto& id = which.report.id;
    auto& waiting = m_waiting[id];
    waiting.push_back(std::move(on_end));
    if (waiting.size() > 1) {
        return;
    }
    m_host.limits.count_call(id);
    const auto asked_at = m_host.timers.now();
    call_once(m_host, which.report.address, m_host.wire.status_request(which.report), timeout,
              [this, id, asked_at](const std::optional<call_response>& response) {
                  constexpr unsigned status_ok = 200;
                  const bool is_reset = !response && m_host.timers.now() - asked_at < timeout;
                  end(id, is_reset || (response && response->status == status_ok));
              });
}

void liveness_checker::end(const std::string& id, bool is_alive)
{
    const auto found = m_waiting.find(id);
    const auto waiting = std::move(found->second);
    m_waiting.erase(found);
    if (m_host.response_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::info("endpoint_liveness id={} alive={} streams={} passed_over={}", id, is_alive,
                     waiting.size(), m_host.response_log_budget.take_suppressed_count());
    }
    for (const auto& each : waiting) {
        each(is_alive);
    }
}

} // namespace cicadaport::serving
