#include "cicadaport/balancing/replica_speed.h"

#include <algorithm>
#include <cmath>

namespace cicadaport::balancing {
namespace {

// Weight of the value common to all replicas, as a number of observations.
constexpr double common_weight = 1;

} // namespace

void replica_speed::record(double value, time_point now) noexcept
{
    if (m_count == 0) {
        m_value = value;
        m_recent = value;
    }
    const fractional_milliseconds passed = now - m_at;
    const fractional_milliseconds constant = time_constant;
    const auto by_time = 1 - std::exp(-std::max(passed / constant, 0.0));
    const auto weight = m_count < initial_count ? 1 / (m_count + 1) : by_time;
    const auto difference = value / m_value - 1;
    m_spread += weight * (std::abs(difference) - m_spread);
    m_value *= 1 + weight * std::clamp(difference, -max_relative_step, max_relative_step);
    m_recent += recent_weight * (value - m_recent);
    m_count = std::min(m_count + 1, initial_count);
    m_at = now;
}

double replica_speed::value_near(double common, time_point now) const noexcept
{
    if (m_count == 0) {
        return common;
    }
    const fractional_milliseconds passed = now - m_at;
    const fractional_milliseconds half_life = confidence_half_life;
    const auto weight = m_count * std::exp2(-std::max(passed / half_life, 0.0));
    return (weight * m_value + common_weight * common) / (weight + common_weight);
}

double replica_speed::value_now(double common, time_point now) const noexcept
{
    const fractional_milliseconds passed = now - m_at;
    const fractional_milliseconds constant = recent_time_constant;
    return value_near(common, now) +
           (m_recent - m_value) * std::exp(-std::max(passed / constant, 0.0));
}

} // namespace cicadaport::balancing
