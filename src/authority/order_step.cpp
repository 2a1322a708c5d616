#include "cicadaport/authority/order_step.h"

#include <state.pb.h>

namespace cicadaport::authority {
namespace {

order_step step_for_outstanding(const order_situation& situation)
{
    if (!situation.observed) {
        return order_step::wait;
    }
    if (situation.observed->last_applied_order == situation.outstanding_order) {
        return order_step::settle_applied;
    }
    if (situation.observed->changing) {
        return order_step::wait;
    }
    if (situation.observed->last_failed_order == situation.outstanding_order) {
        return order_step::settle_failed;
    }
    return situation.drained ? order_step::send : order_step::wait_for_drain;
}

std::string wanted_role(const configuration::endpoint& endpoint,
                        const protocol::endpoint_wish_state* wish,
                        const protocol::endpoint_orders* orders, const std::string& proposed)
{
    if (wish != nullptr && !wish->role().empty()) {
        return wish->role();
    }
    if (!proposed.empty()) {
        return proposed;
    }
    return orders != nullptr && !orders->role().empty() ? orders->role() : endpoint.role;
}

} // namespace

order_step next_order_step(const order_situation& situation)
{
    if (!situation.outstanding_order.empty()) {
        return step_for_outstanding(situation);
    }
    const bool free =
        situation.observed && !situation.observed->changing && situation.new_order_allowed;
    return free && situation.wanted && situation.has_spare ? order_step::announce
                                                           : order_step::none;
}

std::string partition_of(const configuration::endpoint& endpoint)
{
    return endpoint.serves + "/" + (endpoint.region.empty() ? "default" : endpoint.region);
}

std::optional<protocol::endpoint_order>
wanted_order(const configuration::endpoint& endpoint, const configuration::document& document,
             const protocol::endpoint_wish_state* wish, const protocol::endpoint_orders* orders,
             const engine_record& observed, const std::string& proposed_role)
{
    protocol::endpoint_order order;
    order.set_endpoint(endpoint.name);
    const auto role = wanted_role(endpoint, wish, orders, proposed_role);
    if (observed.role != role) {
        order.set_set_role(role);
        return order;
    }
    const auto* model = document.find_model(endpoint.serves);
    if (model != nullptr && (observed.model != model->name || observed.version != model->version)) {
        order.mutable_load_model()->set_model(model->name);
        order.mutable_load_model()->set_version(model->version);
        return order;
    }
    return std::nullopt;
}

} // namespace cicadaport::authority
