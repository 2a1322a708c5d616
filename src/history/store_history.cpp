#include "cicadaport/history/store_history.h"

namespace cicadaport::history {

store_history::relation store_history::observe(const epoch_statement& stated, time_point now)
{
    if (!stated.epoch) {
        m_has_unstated = m_has_unstated || !stated.is_stated;
        return relation::unknown;
    }
    if (m_epoch && *stated.epoch < *m_epoch) {
        return observe_older(*stated.epoch, now);
    }
    m_lower_epoch.reset();
    if (stated.epoch == m_epoch) {
        return relation::current;
    }
    const bool is_first = !m_epoch && !m_has_unstated;
    m_epoch = stated.epoch;
    if (is_first) {
        m_known_since = m_known_since.value_or(now);
        return relation::current;
    }
    begin_generation(now);
    return relation::newer;
}

store_history::relation store_history::observe_older(std::uint64_t epoch, time_point now)
{
    if (m_lower_epoch != epoch) {
        m_lower_epoch = epoch;
        m_lower_since = now;
    }
    if (now - m_lower_since < lower_epoch_time) {
        return relation::older;
    }
    m_lower_epoch.reset();
    m_epoch = epoch;
    begin_generation(now);
    return relation::newer;
}

void store_history::record_unannounced_return(time_point now)
{
    begin_generation(now);
}

bool store_history::record_return_elsewhere(time_point at)
{
    if (known_since() && at <= *known_since() + max_news_delay) {
        return false;
    }
    m_heard_since = at;
    return true;
}

void store_history::begin_generation(time_point now)
{
    ++m_generation;
    m_known_since = now;
    std::erase_if(m_actions, [](const auto& each) { return each.expired(); });
    for (const auto& each : m_actions) {
        if (const auto action = each.lock()) {
            (*action)();
        }
    }
}

store_history::subscription store_history::on_return(std::function<void()> action)
{
    auto out = std::make_shared<const std::function<void()>>(std::move(action));
    m_actions.push_back(out);
    return out;
}

std::string_view to_string(store_history::relation relation)
{
    switch (relation) {
    case store_history::relation::current:
        return "current";
    case store_history::relation::newer:
        return "newer";
    case store_history::relation::older:
        return "older";
    case store_history::relation::unknown:
        break;
    }
    return "unknown";
}

} // namespace cicadaport::history
