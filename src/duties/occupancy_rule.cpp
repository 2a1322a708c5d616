#include "cicadaport/duties/occupancy_rule.h"

#include <algorithm>
#include <cmath>

namespace cicadaport::duties {

std::vector<scaling_order> occupancy_rule::decide(const scaling_view& view, time_point now)
{
    if (!view.knows_demand || view.zones.empty() || now - m_last_change < hold_time) {
        return {};
    }
    std::uint32_t serving = 0;
    for (const auto& each : view.zones) {
        serving += each.of(replica_kind::ordinary).serving;
    }
    const auto demand = view.prefill_demand + view.decode_demand;
    if (demand <= 0) {
        return {};
    }
    if (!m_first_demand) {
        m_first_demand = now;
    }
    if (now - *m_first_demand < hold_time) {
        return {};
    }
    const auto occupancy = demand / std::max(serving, 1U);
    if (occupancy >= low_occupancy && occupancy <= high_occupancy) {
        return {};
    }
    m_last_change = now;
    const auto zones = static_cast<std::uint32_t>(view.zones.size());
    const auto total = static_cast<std::uint32_t>(std::ceil(demand / target_occupancy));
    const auto desired =
        std::clamp((total + zones - 1) / zones, view.terms.min_replicas, view.terms.max_replicas);
    std::vector<scaling_order> out;
    for (const auto& each : view.zones) {
        if (each.of(replica_kind::ordinary).serving != desired) {
            out.push_back({each.name, replica_kind::ordinary, desired});
        }
    }
    return out;
}

void occupancy_rule::record_outcome(const scaling_order& /*order*/, order_outcome /*outcome*/,
                                    time_point /*now*/)
{
}

} // namespace cicadaport::duties
