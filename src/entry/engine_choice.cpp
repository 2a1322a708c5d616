#include "cicadaport/entry/engine_choice.h"

#include "cicadaport/entry/errors.h"
#include "internal/engine_decision.h"

namespace cicadaport::entry {
namespace {

using base::verdict;

std::vector<routing::candidate> allowed_candidates(const std::vector<routing::candidate>& all,
                                                   const endpoint_filter& filter)
{
    std::vector<routing::candidate> out;
    out.reserve(all.size());
    for (const auto& each : all) {
        if (filter.allows(each.endpoint->name)) {
            out.push_back(each);
        }
    }
    return out;
}

chosen_endpoint choose(const routing::view& view, const std::string& name,
                       const endpoint_filter& filter, routing::random_source& random)
{
    const auto among = allowed_candidates(view.candidates(name), filter);
    const auto* chosen = routing::two_random_choices{}.choose(among, random);
    if (chosen == nullptr) {
        throw request_failure{failure_kind::no_endpoint, verdict::not_run,
                              "no endpoint serves '" + name + "'", random_retry_after(random)};
    }
    return {chosen->endpoint->name,
            chosen->endpoint->address,
            in_flight_charge{chosen->load},
            0,
            false,
            {}};
}

} // namespace

chosen_endpoint choose_engine(const routing::view& view, const engine_request& wanted,
                              const endpoint_filter& filter, worker& own)
{
    const std::string model{wanted.model};
    if (view.document().find_model(model) == nullptr) {
        throw request_failure{failure_kind::unknown_model, verdict::not_run,
                              "no model '" + model + "'"};
    }
    if (own.decisions == nullptr) {
        return choose(view, model, filter, own.random);
    }
    return decide_engine(view, wanted, filter, own);
}

chosen_endpoint choose_replica(const routing::view& view, const std::string& service,
                               const endpoint_filter& filter, routing::random_source& random)
{
    return choose(view, service, filter, random);
}

std::chrono::milliseconds random_retry_after(routing::random_source& random)
{
    std::uniform_int_distribution<int> spread{1'000, 4'000};
    return std::chrono::milliseconds{spread(random)};
}

} // namespace cicadaport::entry
