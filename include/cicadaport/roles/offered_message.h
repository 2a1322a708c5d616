// How entry processes tell the holders of leases what callers ask for.
#pragma once

#include "cicadaport/roles/capacity.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace cicadaport::protocol {
class process_status;
}

namespace cicadaport::roles {

// What the callers of one process ask of one model.
struct model_offer {
    std::string model;
    token_rates rates;
};

// Adds the offers to what a process tells of itself; about 20 bytes and the
// model's name for each. Offers too small to tell are left out. Thread safety:
// any thread, but for `out`.
void tell_offered(std::span<const model_offer> offers, protocol::process_status& out);

// Returns what `status` tells; nothing if its sender knows no such field.
std::vector<model_offer> told_offered(const protocol::process_status& status);

// Returns the sums by model over the live entry processes among `processes`.
// One that was silent for longer than `live_age_ms` is left out: its callers
// have gone to others.
std::map<std::string, token_rates> sum_offered(std::span<const protocol::process_status> processes,
                                               std::uint32_t live_age_ms);

} // namespace cicadaport::roles
