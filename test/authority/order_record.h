// Finds conflicts in the orders that an engine recorded.
#pragma once

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace cicadaport::authority::testing {

// Returns the ids of conflicting orders: those that arrived during a different
// order, and accepted ones that arrived again after a different order was accepted.
inline std::vector<std::string> conflicting_orders(const nlohmann::json& record)
{
    std::vector<std::string> conflicts;
    std::set<std::string> superseded;
    std::string last;
    for (const auto& each : record.at("orders")) {
        const auto id = each.at("order_id").get<std::string>();
        if (each.at("conflicting").get<bool>()) {
            conflicts.push_back(id);
        }
        if (!each.at("accepted").get<bool>()) {
            continue;
        }
        if (superseded.contains(id)) {
            conflicts.push_back(id);
        }
        if (!last.empty() && last != id) {
            superseded.insert(last);
        }
        last = id;
    }
    return conflicts;
}

} // namespace cicadaport::authority::testing
