// Estimates the time that one replica takes relative to a prediction, from observations.
//
// Replicas of one service run at different speeds. Each of them is also slow for a fraction of a
// second now and then, which says nothing about its usual speed. An observation therefore moves
// the estimate in proportion to the time since the last one, and by a bounded step.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <chrono>

namespace cicadaport::balancing {

using clock = base::boot_clock;
using time_point = clock::time_point;
// A duration in milliseconds with fractions.
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

class replica_speed {
public:
    // Time constant of the average. A hiccup of 0.6 s then has a weight of at most 0.14.
    static constexpr std::chrono::milliseconds time_constant{4'000};
    // The first observations are averaged with equal weights, up to this number.
    static constexpr double initial_count = 8;
    // Bound of the step toward one observation, relative to the estimate.
    static constexpr double max_relative_step = 0.5;
    // Time after the last observation in which the confidence in the estimate halves, so that a
    // replica that was avoided is tried again.
    static constexpr std::chrono::seconds confidence_half_life{20};

    // Weight of an observation in the short-term average, and the time constant with which this
    // average loses its effect.
    static constexpr double recent_weight = 0.2;
    static constexpr std::chrono::milliseconds recent_time_constant{1'000};

    // Adds an observed value, which must be positive.
    void record(double value, time_point now) noexcept;

    // Returns the estimate; 0 before the first observation.
    double value() const noexcept { return m_value; }

    // Returns the average absolute deviation of the observations from the estimate, relative to it.
    double spread() const noexcept { return m_spread; }

    // Returns the time since the last observation.
    clock::duration age(time_point now) const noexcept { return now - m_at; }

    // Returns the estimate, moved toward `common` the older and the less certain it is.
    double value_near(double common, time_point now) const noexcept;

    // Same, moved toward the latest observations while they are recent: a replica that is slow for
    // a moment counts as slow for that long.
    double value_now(double common, time_point now) const noexcept;

private:
    double m_value = 0;
    double m_recent = 0;
    double m_spread = 0;
    double m_count = 0;
    time_point m_at{};
};

} // namespace cicadaport::balancing
