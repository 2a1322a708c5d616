#include "cicadaport/serving/deployment.h"

#include <algorithm>

namespace cicadaport::serving {

deployment::deployment(std::uint64_t version, std::vector<route> routes,
                       std::vector<service> services, caller_limits limits,
                       accounts::key_set_pointer keys)
    : m_version{version}, m_routes{std::move(routes)}, m_limits{limits}, m_keys{std::move(keys)}
{
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        m_by_host[m_routes[index].host].push_back(index);
    }
    for (auto& [host, indices] : m_by_host) {
        std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
            return m_routes[left].path_prefix.size() > m_routes[right].path_prefix.size();
        });
    }
    for (auto& each : services) {
        m_services.emplace(each.name, std::move(each));
    }
}

const route* deployment::find_route(std::string_view host, std::string_view path) const
{
    const auto found = m_by_host.find(std::string{host});
    if (found == m_by_host.end()) {
        return nullptr;
    }
    for (const auto index : found->second) {
        if (path.starts_with(m_routes[index].path_prefix)) {
            return &m_routes[index];
        }
    }
    return nullptr;
}

const service* deployment::find_service(const std::string& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const std::string& deployment::pick_service(const route& of, double point)
{
    double whole = 0;
    for (const auto& each : of.shares) {
        whole += each.weight;
    }
    auto left = point * whole;
    for (const auto& each : of.shares) {
        left -= each.weight;
        if (left < 0) {
            return each.service;
        }
    }
    return of.shares.back().service;
}

milliseconds deployment::longest_time_limit() const
{
    milliseconds longest{0};
    for (const auto& each : m_routes) {
        longest = std::max(longest, each.time_limit);
    }
    return longest;
}

} // namespace cicadaport::serving
