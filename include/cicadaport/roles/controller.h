// The role controller: one change at a time, floors kept, deaths survived.
//
// The control process that has authority over a model's engines feeds it what
// the engines report and carries out what it proposes. It is pure and starts
// empty: a new holder of the authority first settles the outstanding order and
// then makes a controller, which sees that order's engine as changing.
#pragma once

#include "cicadaport/configuration/document.h"
#include "cicadaport/roles/policy.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace cicadaport::roles {

// One engine as its last report shows it.
struct engine_observation {
    std::string name;
    routing::engine_role role = routing::engine_role::mixed;
    // Whether it answers and is not leaving.
    bool alive = true;
    bool changing = false;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t decode_tokens = 0;
    // Whether it may be taken for a change: not if an operator fixed its role
    // or if too few others would serve its model meanwhile.
    bool may_change = true;
};

// An order that the controller asks for.
struct role_order {
    std::string engine;
    routing::engine_role role = routing::engine_role::mixed;
    explanation why;
};

// What came of the last order.
enum class change_outcome { none, running, applied, engine_lost, timed_out };

std::string_view to_string(change_outcome outcome) noexcept;

// How near the controller is to a change.
struct standing {
    // Requests lost so far that a change to this role would have kept.
    double lost_to_prefill = 0;
    double lost_to_decode = 0;
    // Why a change that the policy wants is not made; empty if it wants none.
    std::string held_back;
};

// Not thread safe: it belongs to the holder of the authority.
//
//   role_controller controller{document.roles};
//   if (const auto order = controller.observe(engines, offered, clock::now())) ...
class role_controller {
public:
    explicit role_controller(const configuration::engine_roles& settings);

    // Takes the present observations and returns an order to carry out, if a
    // role should change. The engine is to be drained before it is ordered.
    std::optional<role_order> observe(std::span<const engine_observation> engines,
                                      const offered_work& offered, clock::time_point now);

    // What came of the last order that was returned.
    change_outcome last_outcome() const noexcept { return m_outcome; }

    // How near it is to a change, as of the last observation.
    const standing& present() const noexcept { return m_standing; }

    // A change that did not begin, or left the engine in its old role, within
    // this many times the configured time is given up. One that an engine is
    // still busy with is waited for.
    static constexpr int patience = 4;

private:
    using policy = std::variant<never_change, threshold_policy, rent_or_buy_policy>;

    struct pending_change {
        std::string engine;
        routing::engine_role role;
        clock::time_point since;
    };

    void settle(std::span<const engine_observation> engines, clock::time_point now);
    fleet_observation summarize(std::span<const engine_observation> engines,
                                const offered_work& offered) const;
    void note_standing(std::span<const engine_observation> engines, const fleet_observation& seen);

    configuration::engine_roles m_settings;
    policy m_policy;
    std::optional<pending_change> m_pending;
    change_outcome m_outcome = change_outcome::none;
    standing m_standing;
};

} // namespace cicadaport::roles
