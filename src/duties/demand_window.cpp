#include "cicadaport/duties/demand_window.h"

#include <algorithm>

namespace cicadaport::duties {
namespace {

constexpr std::chrono::seconds bucket_length{1};
// A burst brings this much more of one kind of request: 1.9 times its usual rate.
constexpr double burst_excess = 0.9;

} // namespace

void demand_window::record(const scaling_view& view, time_point now)
{
    if (!view.knows_demand) {
        m_buckets.clear();
        if (m_first_demand) {
            m_first_demand = now;
        }
        return;
    }
    while (!m_buckets.empty() && now - m_buckets.front().begin > length) {
        m_buckets.pop_front();
    }
    const auto total = view.prefill_demand + view.decode_demand;
    if (!m_first_demand && total >= min_demand) {
        m_first_demand = now;
    }
    if (m_buckets.empty() || now - m_buckets.back().begin >= bucket_length) {
        m_buckets.emplace_back().begin = now;
    }
    auto& last = m_buckets.back();
    last.prefill_peak = std::max(last.prefill_peak, view.prefill_demand);
    last.decode_peak = std::max(last.decode_peak, view.decode_demand);
    last.prefill_sum += view.prefill_demand;
    last.decode_sum += view.decode_demand;
    ++last.samples;
}

double demand_window::peak(time_point now, clock::duration time) const
{
    double out = 0;
    for (const auto& each : m_buckets) {
        const auto mean = (each.prefill_sum + each.decode_sum) / each.samples;
        out = now - each.begin <= time ? std::max(out, mean) : out;
    }
    return out;
}

double demand_window::prefill_peak() const
{
    double out = 0;
    for (const auto& each : m_buckets) {
        out = std::max(out, each.prefill_peak);
    }
    return out;
}

double demand_window::decode_peak() const
{
    double out = 0;
    for (const auto& each : m_buckets) {
        out = std::max(out, each.decode_peak);
    }
    return out;
}

double demand_window::burst_demand(time_point now) const
{
    double prefill = 0;
    double decode = 0;
    std::uint32_t samples = 0;
    for (const auto& each : m_buckets) {
        prefill += each.prefill_sum;
        decode += each.decode_sum;
        samples += each.samples;
    }
    if (samples == 0) {
        return 0;
    }
    // A kind of request may make up all of the demand for one stage.
    const auto with_burst = (prefill + decode + burst_excess * std::max(prefill, decode)) / samples;
    return std::max(peak(now), with_burst);
}

} // namespace cicadaport::duties
