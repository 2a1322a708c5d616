// The processes of one deployment, as scripts/make_deployment lists them.
#pragma once

#include "cicadaport/http/client.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::scenario {

// One process: how to start it and where it answers.
struct process_entry {
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    // Where a stand-in, or an entry process towards callers, listens.
    std::optional<http::address> address;
    // Health, readiness and administration.
    std::optional<http::address> admin;
};

// A link through a relay of the scenario, which can be cut.
struct link_entry {
    std::string name;
    http::address listen;
    http::address to;
};

struct deployment {
    std::vector<process_entry> processes;
    std::vector<link_entry> links;

    // Throws std::invalid_argument if there is no such process.
    const process_entry& find(std::string_view name) const;
};

// Reads processes.json and links.json of a deployment's folder; throws
// std::runtime_error.
deployment read_deployment(const std::string& folder);

} // namespace cicadaport::scenario
