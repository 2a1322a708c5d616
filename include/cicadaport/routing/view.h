// What a request reads of the configuration and of the endpoints.
//
// A view is immutable and is replaced as a whole when something changes. The
// loads it points to are shared by all views and count in place.
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

// One endpoint that may be given work.
struct candidate {
    const configuration::endpoint* endpoint = nullptr;
    std::shared_ptr<endpoint_load> load;
};

// A configured route and the service behind it.
struct service_route {
    const configuration::service* service = nullptr;
    const configuration::route* route = nullptr;
};

class view {
public:
    // Makes the view of `document`, without the endpoints named in `drained`.
    view(std::shared_ptr<const configuration::document> document, std::uint64_t offset,
         const std::vector<std::string>& drained, load_table& loads);

    // Returns the account with this key hash, or null.
    const configuration::caller* find_caller(const std::string& key_sha256) const;

    // Returns the account of this name, or null.
    const configuration::caller* find_account(const std::string& account) const;

    // Returns the endpoints that serve the model or service `name`, by their index.
    const std::vector<candidate>& candidates(const std::string& name) const;

    // Returns the route for a method and path, if one is configured.
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
