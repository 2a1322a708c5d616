#include "cicadaport/roles/offered_message.h"

#include <peer.pb.h>

namespace cicadaport::roles {
namespace {

// Offers with fewer requests per second are left out.
constexpr double min_offered_requests = 1e-3;

} // namespace

void write_offers(std::span<const model_offer> offers, protocol::process_status& out)
{
    for (const auto& each : offers) {
        if (each.rates.requests < min_offered_requests) {
            continue;
        }
        auto& offer = *out.add_offered();
        offer.set_model(each.model);
        offer.set_requests_per_second(static_cast<float>(each.rates.requests));
        offer.set_prefill_tokens_per_second(static_cast<float>(each.rates.prefill));
        offer.set_output_tokens_per_second(static_cast<float>(each.rates.output));
    }
}

std::vector<model_offer> read_offers(const protocol::process_status& status)
{
    std::vector<model_offer> out;
    for (const auto& offer : status.offered()) {
        const token_rates rates{offer.requests_per_second(), offer.prefill_tokens_per_second(),
                                offer.output_tokens_per_second()};
        out.push_back({offer.model(), rates});
    }
    return out;
}

std::map<std::string, token_rates> sum_offers(std::span<const protocol::process_status> processes,
                                              std::uint32_t live_age_ms)
{
    std::map<std::string, token_rates> out;
    for (const auto& status : processes) {
        if (status.kind() != "entry" || status.age_ms() > live_age_ms) {
            continue;
        }
        for (const auto& each : read_offers(status)) {
            out[each.model] += each.rates;
        }
    }
    return out;
}

} // namespace cicadaport::roles
