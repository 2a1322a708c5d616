#include "cicadaport/history/store_history.h"

namespace cicadaport::history {

store_history::relation store_history::observe(const epoch_statement& stated, time_point now)
{
    if (!stated.epoch) {
        return relation::unknown;
    }
    if (!m_epoch) {
        m_epoch = stated.epoch;
        m_known_since = m_known_since.value_or(now);
        return relation::current;
    }
    if (*stated.epoch == *m_epoch) {
        return relation::current;
    }
    if (*stated.epoch < *m_epoch) {
        return relation::older;
    }
    m_epoch = stated.epoch;
    begin_generation(now);
    return relation::newer;
}

void store_history::record_unannounced_return(time_point now)
{
    begin_generation(now);
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
