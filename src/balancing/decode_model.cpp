#include "cicadaport/balancing/decode_model.h"

#include <algorithm>
#include <cmath>

namespace cicadaport::balancing {
namespace {

// Number of observations of an engine that its means average over.
constexpr double max_mean_count = 50;
// Number of observations over which the common interval is averaged.
constexpr double max_common_count = 300;
// Factor by which each observation reduces the weight of earlier ones in the load factor, and the
// weight of the initial load factor as squared streams: it is outweighed once the number of
// streams has varied by 10 in 40 observations.
constexpr double retained_weight = 0.998;
constexpr double prior_squares = 4'000;
// A larger relative difference is that of a hiccup.
constexpr double max_difference = 0.5;

} // namespace

void decode_model::record(std::uint32_t engine, double streams, fractional_milliseconds interval,
                          time_point now)
{
    const auto observed = interval.count();
    if (!(observed > 0) || !std::isfinite(observed) || !(streams >= 0)) {
        return;
    }
    auto& known = m_engines[engine];
    learn_load_factor(known, streams, observed);
    const auto idle = observed / (1 + m_load_factor * streams);
    m_total_interval -= known.idle_interval.value();
    known.idle_interval.record(idle, now);
    m_total_interval += known.idle_interval.value();
    m_observation_count = std::min(m_observation_count + 1, max_common_count);
    m_common_interval += (idle - m_common_interval) / m_observation_count;
}

void decode_model::learn_load_factor(record_of_engine& of, double streams, double interval)
{
    if (of.count > 0) {
        const auto more = streams - of.mean_streams;
        const auto longer =
            std::clamp(interval / of.mean_interval - 1, -max_difference, max_difference);
        const auto product = more * longer;
        m_squares = retained_weight * m_squares + more * more;
        m_products = retained_weight * m_products + product;
        m_scaled_products = retained_weight * m_scaled_products + product * of.mean_streams;
        // longer = factor x more / (1 + factor x mean), solved for the factor with `more` as the
        // instrument, so that noise in the intervals causes no bias.
        const auto squares = std::max(m_squares - m_scaled_products, 0.0);
        m_load_factor = std::clamp((m_products + prior_squares * initial_load_factor) /
                                       (squares + prior_squares),
                                   min_load_factor, max_load_factor);
    }
    of.count = std::min(of.count + 1, max_mean_count);
    of.mean_streams += (streams - of.mean_streams) / of.count;
    of.mean_interval += (interval - of.mean_interval) / of.count;
}

double decode_model::idle_interval(std::uint32_t engine, time_point now) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end()
               ? m_common_interval
               : found->second.idle_interval.value_near(m_common_interval, now);
}

std::optional<fractional_milliseconds> decode_model::interval(std::uint32_t engine, double streams,
                                                              time_point now) const
{
    if (m_observation_count == 0) {
        return std::nullopt;
    }
    return fractional_milliseconds{idle_interval(engine, now) * (1 + m_load_factor * streams)};
}

std::optional<double> decode_model::streams_at(std::uint32_t engine,
                                               fractional_milliseconds interval,
                                               time_point now) const
{
    if (m_observation_count == 0) {
        return std::nullopt;
    }
    const auto ratio = interval.count() / idle_interval(engine, now);
    return std::max(ratio - 1, 0.0) / m_load_factor;
}

std::optional<double> decode_model::speed(std::uint32_t engine) const
{
    const auto* const known = find(engine);
    if (known == nullptr) {
        return std::nullopt;
    }
    return m_total_interval / static_cast<double>(m_engines.size()) / known->value();
}

void decode_model::forget(std::uint32_t engine)
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        m_total_interval -= found->second.idle_interval.value();
        m_engines.erase(found);
    }
}

const replica_speed* decode_model::find(std::uint32_t engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second.idle_interval;
}

} // namespace cicadaport::balancing
