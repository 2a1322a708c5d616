// The state that engine choices are based on, besides the configuration.
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
// Thread safety: see each member's type; `loads` is replaced as a whole and read by
// read-copy-update.
struct decision_state {
    explicit decision_state(settings::placement_policy with_policy)
        : policy{with_policy}, loads{std::make_unique<routing::load_snapshot>()}
    {
    }

    // Maximum number of blocks in the prefix index, which takes 16 bytes for each.
    static constexpr std::size_t max_indexed_blocks = 1 << 18;

    settings::placement_policy policy;
    base::published<routing::load_snapshot> loads;
    routing::prefix_index prefixes{max_indexed_blocks};
    routing::output_estimator outputs;
    admission::account_limits limits;
    // The work that clients request, rejected requests included.
    offered_counter offered;
    // Engine time of this process's requests in flight by priority rank, in
    // microseconds. It stands for the mix of the whole fleet, because all entry
    // processes behind one load balancer receive the same mix.
    std::array<std::atomic<std::int64_t>, admission::max_ranks> work_in_flight{};
    // The number of entry processes that share the account limits, including this
    // one.
    std::atomic<std::size_t> entry_processes{1};

    // Returns the fraction of the work in flight whose rank is `rank` or more
    // urgent; 1 if no work is in flight.
    double fraction_ahead(std::uint32_t rank) const noexcept;
};

} // namespace cicadaport::entry
