#include "cicadaport/serving/request_limits.h"

namespace cicadaport::serving {

std::string_view to_string(limit_change change)
{
    switch (change) {
    case limit_change::begun:
        return "begun";
    case limit_change::changed:
        return "changed";
    case limit_change::ended:
        return "ended";
    case limit_change::none:
        break;
    }
    return "none";
}

limit_change request_limits::note(const limit_statement& said, time_point now)
{
    const auto found = m_records.find(said.endpoint);
    const bool known = found != m_records.end();
    if (known && said.incarnation < found->second.incarnation) {
        return limit_change::none;
    }
    if (!said.per_second) {
        if (!known || said.asked <= found->second.named_at) {
            return limit_change::none;
        }
        m_records.erase(found);
        return limit_change::ended;
    }
    if (known && said.incarnation > found->second.incarnation) {
        m_records.erase(found);
    }
    auto& noted = m_records[said.endpoint];
    const auto before = std::exchange(noted.per_second, *said.per_second);
    noted.incarnation = said.incarnation;
    noted.named_at = now;
    if (!known) {
        return limit_change::begun;
    }
    return before != noted.per_second ? limit_change::changed : limit_change::none;
}

void request_limits::count_sent(const std::string& endpoint, bool only_reads_prompt)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end()) {
        ++(only_reads_prompt ? found->second.prompt_readings : found->second.runs);
    }
}

void request_limits::forget_before(const std::string& endpoint, std::int64_t incarnation)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end() && found->second.incarnation < incarnation) {
        m_records.erase(found);
    }
}

std::vector<limit_use> request_limits::take_uses(time_point now)
{
    std::vector<limit_use> out;
    for (auto& [endpoint, each] : m_records) {
        if (each.runs + each.prompt_readings > 0) {
            out.push_back({endpoint, each.per_second, now - each.named_at,
                           std::exchange(each.runs, 0), std::exchange(each.prompt_readings, 0)});
        }
    }
    return out;
}

} // namespace cicadaport::serving
