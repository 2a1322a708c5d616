// What a host serves: routes, services and limits on what callers may send.
//
// A deployment is immutable and replaced as a whole. A request keeps the deployment with which it
// started.
#pragma once

#include "cicadaport/accounts/key_set.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadaport::serving {

using std::chrono::milliseconds;

// A service and the relative weight with which a route's requests go to it.
struct service_share {
    std::string service;
    double weight = 1;
};

// How often a request may be executed.
enum class repeat_rule {
    // At most once.
    once,
    // Idempotent: may be executed more than once.
    any,
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    repeat_rule repeats = repeat_rule::once;
    // The response is a stream of events.
    bool streamed = false;
    // Another replica may continue an interrupted stream.
    bool resumable = false;
    // The request carries a prompt and is served by engines.
    bool has_prompt = false;
    // Callers need no key, if the configuration has accounts.
    bool allows_anonymous = false;
    milliseconds time_limit{10'000};
    milliseconds latency_objective{1'000};
    // Objective for the inter-token latency: the longest pause between two events of a stream.
    milliseconds pause_objective{0};
    // Clients disconnect from a stream that sends no event for this long.
    milliseconds caller_patience{10'000};
    // Maximum number of replicas to which one request may be sent.
    std::uint32_t max_attempts = 1;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<service_share> shares;
};

// The configured properties of a service's engines.
struct engine_properties {
    double bytes_per_token = 0;
    double link_mbps = 0;
    // KV cache capacity of one engine, in tokens; 0 if unknown.
    double memory_tokens = 0;
    milliseconds switch_time{0};
};

// How the number of a service's replicas may be changed. Limits and prices are those of each
// availability zone.
struct scale_terms {
    // Bounds of the number of replicas of both kinds together.
    std::uint32_t min_replicas = 0;
    std::uint32_t max_replicas = 0;
    // Time from an order until the new replicas serve.
    milliseconds boot_time{0};
    // Price of a reclaimable replica as a fraction of the price of another one; 0 if there are
    // none.
    double reclaimable_price_ratio = 0;
    // Price of one second of a replica, by availability zone.
    std::map<std::string, double> zone_prices;
};

struct service {
    std::string name;
    // Maximum number of connections that one replica accepts from all hosts together.
    std::uint32_t max_connections = 64;
    std::optional<engine_properties> engines;
    // Empty if the number of replicas is fixed.
    std::optional<scale_terms> scale;
};

// Limits on the requests and connections of callers.
struct caller_limits {
    std::uint32_t head_bytes = 32 * 1024;
    std::uint64_t body_bytes = 4ULL * 1024 * 1024;
    milliseconds head_timeout{10'000};
    milliseconds idle_timeout{60'000};
};

class deployment {
public:
    // `keys` is null if the configuration has no accounts.
    deployment(std::uint64_t version, std::vector<route> routes, std::vector<service> services,
               caller_limits limits, accounts::key_set_pointer keys = nullptr);

    std::uint64_t version() const noexcept { return m_version; }
    const caller_limits& limits() const noexcept { return m_limits; }
    const std::vector<route>& routes() const noexcept { return m_routes; }

    // Returns the accounts and their keys; null if callers need no key.
    const accounts::key_set* keys() const noexcept { return m_keys.get(); }

    // Returns the route of `host` with the longest prefix that matches `path`, or null.
    const route* find_route(std::string_view host, std::string_view path) const;

    // Returns the service of this name, or null.
    const service* find_service(const std::string& name) const;

    // Returns the longest time limit of a route.
    milliseconds longest_time_limit() const;

    const std::unordered_map<std::string, service>& services() const noexcept { return m_services; }

    // Returns the service for a request on the route `of`; `point`, a random number from [0, 1),
    // selects one of the shares by weight.
    static const std::string& pick_service(const route& of, double point);

private:
    std::uint64_t m_version;
    std::vector<route> m_routes;
    caller_limits m_limits;
    accounts::key_set_pointer m_keys;
    // Indices of a host's routes, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_by_host;
    std::unordered_map<std::string, service> m_services;
};

using deployment_pointer = std::shared_ptr<const deployment>;

} // namespace cicadaport::serving
