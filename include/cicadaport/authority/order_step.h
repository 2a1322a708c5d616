// What the lease holder does next about one engine's orders.
//
// Pure. Orders of the controller and of operators take the same path: intent
// on the log, every process stops new work, running streams end, the order is
// sent, its effect is observed, the settlement goes on the log. A successor
// finds the intent outstanding and finishes it under its own fencing number;
// nobody sends a different order before that.
//
// Thread safety: all functions may be called from any thread.
#pragma once

#include "cicadaport/configuration/document.h"

#include <optional>
#include <string>

namespace cicadaport::protocol {
class endpoint_order;
class endpoint_orders;
class endpoint_wish_state;
} // namespace cicadaport::protocol

namespace cicadaport::authority {

// What an engine says of itself and of its orders.
struct engine_record {
    std::string role;
    std::string model;
    std::string version;
    bool changing = false;
    std::string changing_order;
    std::string last_applied_order;
    std::string last_failed_order;
};

enum class order_step { none, announce, wait, wait_for_drain, send, settle_applied, settle_failed };

// Everything the next step follows from.
struct order_situation {
    // The intent that is on the log and not settled.
    std::string outstanding_order;
    std::optional<engine_record> observed;
    // Whether a different order is wanted.
    bool wanted = false;
    // Whether no earlier order can still arrive at the engine.
    bool quiet = false;
    // Whether enough other engines serve the model meanwhile.
    bool spare = false;
    // Whether no process sends work to the engine and none runs there.
    bool drained = false;
};

order_step next_order_step(const order_situation& now);

// Returns the name of the lease that covers `endpoint`: one for each model and
// region, so that no single holder stands for the fleet.
std::string partition_of(const configuration::endpoint& endpoint);

// Returns the order that would make the engine what it should be, without an
// id, or nothing. An operator's role goes before the one that the controller
// proposed (empty: none), that before the role of the last order, and that
// before the configuration's. `wish` and `orders` may be null.
std::optional<protocol::endpoint_order>
wanted_order(const configuration::endpoint& endpoint, const configuration::document& document,
             const protocol::endpoint_wish_state* wish, const protocol::endpoint_orders* orders,
             const engine_record& observed, const std::string& proposed_role = {});

} // namespace cicadaport::authority
