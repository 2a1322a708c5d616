#include "cicadaport/serving/late_admission.h"

#include <algorithm>

namespace cicadaport::serving {

void late_admission::note(const std::string& route, fractional_milliseconds reading)
{
    auto& known = m_routes[route];
    if (known.readings.size() < remembered) {
        known.readings.push_back(reading);
        return;
    }
    known.readings[known.next] = reading;
    known.next = (known.next + 1) % remembered;
}

fractional_milliseconds late_admission::longest_reading(const record& of) const
{
    if (of.readings.size() < least_remembered) {
        return fractional_milliseconds{0};
    }
    auto sorted = of.readings;
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(
                                            largest_part * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

bool late_admission::admits(const std::string& route, const late_prompt& prompt) const
{
    if (!can_be_served(prompt)) {
        return false;
    }
    const auto known = m_routes.find(route);
    if (known == m_routes.end()) {
        return true;
    }
    const auto longest = longest_reading(known->second);
    // An engine that waits for nothing is never kept idle.
    return prompt.wait <=
           std::max(usable_part * prompt.patience - longest, fractional_milliseconds{1});
}

} // namespace cicadaport::serving
