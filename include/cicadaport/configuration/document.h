// The configuration document: what operators publish and every process follows.
//
// The document is one YAML mapping whose top-level keys are its sections. Each
// section is owned by a team and edited on its own.
#pragma once

#include "cicadaport/http/address.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::configuration {

// The newest schema that this build reads. The checks of a published schema
// version never change; a process that does not know the version of an edit
// stops at it rather than decide differently from the others.
constexpr std::uint32_t schema_version = 1;

// The sections, in the order in which they are joined.
constexpr std::string_view section_names[] = {"priorities", "models",   "engine_roles",
                                              "callers",    "services", "endpoints"};

struct model {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    // What the weight store has to send to one engine.
    std::uint64_t weight_bytes = 0;
    // Never fewer engines than this serve the model during planned changes.
    std::uint32_t least_replicas = 1;
    std::uint32_t expected_output_tokens = 128;
};

struct priority {
    std::string name;
    // 0 is the most urgent.
    std::uint32_t rank = 0;
    // Part of the capacity that lower ranks can't take away, in percent.
    std::uint32_t least_share_percent = 0;
    // Used when a caller gives no deadline.
    std::chrono::milliseconds deadline{10'000};
};

// How engines' roles follow the mix.
struct engine_roles {
    // One of never, threshold, rent_or_buy.
    std::string policy = "never";
    std::uint32_t least_prefill = 0;
    std::uint32_t least_decode = 0;
    // Requests of goodput that one role change must win back.
    double change_price_requests = 20;
    // How long an engine is without work while it changes.
    std::chrono::milliseconds change_time{3'000};
};

// One caller account. Zero means no limit.
struct caller {
    std::string account;
    std::string key_sha256;
    std::string priority;
    std::uint32_t requests_per_second = 0;
    std::uint32_t tokens_per_second = 0;
    std::uint32_t concurrent_requests = 0;
};

// Whether a route asks its callers for an Idempotency-Key.
enum class key_use { none, optional, required };

struct route {
    std::string method;
    std::string path;
    // Whether a request may be run twice without harm.
    bool idempotent = false;
    key_use key = key_use::optional;
    std::chrono::milliseconds timeout{10'000};
};

struct service {
    std::string name;
    std::vector<route> routes;
};

enum class endpoint_kind { engine, service };

struct endpoint {
    std::string name;
    endpoint_kind kind = endpoint_kind::engine;
    // The model of an engine, the service of a plain service's replica.
    std::string serves;
    http::address address;
    std::string region;
    std::string availability_zone;
    // An engine's role until an order says otherwise: mixed, prefill, decode.
    std::string role = "mixed";
    // Whether the endpoint refuses orders that carry an old fencing number.
    bool checks_fencing = false;
};

struct document {
    std::vector<priority> priorities;
    std::vector<model> models;
    engine_roles roles;
    std::vector<caller> callers;
    std::vector<service> services;
    std::vector<endpoint> endpoints;

    const priority* find_priority(std::string_view name) const noexcept;
    const model* find_model(std::string_view name) const noexcept;
    const service* find_service(std::string_view name) const noexcept;
    const endpoint* find_endpoint(std::string_view name) const noexcept;
};

// One section as it stands in the document, its key included.
struct section_text {
    std::string name;
    std::string text;
};

// Parses and checks a whole document; throws `yaml::document_error` with every
// problem. `file` names it in the problems. Deterministic: the same text gives
// the same result in every process.
document parse_document(const std::string& text, const std::string& file);

// Splits a document into its sections; throws `yaml::document_error`.
std::vector<section_text> split_sections(const std::string& text, const std::string& file);

} // namespace cicadaport::configuration
