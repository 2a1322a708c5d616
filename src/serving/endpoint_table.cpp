#include "cicadaport/serving/endpoint_table.h"

#include <algorithm>

namespace cicadaport::serving {

std::vector<endpoint_report> endpoint_table::name_services(std::set<std::string> names,
                                                           time_point now)
{
    m_services = std::move(names);
    std::vector<endpoint_report> out;
    for (const auto& [id, report] : m_deferred) {
        if (is_named(report.service)) {
            out.push_back(report);
        }
    }
    for (const auto& each : out) {
        apply(each, now);
    }
    return out;
}

bool endpoint_table::apply(const endpoint_report& report, time_point now)
{
    if (!is_named(report.service)) {
        if (m_deferred.size() < max_deferred_count || m_deferred.contains(report.id)) {
            m_deferred.insert_or_assign(report.id, report);
        }
        return false;
    }
    m_deferred.erase(report.id);
    auto& known = m_known[report.id];
    const bool older = report.incarnation < known.incarnation ||
                       (report.incarnation == known.incarnation &&
                        (report.sequence < known.sequence ||
                         (known.removed && report.sequence == known.sequence)));
    if (older) {
        return false;
    }
    const bool had_left = known.left;
    const bool restarted = report.incarnation > known.incarnation;
    known.left = (known.left && !restarted) || report.leaving;
    known.removed = false;
    known.incarnation = report.incarnation;
    known.sequence = report.sequence;
    known.at = now;
    const auto found = m_current.find(report.id);
    const bool same = found != m_current.end() && !restarted &&
                      found->second->report.service == report.service &&
                      found->second->report.address == report.address;
    if (same && !known.left) {
        const bool changed = !found->second->report.equals_ignoring_sequence(report);
        found->second->report = report;
        return changed;
    }
    drop(report.id);
    if (!known.left) {
        auto added = std::make_shared<endpoint>(report);
        m_by_service[report.service].push_back(added);
        m_current.emplace(report.id, std::move(added));
    }
    forget_old(now);
    return !(had_left && known.left) || restarted;
}

bool endpoint_table::remove(const std::string& id, time_point now)
{
    m_deferred.erase(id);
    const auto known = m_known.find(id);
    if (known != m_known.end()) {
        known->second.removed = true;
        known->second.at = now;
    }
    return drop(id);
}

bool endpoint_table::note_leaving(const std::string& id, std::int64_t incarnation, time_point now)
{
    auto& known = m_known[id];
    if (incarnation < known.incarnation) {
        return false;
    }
    known.incarnation = incarnation;
    known.left = true;
    known.at = now;
    return drop(id);
}

void endpoint_table::keep_only(const std::vector<std::string>& ids, time_point now)
{
    std::vector<std::string> missing;
    for (const auto& [id, each] : m_current) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        remove(id, now);
    }
    std::erase_if(m_deferred, [&](const auto& each) {
        return std::find(ids.begin(), ids.end(), each.first) == ids.end();
    });
}

const std::vector<endpoint_pointer>& endpoint_table::serving(const std::string& service) const
{
    static const std::vector<endpoint_pointer> none;
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? none : found->second;
}

endpoint_pointer endpoint_table::find(const std::string& id) const
{
    const auto found = m_current.find(id);
    return found == m_current.end() ? nullptr : found->second;
}

bool endpoint_table::drop(const std::string& id)
{
    const auto found = m_current.find(id);
    if (found == m_current.end()) {
        return false;
    }
    found->second->gone = true;
    m_dropped.push_back(found->second);
    std::erase(m_by_service[found->second->report.service], found->second);
    m_current.erase(found);
    return true;
}

void endpoint_table::forget_old(time_point now)
{
    std::erase_if(m_known, [&](const auto& each) {
        return !m_current.contains(each.first) && now - each.second.at > removed_endpoint_ttl;
    });
}

} // namespace cicadaport::serving
