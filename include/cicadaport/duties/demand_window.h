// The recent demand of a service: its peak and its mean over a sliding window.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/duties/scaling_view.h"

#include <deque>
#include <optional>

namespace cicadaport::duties {

class demand_window {
public:
    // The traffic mix alternates every 14 s; the window holds both halves.
    static constexpr std::chrono::seconds length{30};
    // Nothing is removed for lack of demand before it is known for this time, in which both halves
    // of the mix were seen.
    static constexpr std::chrono::seconds min_known_time{20};
    // Demand below this number of engines counts as none.
    static constexpr double min_demand = 0.25;

    // Records the demand of a moment. While it is not known, the window starts over.
    void record(const scaling_view& view, time_point now);

    // Return whether demand was seen at all, and whether it is known for long
    // enough.
    bool has_demand() const noexcept { return m_first_demand.has_value(); }
    bool is_known(time_point now) const noexcept
    {
        return m_first_demand && now - *m_first_demand >= min_known_time;
    }

    // Returns the highest demand of the last `time`, averaged over a second: what exceeds the
    // capacity for less than that is queued.
    double peak(time_point now, clock::duration time = length) const;
    // Return the highest demand for each stage.
    double prefill_peak() const;
    double decode_peak() const;
    // Returns the demand for which capacity is planned: the recent peak, or the mean demand with
    // a burst of one kind of request, whichever is higher.
    double burst_demand(time_point now) const;

private:
    struct bucket {
        time_point begin{};
        double prefill_peak = 0;
        double decode_peak = 0;
        double prefill_sum = 0;
        double decode_sum = 0;
        std::uint32_t samples = 0;
    };

    std::deque<bucket> m_buckets;
    std::optional<time_point> m_first_demand;
};

} // namespace cicadaport::duties
