#include "cicadaport/serving/replica_paths.h"

#include "cicadaport/serving/endpoint_probe.h"
#include "cicadaport/serving/host_state.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {

void replica_paths::note_unreached()
{
    if (m_pending == 0 && m_host.timers.now() - m_last_round >= probe_interval) {
        probe();
    }
}

void replica_paths::note_silence()
{
    if (m_host.timers.now() - m_last_answer >= answer_time) {
        note_unreached();
    }
}

void replica_paths::note_answer() noexcept
{
    m_last_answer = m_host.timers.now();
}

void replica_paths::probe()
{
    m_next_round.cancel();
    m_last_round = m_host.timers.now();
    std::vector<endpoint_pointer> all;
    for (const auto& [service, replicas] : m_host.endpoints.by_service()) {
        all.insert(all.end(), replicas.begin(), replicas.end());
    }
    std::vector<endpoint_pointer> chosen;
    std::sample(all.begin(), all.end(), std::back_inserter(chosen), probe_count, m_host.random);
    m_pending = chosen.size();
    m_accepted = 0;
    m_probed.clear();
    for (const auto& each : chosen) {
        probe_endpoint(m_host.context, m_host.timers, each->report.address,
                       [this, id = each->report.id](bool accepts) { handle_probe(id, accepts); });
    }
}

void replica_paths::handle_probe(const std::string& endpoint, bool accepts_connections)
{
    m_accepted += accepts_connections ? 1 : 0;
    m_probed += (m_probed.empty() ? "" : ",") + endpoint;
    if (--m_pending > 0) {
        return;
    }
    set_cut_off(m_accepted == 0);
    if (m_is_cut_off) {
        m_next_round =
            m_host.timers.call_at(m_host.timers.now() + probe_interval, [this] { probe(); });
    }
}

void replica_paths::set_cut_off(bool cut_off)
{
    if (m_is_cut_off == cut_off) {
        return;
    }
    m_is_cut_off = cut_off;
    spdlog::log(
        cut_off ? spdlog::level::warn : spdlog::level::info,
        "replica_paths cut_off={} probed={} accepted={} last_answer_ms={} effect=\"{}\"", cut_off,
        m_probed, m_accepted,
        std::chrono::duration_cast<milliseconds>(m_host.timers.now() - m_last_answer).count(),
        cut_off ? "requests are relayed to other hosts" : "requests are sent to replicas");
    if (m_host.gossip != nullptr) {
        m_host.gossip->announce_reachability();
    }
}

} // namespace cicadaport::serving
