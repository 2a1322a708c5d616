// What the choice of an engine rests on, beside the configuration.
#pragma once

#include "cicadaport/admission/account_limits.h"
#include "cicadaport/base/rcu.h"
#include "cicadaport/entry/offered_work.h"
#include "cicadaport/routing/estimate.h"
#include "cicadaport/routing/placement.h"
#include "cicadaport/settings/process_settings.h"

#include <array>
#include <atomic>

namespace cicadaport::entry {

// One per entry process; it must outlive all requests.
//
// Thread safety: each member as it says itself; the loads are replaced as a
// whole and read by read-copy-update.
struct decision_state {
    explicit decision_state(settings::placement_policy with_policy)
        : policy{with_policy}, loads{std::make_unique<routing::load_snapshot>()}
    {
    }

    // Blocks in the prefix index; 16 bytes each.
    static constexpr std::size_t indexed_blocks = 1 << 18;

    settings::placement_policy policy;
    base::published<routing::load_snapshot> loads;
    routing::prefix_index prefixes{indexed_blocks};
    routing::output_estimator outputs;
    admission::account_limits limits;
    // What callers ask for, whatever becomes of it.
    offered_counter offered;
    // Seconds of engine time in flight from this process, by rank, in
    // microseconds. Entry processes behind one balancer see the same mix.
    std::array<std::atomic<std::int64_t>, admission::max_ranks> work_in_flight{};
    // How many entry processes share the accounts' limits, this one included.
    std::atomic<std::size_t> entry_processes{1};

    // Returns the part of the work in flight that is as urgent as `rank` or
    // more; 1 while there is none.
    double part_ahead(std::uint32_t rank) const noexcept;
};

} // namespace cicadaport::entry
