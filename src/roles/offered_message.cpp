#include "cicadaport/roles/offered_message.h"

#include <google/protobuf/unknown_field_set.h>
#include <peer.pb.h>

#include <cmath>

namespace cicadaport::roles {
namespace {

// `repeated endpoint_work offered = 33` of process_status.
constexpr int offered_field = 33;
constexpr double requests_unit = 1e-3;

} // namespace

void tell_offered(std::span<const model_offer> offers, protocol::process_status& out)
{
    auto& fields = *out.GetReflection()->MutableUnknownFields(&out);
    for (const auto& each : offers) {
        protocol::endpoint_work told;
        told.set_endpoint(each.model);
        told.set_requests(
            static_cast<std::uint32_t>(std::lround(each.rates.requests / requests_unit)));
        told.set_prefill_tokens(static_cast<std::uint64_t>(std::llround(each.rates.prefill)));
        told.set_decode_tokens(static_cast<std::uint64_t>(std::llround(each.rates.output)));
        if (told.requests() > 0) {
            fields.AddLengthDelimited(offered_field, told.SerializeAsString());
        }
    }
}

std::vector<model_offer> told_offered(const protocol::process_status& status)
{
    std::vector<model_offer> out;
    const auto& fields = status.GetReflection()->GetUnknownFields(status);
    for (int i = 0; i < fields.field_count(); ++i) {
        const auto& field = fields.field(i);
        protocol::endpoint_work told;
        if (field.number() == offered_field &&
            field.type() == google::protobuf::UnknownField::TYPE_LENGTH_DELIMITED &&
            told.ParseFromString(field.length_delimited())) {
            const token_rates rates{told.requests() * requests_unit,
                                    static_cast<double>(told.prefill_tokens()),
                                    static_cast<double>(told.decode_tokens())};
            out.push_back({told.endpoint(), rates});
        }
    }
    return out;
}

std::map<std::string, token_rates> sum_offered(std::span<const protocol::process_status> processes,
                                               std::uint32_t live_age_ms)
{
    std::map<std::string, token_rates> out;
    for (const auto& status : processes) {
        if (status.kind() != "entry" || status.age_ms() > live_age_ms) {
            continue;
        }
        for (const auto& each : told_offered(status)) {
            out[each.model] += each.rates;
        }
    }
    return out;
}

} // namespace cicadaport::roles
