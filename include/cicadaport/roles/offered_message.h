// The message fields in which entry processes announce their offered load to the
// holders of leases.
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

// The load that the clients of one process offer to one model.
struct model_offer {
    std::string model;
    token_rates rates;
};

// Adds the offers to a process's status message. Each takes about 20 bytes plus the
// model's name. Offers below a minimum rate are left out. Thread safe if no other
// thread uses `out`.
void write_offers(std::span<const model_offer> offers, protocol::process_status& out);

// Returns the offers in `status`; none if the sender does not set the field.
std::vector<model_offer> read_offers(const protocol::process_status& status);

// Returns the sums by model over the live entry processes in `processes`. A process
// that has been silent for longer than `live_age_ms` is left out, because its clients
// have moved to other processes.
std::map<std::string, token_rates> sum_offers(std::span<const protocol::process_status> processes,
                                              std::uint32_t live_age_ms);

} // namespace cicadaport::roles
