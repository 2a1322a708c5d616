#include "cicadaport/scenario/deployment.h"

#include "cicadaport/yaml/reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicadaport::scenario {
using nlohmann::json;

namespace {

std::optional<http::address> address_in(const json& object, const char* key)
{
    if (!object.contains(key)) {
        return std::nullopt;
    }
    return http::parse_address(object.at(key).get<std::string>());
}

} // namespace

const process_entry& deployment::find(std::string_view name) const
{
    const auto found = std::ranges::find(processes, name, &process_entry::name);
    if (found == processes.end()) {
        throw std::invalid_argument{"no process '" + std::string{name} + "' in the deployment"};
    }
    return *found;
}

deployment read_deployment(const std::string& folder)
{
    deployment out;
    for (const auto& each : json::parse(yaml::read_file(folder + "/processes.json"))) {
        out.processes.push_back({each.at("name"), each.at("program"), each.at("arguments"),
                                 address_in(each, "address"), address_in(each, "admin")});
    }
    for (const auto& each : json::parse(yaml::read_file(folder + "/links.json"))) {
        out.links.push_back({each.at("name"),
                             http::parse_address(each.at("listen").get<std::string>()),
                             http::parse_address(each.at("to").get<std::string>())});
    }
    return out;
}

} // namespace cicadaport::scenario
