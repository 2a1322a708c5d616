#include "cicadaport/serving/engine_queue.h"

#include <algorithm>

namespace cicadaport::serving {

void engine_queue::advance(time_point now)
{
    if (now <= m_at) {
        return;
    }
    if (!m_items.empty()) {
        m_progress += now - m_at;
    }
    m_at = now;
    for (auto each = m_items.begin(); each != m_items.end();) {
        const auto current = each++;
        if (current->second.expires < now) {
            take_out(current);
        }
    }
}

void engine_queue::add(work_id id, std::uint32_t urgency, fine_milliseconds work, time_point now)
{
    advance(now);
    const auto level = std::min<std::uint32_t>(urgency, urgency_levels - 1);
    fine_milliseconds ahead{0};
    for (const auto& sum : m_sums) {
        ahead += sum;
    }
    const auto expires =
        now + std::chrono::duration_cast<clock::duration>(2 * (ahead + work)) + overdue;
    if (m_items.emplace(id, item{level, work, expires}).second) {
        m_sums.at(level) += work;
    }
}

void engine_queue::remove(work_id id, time_point now)
{
    advance(now);
    const auto found = m_items.find(id);
    if (found != m_items.end()) {
        take_out(found);
    }
}

void engine_queue::take_out(std::unordered_map<work_id, item>::iterator found)
{
    auto& sum = m_sums.at(found->second.urgency);
    sum = std::max(sum - found->second.work, fine_milliseconds{0});
    m_progress = std::max(m_progress - found->second.work, fine_milliseconds{0});
    m_items.erase(found);
    if (m_items.empty()) {
        m_sums.fill(fine_milliseconds{0});
        m_progress = fine_milliseconds{0};
    }
}

fine_milliseconds engine_queue::wait(std::uint32_t urgency, time_point now)
{
    advance(now);
    fine_milliseconds ahead{0};
    for (std::size_t level = 0; level <= std::min<std::size_t>(urgency, urgency_levels - 1);
         ++level) {
        ahead += m_sums.at(level);
    }
    return std::max(ahead - m_progress, least_left * ahead);
}

} // namespace cicadaport::serving
