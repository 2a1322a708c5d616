#include "cicadaport/serving/stream_origins.h"

#include <xxhash.h>

#include <algorithm>

namespace cicadaport::serving {
namespace {

std::uint64_t digest(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

origin_id origin_of(const endpoint_report& replica)
{
    // The service's name contains no zero byte, so different pairs give different texts.
    return digest(replica.service + '\0' + replica.version);
}

service_number number_of_service(std::string_view service)
{
    return digest(service);
}

stream_number number_of_stream(std::string_view request_id)
{
    return digest(request_id);
}

void stream_origins::set_longest_request(milliseconds time)
{
    m_retention = std::max<std::chrono::milliseconds>(min_retention, time + max_view_age);
}

stream_origins::listing& stream_origins::listing_of(const listed_version& version, time_point now)
{
    auto& all = m_versions[version.service];
    const auto found = std::find_if(
        all.begin(), all.end(), [&](const listing& each) { return each.origin == version.origin; });
    return found != all.end() ? *found : all.emplace_back(listing{version.origin, now, now});
}

void stream_origins::note_report(const endpoint_report& report, time_point now)
{
    note_version({number_of_service(report.service), origin_of(report)}, now);
}

void stream_origins::note_version(const listed_version& version, time_point now)
{
    auto& known = listing_of(version, now);
    if (known.removed) {
        known.removed = now;
    }
}

void stream_origins::update(const endpoint_table& endpoints, time_point now)
{
    std::set<std::pair<service_number, origin_id>> listed;
    for (const auto& [service, replicas] : endpoints.by_service()) {
        const auto number = number_of_service(service);
        for (const auto& each : replicas) {
            listed.emplace(number, origin_of(each->report));
        }
    }
    for (const auto& [service, origin] : listed) {
        listing_of({service, origin}, now).removed.reset();
    }
    for (auto& [service, all] : m_versions) {
        for (auto& each : all) {
            if (!each.removed && !listed.contains({service, each.origin})) {
                each.removed = now;
            }
        }
    }
}

std::optional<origin_id> stream_origins::only_origin(std::span<const service_share> services,
                                                     time_point now) const
{
    std::optional<origin_id> only;
    for (const auto& share : services) {
        const auto found = m_versions.find(number_of_service(share.service));
        if (found == m_versions.end()) {
            continue;
        }
        for (const auto& each : found->second) {
            if (!is_recent(each, now)) {
                continue;
            }
            if (only && *only != each.origin) {
                return std::nullopt;
            }
            only = each.origin;
        }
    }
    return only;
}

std::vector<listed_version> stream_origins::versions(time_point now) const
{
    std::vector<listed_version> out;
    for (const auto& [service, all] : m_versions) {
        for (const auto& each : all) {
            if (is_recent(each, now)) {
                out.push_back({service, each.origin});
            }
        }
    }
    return out;
}

std::set<std::string> stream_origins::unfit_to_begin(std::span<const endpoint_pointer> replicas,
                                                     time_point now) const
{
    const auto known = replicas.empty()
                           ? m_versions.end()
                           : m_versions.find(number_of_service(replicas.front()->report.service));
    if (known == m_versions.end() || known->second.size() < 2) {
        return {};
    }
    struct version {
        std::size_t count = 0;
        bool is_settled = true;
    };
    std::unordered_map<origin_id, version> versions;
    std::size_t count = 0;
    for (const auto& each : replicas) {
        const bool generates = each->report.stage != engine_stage::prefill;
        versions[origin_of(each->report)].count += generates ? 1 : 0;
        count += generates ? 1 : 0;
    }
    if (versions.size() < 2) {
        return {};
    }
    for (const auto& each : known->second) {
        if (const auto found = versions.find(each.origin); found != versions.end()) {
            found->second.is_settled = now - each.first >= settling_time;
        }
    }
    std::set<std::string> unsettled;
    std::set<std::string> unfit;
    std::size_t settled_count = 0;
    std::size_t fit_count = 0;
    for (const auto& each : replicas) {
        const auto& of = versions.at(origin_of(each->report));
        const std::size_t generating = each->report.stage != engine_stage::prefill ? 1 : 0;
        if (!of.is_settled) {
            unsettled.insert(each->report.id);
        }
        else {
            settled_count += generating;
        }
        if (!of.is_settled || of.count < min_replicas_to_begin) {
            unfit.insert(each->report.id);
        }
        else {
            fit_count += generating;
        }
    }
    if (2 * fit_count >= count) {
        return unfit;
    }
    return settled_count > 0 ? unsettled : std::set<std::string>{};
}

bool stream_origins::record(const begun_stream& begun, time_point now)
{
    if (!m_streams.try_emplace(begun.stream, begun.origin).second) {
        return false;
    }
    m_order.emplace_back(now, begun.stream);
    while (m_order.size() > max_streams) {
        m_streams.erase(m_order.front().second);
        m_order.pop_front();
    }
    return true;
}

std::optional<origin_id> stream_origins::find(stream_number stream) const
{
    const auto found = m_streams.find(stream);
    return found != m_streams.end() ? std::optional{found->second} : std::nullopt;
}

std::vector<begun_stream> stream_origins::streams() const
{
    std::vector<begun_stream> out;
    out.reserve(m_order.size());
    for (const auto& [began, stream] : m_order) {
        out.push_back({stream, m_streams.at(stream)});
    }
    return out;
}

void stream_origins::forget_old(time_point now)
{
    while (!m_order.empty() && now - m_order.front().first > m_retention) {
        m_streams.erase(m_order.front().second);
        m_order.pop_front();
    }
    for (auto& [service, all] : m_versions) {
        std::erase_if(all, [&](const listing& each) { return !is_recent(each, now); });
    }
}

} // namespace cicadaport::serving
