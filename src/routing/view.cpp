#include "cicadaport/routing/view.h"

#include <algorithm>
#include <unordered_set>

namespace cicadaport::routing {
namespace {

std::string route_key(std::string_view method, std::string_view path)
{
    std::string key{method};
    key += ' ';
    key += path;
    return key;
}

} // namespace

view::view(std::shared_ptr<const configuration::document> document, std::uint64_t offset,
           const std::vector<std::string>& drained, load_table& loads)
    : m_document{std::move(document)}, m_offset{offset}
{
    for (const auto& caller : m_document->callers) {
        m_callers.emplace(caller.key_sha256, &caller);
        m_accounts.emplace(caller.account, &caller);
    }
    // A set, because a process in a large fleet excludes most engines.
    const std::unordered_set<std::string_view> left_out{drained.begin(), drained.end()};
    for (const auto& endpoint : m_document->endpoints) {
        if (!left_out.contains(endpoint.name)) {
            m_candidates[endpoint.serves].push_back({&endpoint, loads.get(endpoint.name)});
        }
    }
    for (auto& [name, list] : m_candidates) {
        std::sort(list.begin(), list.end(), [](const candidate& left, const candidate& right) {
            return left.load->index < right.load->index;
        });
    }
    for (const auto& service : m_document->services) {
        for (const auto& route : service.routes) {
            m_routes.emplace(route_key(route.method, route.path), service_route{&service, &route});
        }
    }
}

const configuration::caller* view::find_caller(const std::string& key_sha256) const
{
    const auto found = m_callers.find(key_sha256);
    return found == m_callers.end() ? nullptr : found->second;
}

const configuration::caller* view::find_account(const std::string& account) const
{
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? nullptr : found->second;
}

const std::vector<candidate>& view::candidates(const std::string& name) const
{
    static const std::vector<candidate> none;
    const auto found = m_candidates.find(name);
    return found == m_candidates.end() ? none : found->second;
}

const service_route* view::find_route(std::string_view method, std::string_view path) const
{
    const auto found = m_routes.find(route_key(method, path));
    return found == m_routes.end() ? nullptr : &found->second;
}

} // namespace cicadaport::routing
