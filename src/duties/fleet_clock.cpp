#include "cicadaport/duties/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace cicadaport::duties {
namespace {

milliseconds difference(time_of_day of, time_point at)
{
    return of.time_since_epoch() - std::chrono::duration_cast<milliseconds>(at.time_since_epoch());
}

} // namespace

void fleet_clock::record(std::uint64_t host, time_of_day sent, time_point received)
{
    auto& known = m_hosts[host];
    known.differences[known.next] = difference(sent, received);
    known.next = (known.next + 1) % readings::count;
    known.size = std::min(known.size + 1, readings::count);
    known.last = received;
}

void fleet_clock::update(time_of_day own, time_point now)
{
    std::erase_if(m_hosts, [now](const auto& each) { return now - each.second.last > retention; });
    std::vector<milliseconds> all{difference(own, now)};
    all.reserve(m_hosts.size() + 1);
    for (const auto& [host, known] : m_hosts) {
        all.push_back(
            *std::max_element(known.differences.begin(),
                              known.differences.begin() + static_cast<std::ptrdiff_t>(known.size)));
    }
    const auto own_difference = all.front();
    std::sort(all.begin(), all.end());
    const auto upper = all.size() / 2;
    const auto lower = (all.size() - 1) / 2;
    m_median = all[lower] + (all[upper] - all[lower]) / 2;
    m_own_error = own_difference - *m_median;
}

std::optional<time_of_day> fleet_clock::at(time_point when) const
{
    if (!m_median) {
        return std::nullopt;
    }
    return time_of_day{*m_median +
                       std::chrono::duration_cast<milliseconds>(when.time_since_epoch())};
}

} // namespace cicadaport::duties
