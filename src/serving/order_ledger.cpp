#include "cicadaport/serving/order_ledger.h"

namespace cicadaport::serving {

void order_ledger::record_order(const std::string& engine, std::uint64_t offset, engine_stage to,
                                time_point now)
{
    const auto [found, added] = m_records.emplace(engine, record{offset, to, now});
    if (!added && found->second.offset != offset) {
        found->second = {offset, to, now};
    }
}

bool order_ledger::can_announce(const std::string& engine, time_point now) const
{
    const auto found = m_records.find(engine);
    return found == m_records.end() || now - found->second.seen >= exclusive_period;
}

std::optional<engine_stage> order_ledger::changing_to(const std::string& engine,
                                                      time_point now) const
{
    const auto found = m_records.find(engine);
    if (found == m_records.end() || now - found->second.seen >= stage_change_timeout) {
        return std::nullopt;
    }
    return found->second.to;
}

} // namespace cicadaport::serving
