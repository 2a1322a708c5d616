#include "cicadaport/serving/late_admission.h"

#include <algorithm>

namespace cicadaport::serving {

void late_admission::record_prefill_time(const std::string& route,
                                         fractional_milliseconds prefill_time)
{
    auto& known = m_routes[route];
    if (known.prefill_times.size() < max_sample_count) {
        known.prefill_times.push_back(prefill_time);
        return;
    }
    known.prefill_times[known.next] = prefill_time;
    known.next = (known.next + 1) % max_sample_count;
}

fractional_milliseconds late_admission::large_prefill_time(const record& of) const
{
    if (of.prefill_times.size() < min_sample_count) {
        return fractional_milliseconds{0};
    }
    auto sorted = of.prefill_times;
    const auto place =
        sorted.begin() +
        static_cast<std::ptrdiff_t>(large_prompt_quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

bool late_admission::admits(const std::string& route, const prompt_prediction& prompt) const
{
    if (!can_be_served(prompt)) {
        return false;
    }
    const auto known = m_routes.find(route);
    if (known == m_routes.end()) {
        return true;
    }
    const auto reserved = large_prefill_time(known->second);
    // An idle engine accepts any prompt that it can serve, even if the route's bound is negative.
    return prompt.wait <=
           std::max(usable_fraction * prompt.patience - reserved, fractional_milliseconds{1});
}

} // namespace cicadaport::serving
