#include "cicadaport/serving/engine_queue.h"

#include <algorithm>

namespace cicadaport::serving {

void engine_queue::add(work_id id, std::uint32_t urgency, fractional_milliseconds work,
                       time_point now)
{
    remove_overdue(now);
    const auto level = std::min<std::uint32_t>(urgency, urgency_levels - 1);
    const auto longest = wait(late_urgency, now) + work;
    const auto expires =
        now + std::chrono::duration_cast<clock::duration>(2 * longest) + overdue_grace;
    if (!m_items.emplace(id, item{level, work, ++m_last_sequence, expires}).second) {
        return;
    }
    m_waiting.at(level) += work;
    if (!m_current) {
        begin_next(now);
    }
}

void engine_queue::remove(work_id id, time_point now)
{
    remove_overdue(now);
    const auto found = m_items.find(id);
    if (found != m_items.end()) {
        remove_item(found, now);
    }
}

void engine_queue::remove_overdue(time_point now)
{
    for (auto each = m_items.begin(); each != m_items.end();) {
        const auto current = each++;
        if (current->second.expires < now) {
            remove_item(current, now);
        }
    }
}

void engine_queue::remove_item(items::iterator found, time_point now)
{
    const bool was_current = m_current == found->first;
    if (!was_current) {
        auto& sum = m_waiting.at(found->second.urgency);
        sum = std::max(sum - found->second.work, fractional_milliseconds{0});
    }
    m_items.erase(found);
    if (was_current) {
        begin_next(now);
    }
}

void engine_queue::begin_next(time_point now)
{
    const auto next =
        std::min_element(m_items.begin(), m_items.end(), [](const auto& left, const auto& right) {
            return std::pair{left.second.urgency, left.second.sequence} <
                   std::pair{right.second.urgency, right.second.sequence};
        });
    if (next == m_items.end()) {
        m_current.reset();
        m_waiting.fill(fractional_milliseconds{0});
        return;
    }
    m_current = next->first;
    m_current_since = now;
    m_waiting.at(next->second.urgency) -= next->second.work;
}

fractional_milliseconds engine_queue::wait(std::uint32_t urgency, time_point now)
{
    fractional_milliseconds ahead{0};
    for (std::size_t level = 0; level <= std::min<std::size_t>(urgency, urgency_levels - 1);
         ++level) {
        ahead += std::max(m_waiting.at(level), fractional_milliseconds{0});
    }
    if (m_current) {
        const auto work = m_items.at(*m_current).work;
        const fractional_milliseconds spent = now - m_current_since;
        ahead += std::max(work - spent, min_remaining_fraction * work);
    }
    return ahead;
}

} // namespace cicadaport::serving
