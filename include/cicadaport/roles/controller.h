// The role controller decides which engine changes its role, and when.
//
// It allows one change at a time, keeps the minimum number of engines in each role
// and tolerates the loss of an engine during a change. The control process that has
// authority over a model's engines passes it the engines' reports and carries out
// its orders. The controller does no I/O and starts without state: a new holder of
// the authority first settles the outstanding order and then creates a controller,
// which sees that order's engine as changing.
#pragma once

#include "cicadaport/configuration/document.h"
#include "cicadaport/roles/policy.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace cicadaport::roles {

// The state of one engine in its last report.
struct engine_observation {
    std::string name;
    routing::engine_role role = routing::engine_role::mixed;
    // Whether the engine responds and is not shutting down.
    bool alive = true;
    bool changing = false;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t decode_tokens = 0;
    // Whether its role may change. False if an operator fixed the role, or if too few
    // other engines would serve the model during the change.
    bool can_change = true;
};

// An order to change the role of an engine.
struct role_order {
    std::string engine;
    routing::engine_role role = routing::engine_role::mixed;
    explanation why;
};

// The outcome of the last order.
enum class change_outcome { none, running, applied, engine_lost, timed_out };

std::string_view to_string(change_outcome outcome) noexcept;

// The progress of the controller towards its next change.
struct change_progress {
    // Requests lost so far that a change to this role would have served.
    double lost_to_prefill = 0;
    double lost_to_decode = 0;
    // The reason why a change that the policy wants is not made; empty if it wants
    // none or the change is possible.
    std::string held_back;
};

// Owned by the holder of the authority. Not thread safe.
//
//   role_controller controller{document.roles};
//   if (const auto order = controller.observe(engines, offered, clock::now())) ...
class role_controller {
public:
    explicit role_controller(const configuration::engine_roles& settings);

    // Evaluates the current observations and returns an order if a role should
    // change. The engine must be drained before the order is sent.
    std::optional<role_order> observe(std::span<const engine_observation> engines,
                                      const offered_work& offered, clock::time_point now);

    // The outcome of the last returned order.
    change_outcome last_outcome() const noexcept { return m_outcome; }

    // The progress towards the next change, as of the last observation.
    const change_progress& progress() const noexcept { return m_change_progress; }

    // A change times out after this multiple of the configured change time if it did
    // not begin or left the engine in its old role. A change that the engine still
    // reports as running does not time out.
    static constexpr int change_timeout_factor = 4;

private:
    using policy = std::variant<never_change, threshold_policy, rent_or_buy_policy>;

    struct pending_change {
        std::string engine;
        routing::engine_role role;
        clock::time_point since;
    };

    void update_pending_change(std::span<const engine_observation> engines, clock::time_point now);
    fleet_observation summarize(std::span<const engine_observation> engines,
                                const offered_work& offered) const;
    void update_change_progress(std::span<const engine_observation> engines,
                                const fleet_observation& seen);

    configuration::engine_roles m_settings;
    policy m_policy;
    std::optional<pending_change> m_pending;
    change_outcome m_outcome = change_outcome::none;
    change_progress m_change_progress;
};

} // namespace cicadaport::roles
