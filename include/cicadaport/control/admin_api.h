// The administration API that operators and their tool use.
#pragma once

#include "cicadaport/authority/partition_roles.h"
#include "cicadaport/fold/replica.h"
#include "cicadaport/http/server.h"
#include "cicadaport/relay/process_table.h"
#include "cicadaport/shared_log/proposer.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicadaport::protocol {
class endpoint_request;
}

namespace cicadaport::control {

// Answers administration requests; every one needs the operator's key.
//
// Belongs to one event loop; what it is given must outlive it. The interface
// is described in docs/reference/admin-api.md.
class admin_api {
public:
    // Returns what the role controllers of this process do.
    using role_source = std::function<std::vector<authority::role_report>()>;

    admin_api(const fold::replica& replica, const relay::process_table& processes,
              shared_log::proposer& proposals, std::string operator_key_sha256,
              role_source roles = {});

    boost::asio::awaitable<void> handle(const http::request& message,
                                        http::response_writer& writer);

private:
    boost::asio::awaitable<http::response> answer(const http::request& message);
    boost::asio::awaitable<http::response> publish(const http::request& message);
    boost::asio::awaitable<http::response> change_endpoint(const http::target_view& target);
    std::optional<protocol::endpoint_request> wish_of(const std::string& endpoint) const;
    http::response refused(const fold::decision& made) const;
    http::response show_configuration() const;
    http::response show_processes() const;
    http::response show_endpoints() const;
    http::response show_leases() const;
    http::response show_roles() const;
    bool is_operator(const http::request& message) const;

    const fold::replica& m_replica;
    const relay::process_table& m_processes;
    shared_log::proposer& m_proposals;
    std::string m_operator_key_sha256;
    role_source m_roles;
};

} // namespace cicadaport::control
