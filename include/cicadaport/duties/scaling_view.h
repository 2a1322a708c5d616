// What decisions on the number of a service's replicas are made from, and the orders that they
// yield.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::duties {

using clock = base::boot_clock;
using time_point = clock::time_point;
using milliseconds = std::chrono::milliseconds;

enum class replica_kind {
    ordinary,
    // Costs a fraction of the price. The platform may reclaim all of one zone at once.
    reclaimable,
};
constexpr std::size_t replica_kind_count = 2;
constexpr std::array<replica_kind, replica_kind_count> replica_kinds{replica_kind::ordinary,
                                                                     replica_kind::reclaimable};

std::string_view to_string(replica_kind kind);

// Limits and prices of a service's replicas; those of a zone hold for both kinds together.
struct scaling_terms {
    std::uint32_t min_replicas = 0;
    std::uint32_t max_replicas = 0;
    // Time from an order until the new replicas serve.
    milliseconds boot_time{0};
    // Price of a reclaimable replica relative to that of an ordinary one; 0 if there are none.
    double reclaimable_price_ratio = 0;
    // Price of one second of an ordinary replica, by zone.
    std::map<std::string, double> zone_prices;
};

// The replicas of one kind in one zone, as the platform lists them. Draining ones do not count:
// they take no requests.
struct replica_counts {
    // Replicas that take requests, and those of them that are in each stage. Both stage counts are
    // zero if the service has no stages.
    std::uint32_t serving = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
};

struct zone_view {
    std::string name;
    std::array<replica_counts, replica_kind_count> replicas{};

    const replica_counts& of(replica_kind kind) const
    {
        return replicas.at(static_cast<std::size_t>(kind));
    }
    replica_counts& of(replica_kind kind) { return replicas.at(static_cast<std::size_t>(kind)); }
};

// One service at one moment. Demand is the number of engines that the work would keep busy.
struct scaling_view {
    scaling_terms terms;
    std::vector<zone_view> zones;
    // False while this host does not hear the others and so sees only a part of the demand.
    bool knows_demand = false;
    double prefill_demand = 0;
    double decode_demand = 0;
    // Requests that have ended since the start of this host, and those of them that were refused
    // for lack of capacity or were late.
    std::uint64_t requests = 0;
    std::uint64_t unserved_requests = 0;
};

// `desired` is the number wanted of this kind in this zone, not a difference.
struct scaling_order {
    std::string zone;
    replica_kind kind = replica_kind::ordinary;
    std::uint32_t desired = 0;

    bool operator==(const scaling_order&) const = default;
};

enum class order_outcome {
    accepted,
    // None of this kind is available in this zone at the moment.
    unavailable,
    // The order was not sent, or its answer was lost.
    unknown,
};

std::string_view to_string(order_outcome outcome);

} // namespace cicadaport::duties
