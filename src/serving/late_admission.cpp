#include "cicadaport/serving/late_admission.h"

#include <algorithm>

namespace cicadaport::serving {

void late_admission::note(const std::string& route, fine_milliseconds reading)
{
    auto& known = m_routes[route];
    if (known.readings.size() < remembered) {
        known.readings.push_back(reading);
        return;
    }
    known.readings[known.next] = reading;
    known.next = (known.next + 1) % remembered;
}

fine_milliseconds late_admission::large_prefill_time(const record& of) const
{
    if (of.readings.size() < min_sample_count) {
        return fine_milliseconds{0};
    }
    auto sorted = of.readings;
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(
                                            largest_part * static_cast<double>(sorted.size() - 1));
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
    const auto longest = large_prefill_time(known->second);
    // An idle engine accepts any prompt that it can serve, even if the route's bound is negative.
    return prompt.wait <= std::max(usable_part * prompt.patience - longest, fine_milliseconds{1});
}

} // namespace cicadaport::serving
