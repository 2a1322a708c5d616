#include "cicadaport/serving/memory_budget.h"

#include <algorithm>
#include <utility>

namespace cicadaport::serving {

void memory_budget::reservation::resize(std::size_t bytes)
{
    const auto before = std::exchange(m_bytes, bytes);
    m_budget.m_held = m_budget.m_held - before + bytes;
    const bool was_releasable = before >= min_releasable_bytes;
    const bool is_releasable = bytes >= min_releasable_bytes;
    if (is_releasable && !was_releasable) {
        m_budget.add(*this);
    }
    else if (was_releasable && !is_releasable) {
        m_budget.remove(*this);
    }
    if (bytes > before && m_budget.is_exceeded() && !std::exchange(m_budget.m_told, true)) {
        m_budget.m_on_exceeded();
    }
}

void memory_budget::add(reservation& each)
{
    each.m_index = m_releasable.size();
    m_releasable.push_back(&each);
}

void memory_budget::remove(reservation& each) noexcept
{
    m_releasable.back()->m_index = each.m_index;
    m_releasable[each.m_index] = m_releasable.back();
    m_releasable.pop_back();
}

const memory_budget::reservation* memory_budget::largest() const noexcept
{
    const auto found =
        std::max_element(m_releasable.begin(), m_releasable.end(),
                         [](const auto* a, const auto* b) { return a->bytes() < b->bytes(); });
    return found != m_releasable.end() ? *found : nullptr;
}

} // namespace cicadaport::serving
