#include "internal/role_view.h"

#include "cicadaport/authority/service_floor.h"

#include <nlohmann/json.hpp>
#include <state.pb.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace cicadaport::control {
namespace {

using nlohmann::json;

constexpr double shown_digits = 1e3;

double shown(double value)
{
    return std::round(value * shown_digits) / shown_digits;
}

json describe(const roles::role_counts& counts)
{
    return {{"mixed", counts.mixed}, {"prefill", counts.prefill}, {"decode", counts.decode}};
}

json describe(const roles::offered_work& work)
{
    return {{"requests_per_second", shown(work.requests_per_second)},
            {"prefill", shown(work.prefill)},
            {"decode", shown(work.decode)}};
}

json describe(const authority::role_change& change)
{
    const auto age = roles::clock::now() - change.begun;
    return {{"engine", change.engine},
            {"from", change.from},
            {"to", change.to},
            {"policy", change.why.policy},
            {"lost_requests", shown(change.why.lost_requests)},
            {"price_requests", shown(change.why.price_requests)},
            {"predicted_gain", shown(change.why.predicted_gain)},
            {"offered", describe(change.why.offered)},
            {"before", describe(change.why.before)},
            {"after", describe(change.why.after)},
            {"outcome", roles::to_string(change.outcome)},
            {"gained_requests", shown(change.gained_requests)},
            {"watched_s", shown(change.watched.count())},
            {"age_s", std::chrono::duration_cast<std::chrono::seconds>(age).count()}};
}

json describe(const authority::role_report& report)
{
    auto changes = json::array();
    for (const auto& each : report.changes) {
        changes.push_back(describe(each));
    }
    return {{"decided_here", true},
            {"policy", report.policy},
            {"price_requests", shown(report.price_requests)},
            {"offered", describe(report.offered)},
            {"serving", describe(report.present)},
            {"lost_to_prefill", shown(report.standing.lost_to_prefill)},
            {"lost_to_decode", shown(report.standing.lost_to_decode)},
            {"held_back", report.standing.held_back},
            {"changes", std::move(changes)}};
}

std::string ordered_role(const fold::state& state, const configuration::endpoint& endpoint)
{
    const auto& orders = state.message().orders();
    const auto found = orders.find(endpoint.name);
    return found != orders.end() && !found->second.role().empty() ? found->second.role()
                                                                  : endpoint.role;
}

// A wish that waits, and for what.
json describe_wishes(const fold::state& state)
{
    auto out = json::array();
    for (const auto& endpoint : state.document()->endpoints) {
        const auto& wishes = state.message().wishes();
        const auto wish = wishes.find(endpoint.name);
        const bool wished = wish != wishes.end() && !wish->second.role().empty();
        const auto role = ordered_role(state, endpoint);
        if (!wished || wish->second.role() == role) {
            continue;
        }
        const auto& orders = state.message().orders();
        const auto order = orders.find(endpoint.name);
        const bool outstanding = order != orders.end() && order->second.has_intent();
        const bool spare = authority::may_leave_service(state, endpoint);
        out.push_back({{"engine", endpoint.name},
                       {"role", role},
                       {"wish", wish->second.role()},
                       {"waits_for", outstanding ? "an outstanding order"
                                     : spare     ? "the lease holder"
                                                 : "a spare engine: least_replicas"}});
    }
    return out;
}

} // namespace

json describe_roles(const fold::state& state, std::span<const authority::role_report> here)
{
    std::set<std::string> partitions;
    for (const auto& each : state.document()->endpoints) {
        if (each.kind == configuration::endpoint_kind::engine) {
            partitions.insert(authority::partition_of(each));
        }
    }
    auto list = json::array();
    for (const auto& name : partitions) {
        const auto& leases = state.message().leases();
        const auto lease = leases.find(name);
        const bool held = lease != leases.end() && !lease->second.released();
        json one{{"partition", name},
                 {"policy", state.document()->roles.policy},
                 {"holder", held ? lease->second.holder() : ""},
                 {"decided_here", false}};
        const auto found = std::find_if(here.begin(), here.end(),
                                        [&](const auto& each) { return each.partition == name; });
        if (found != here.end()) {
            one.update(describe(*found));
        }
        list.push_back(std::move(one));
    }
    return {{"roles", std::move(list)}, {"wishes", describe_wishes(state)}};
}

} // namespace cicadaport::control
