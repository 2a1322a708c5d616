// Decides the lease holder's next step for the orders of one engine.
//
// Does no I/O. Orders from the role controller and from operators take the same
// steps: the intent is written to the log, all processes stop sending new work to
// the engine, running streams end, the order is sent, its effect is observed, and
// the settlement is written to the log. A new lease holder that finds an
// outstanding intent completes it under its own fencing number; no process sends
// a different order before that.
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

// The state that an engine reports.
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

// All inputs of `next_order_step()`.
struct order_situation {
    // The id of the order whose intent is on the log and not settled; may be
    // empty.
    std::string outstanding_order;
    std::optional<engine_record> observed;
    // Whether the engine needs a new order.
    bool wanted = false;
    // Whether a different order may be sent: no earlier order can still arrive at
    // the engine, and no backoff after a failed order is in progress.
    bool new_order_allowed = false;
    // Whether enough other engines serve the model during the change.
    bool has_spare = false;
    // Whether no process sends work to the engine and no work runs there.
    bool drained = false;
};

order_step next_order_step(const order_situation& situation);

// Returns the name of the lease that covers `endpoint`. There is one lease for
// each model and region, so that no single holder is responsible for the whole
// fleet.
std::string partition_of(const configuration::endpoint& endpoint);

// Returns the order that brings the engine to its wanted role or model version,
// without an order id; nothing if the engine needs no order. The wanted role is,
// in order of precedence: the operator's, the controller's `proposed_role` (empty
// for none), the role of the last order, the configured role. `wish` and `orders`
// may be null.
std::optional<protocol::endpoint_order>
wanted_order(const configuration::endpoint& endpoint, const configuration::document& document,
             const protocol::endpoint_wish_state* wish, const protocol::endpoint_orders* orders,
             const engine_record& observed, const std::string& proposed_role = {});

} // namespace cicadaport::authority
