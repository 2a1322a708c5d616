#include "cicadaport/claims/claim_index.h"

#include <claims.pb.h>

namespace cicadaport::claims {

void claim_index::apply(const protocol::claim_record& record)
{
    if (record.has_made()) {
        apply_made(record);
        return;
    }
    const auto found = m_entries.find(record.key());
    if (found == m_entries.end() || found->second.claim_id != record.claim_id()) {
        return;
    }
    if (record.has_ended()) {
        const auto& ended = record.ended();
        found->second.answer = claim_answer{ended.status(), ended.content_type(), ended.body(),
                                            ended.omitted(), ended.unknown()};
    }
    else if (record.has_released() && !found->second.answer) {
        m_entries.erase(found);
    }
}

void claim_index::apply_made(const protocol::claim_record& record)
{
    remove_expired(record.at_ms());
    const auto found = m_entries.find(record.key());
    if (found != m_entries.end() && record.at_ms() - found->second.at_ms <= m_retention.count()) {
        return;
    }
    m_entries.insert_or_assign(record.key(), claim_entry{record.claim_id(), record.made().request(),
                                                         record.at_ms(), std::nullopt});
    m_keys_by_age.push_back({record.at_ms(), record.key()});
}

// Removes expired claims to bound memory use. Claims stay for twice the
// retention, so that a record from a process with a different clock still finds
// the claim that it refers to.
void claim_index::remove_expired(std::int64_t now_ms)
{
    const auto oldest = now_ms - 2 * m_retention.count();
    while (!m_keys_by_age.empty() && m_keys_by_age.front().at_ms < oldest) {
        const auto found = m_entries.find(m_keys_by_age.front().key);
        if (found != m_entries.end() && found->second.at_ms == m_keys_by_age.front().at_ms) {
            m_entries.erase(found);
        }
        m_keys_by_age.pop_front();
    }
}

const claim_entry* claim_index::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace cicadaport::claims
