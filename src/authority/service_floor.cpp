#include "cicadaport/authority/service_floor.h"

#include <state.pb.h>

namespace cicadaport::authority {
namespace {

bool is_in_service(const fold::state& state, const std::string& endpoint)
{
    const auto& wishes = state.message().wishes();
    const auto& orders = state.message().orders();
    const auto wish = wishes.find(endpoint);
    const auto order = orders.find(endpoint);
    const bool drained = wish != wishes.end() && wish->second.drain();
    return !drained && (order == orders.end() || !order->second.has_intent());
}

} // namespace

bool may_leave_service(const fold::state& state, const configuration::endpoint& endpoint)
{
    std::uint32_t others = 0;
    for (const auto& each : state.document()->endpoints) {
        const bool other = each.serves == endpoint.serves && each.name != endpoint.name;
        others += other && is_in_service(state, each.name) ? 1 : 0;
    }
    const auto* model = state.document()->find_model(endpoint.serves);
    return model != nullptr && others >= model->least_replicas;
}

} // namespace cicadaport::authority
