// Lookup tables over the configuration and its endpoints.
//
// A view is immutable and is replaced as a whole after a change. The loads that
// it points to are mutable and shared by all views.
#pragma once

#include "cicadaport/configuration/document.h"
#include "cicadaport/routing/load.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadaport::routing {

// An endpoint that accepts work.
struct candidate {
    const configuration::endpoint* endpoint = nullptr;
    std::shared_ptr<endpoint_load> load;
};

// A configured route and its service.
struct service_route {
    const configuration::service* service = nullptr;
    const configuration::route* route = nullptr;
};

class view {
public:
    // Builds the view of `document` without the endpoints named in `drained`.
    view(std::shared_ptr<const configuration::document> document, std::uint64_t offset,
         const std::vector<std::string>& drained, load_table& loads);

    // Returns the client account with this key hash, or null.
    const configuration::caller* find_caller(const std::string& key_sha256) const;

    // Returns the client account with this name, or null.
    const configuration::caller* find_account(const std::string& account) const;

    // Returns the endpoints of the model or service `name`, sorted by index.
    const std::vector<candidate>& candidates(const std::string& name) const;

    // Returns the route with this method and path, or null.
    const service_route* find_route(std::string_view method, std::string_view path) const;

    const configuration::document& document() const noexcept { return *m_document; }
    std::shared_ptr<const configuration::document> document_pointer() const { return m_document; }
    std::uint64_t configuration_offset() const noexcept { return m_offset; }

private:
    std::shared_ptr<const configuration::document> m_document;
    std::uint64_t m_offset;
    std::unordered_map<std::string, const configuration::caller*> m_callers;
    std::unordered_map<std::string, const configuration::caller*> m_accounts;
    std::unordered_map<std::string, std::vector<candidate>> m_candidates;
    std::unordered_map<std::string, service_route> m_routes;
};

} // namespace cicadaport::routing
