// Learns the speed of engines from what was observed of their work.
#include "cicadaport/serving/placement.h"

#include <algorithm>

namespace cicadaport::serving {
namespace {

// Bounds of an observed time ratio. Engines differ in speed up to 2.5 times.
constexpr double min_time_ratio = 0.4;
constexpr double max_time_ratio = 8;
// An engine with a shorter predicted wait counts as idle.
constexpr fractional_milliseconds max_idle_wait{1};

} // namespace

void engine_placement::record_result(const ended_work& work, double observed, time_point now)
{
    if (!(observed > 0)) {
        return;
    }
    if (work.is_prefill) {
        m_time_ratios[work.engine].record(std::clamp(observed, min_time_ratio, max_time_ratio),
                                          now);
    }
    else {
        m_pace.record(work.engine, work.mean_streams, fractional_milliseconds{observed}, now);
    }
}

double engine_placement::learn_prefill_time(const std::string& engine, const prompt_plan& plan,
                                            fractional_milliseconds observed, time_point now)
{
    const auto wait = plan.prefill_latency - plan.prefill_time;
    if (wait < max_idle_wait) {
        m_prefill_model.learn(plan.prefilled_tokens, plan.prefilled_pairs,
                              observed - plan.prefix_transfer_time);
    }
    return observed_time_ratio(engine, plan.prefill_latency, observed, now);
}

double engine_placement::observed_time_ratio(const std::string& engine,
                                             fractional_milliseconds predicted,
                                             fractional_milliseconds observed, time_point now) const
{
    const auto seen = time_ratio(engine_number(engine), now) *
                      (observed / std::max(predicted, fractional_milliseconds{1}));
    return std::clamp(seen, min_time_ratio, max_time_ratio);
}

bool engine_placement::is_fast(std::uint32_t engine) const
{
    if (m_pace.find(engine) != nullptr) {
        return m_pace.is_fast(engine);
    }
    const auto known = m_time_ratios.find(engine);
    if (known == m_time_ratios.end()) {
        return false;
    }
    double sum = 0;
    for (const auto& each : m_time_ratios) {
        sum += each.second.value();
    }
    const auto mean = sum / static_cast<double>(m_time_ratios.size());
    return mean >= balancing::decode_model::fast_speed * known->second.value();
}

double engine_placement::stream_capacity(const prompt_query& query, const endpoint& engine) const
{
    const auto needed = needed_interval(query, fractional_milliseconds{0});
    const double slots = engine.report.slots;
    return std::min(
        slots,
        m_pace.streams_at(engine_number(engine.report.id), needed, query.now).value_or(slots));
}

double engine_placement::time_ratio(std::uint32_t engine, time_point now) const
{
    const auto found = m_time_ratios.find(engine);
    return found == m_time_ratios.end() ? 1 : found->second.value_now(1, now);
}

} // namespace cicadaport::serving
