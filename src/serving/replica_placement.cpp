#include "cicadaport/serving/placement.h"

#include <limits>

namespace cicadaport::serving {
namespace {

// Cost of a replica that fails all requests, in requests in flight per slot.
constexpr double failure_cost = 4;
constexpr double last_resort_cost = 1'000;

} // namespace

endpoint_pointer replica_placement::choose(const std::vector<endpoint_pointer>& replicas,
                                           std::string_view availability_zone,
                                           const std::set<std::string>& excluded,
                                           std::uint32_t max_in_flight, time_point now,
                                           std::mt19937_64& random)
{
    endpoint_pointer best;
    double best_cost = std::numeric_limits<double>::max();
    for (const auto& each : replicas) {
        const auto& known = m_replicas[each->report.id];
        if (excluded.contains(each->report.id) || known.health.is_backing_off(now)) {
            continue;
        }
        const auto slots = std::max(each->report.slots, 1U);
        // One request of this host per slot costs as much as another zone.
        auto cost = static_cast<double>(known.in_flight) / slots;
        cost += each->report.availability_zone == availability_zone ? 0 : 1;
        const bool avoided = known.health.is_ejected(now) || known.in_flight >= max_in_flight;
        cost += avoided ? last_resort_cost : failure_cost * known.health.failure_fraction();
        cost += std::uniform_real_distribution<double>{0, 0.05}(random);
        if (cost < best_cost) {
            best_cost = cost;
            best = each;
        }
    }
    return best;
}

} // namespace cicadaport::serving
