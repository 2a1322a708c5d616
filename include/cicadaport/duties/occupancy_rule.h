// The usual rule for the number of replicas: more above a threshold of occupancy, fewer below
// another one, all of them ordinary and spread evenly over the zones. Baseline for `scaling_plan`.
//
// Pure: views and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/duties/scaling_view.h"

#include <optional>

namespace cicadaport::duties {

class occupancy_rule {
public:
    static constexpr double high_occupancy = 0.8;
    static constexpr double low_occupancy = 0.5;
    // A step brings occupancy to this value.
    static constexpr double target_occupancy = 0.65;
    // Time between two changes, and from the first demand to the first change.
    static constexpr std::chrono::seconds hold_time{10};

    std::vector<scaling_order> decide(const scaling_view& view, time_point now);
    void record_outcome(const scaling_order& order, order_outcome outcome, time_point now);

private:
    std::optional<time_point> m_first_demand;
    time_point m_last_change{};
};

} // namespace cicadaport::duties
