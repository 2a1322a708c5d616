// Policies for changing engine roles as the mix of prefill and decode changes.
//
// A policy compares the offered work with the roles and decides whether one engine
// changes its role. Policies do no I/O: time and observations are passed in.
#pragma once

#include "cicadaport/roles/capacity.h"

#include <chrono>
#include <concepts>
#include <optional>
#include <string>

namespace cicadaport::roles {

using clock = std::chrono::steady_clock;
using seconds = std::chrono::duration<double>;

// The two possible role changes of an engine. Mixed engines keep their configured
// role.
enum class direction { to_prefill, to_decode };

std::string_view to_string(direction value) noexcept;

// The reasons for a change, shown to operators.
struct explanation {
    std::string policy;
    // Requests lost so far that the new roles would have served.
    double lost_requests = 0;
    double price_requests = 0;
    // Additional requests per second predicted after the change.
    double predicted_gain = 0;
    offered_work offered;
    role_counts before;
    role_counts after;
};

// The state of the fleet that a policy evaluates.
struct fleet_observation {
    role_counts roles;
    offered_work offered;
    // Whether a change in this direction keeps the minimum number of engines in each
    // role and an engine is available for it.
    bool can_change_to_prefill = false;
    bool can_change_to_decode = false;
};

struct policy_decision {
    direction which = direction::to_prefill;
    explanation why;
};

// A rule that decides when to change a role.
template <typename Rule>
concept role_policy = requires(Rule rule, const fleet_observation& seen, clock::time_point now)
{
    requires std::same_as<decltype(rule.decide(seen, now)), std::optional<policy_decision>>;
    // The direction in which the policy would change a role now if that were allowed.
    requires std::same_as<decltype(rule.wants(seen)), std::optional<direction>>;
    // Requests lost so far that a change in this direction would have served.
    requires std::same_as<decltype(rule.lost(direction::to_prefill)), double>;
};

// Returns the roles after one engine changed in direction `which`.
role_counts after_change(role_counts roles, direction which) noexcept;

// Never changes roles.
struct never_change {
    std::optional<policy_decision> decide(const fleet_observation&, clock::time_point) const
    {
        return std::nullopt;
    }
    std::optional<direction> wants(const fleet_observation&) const { return std::nullopt; }
    double lost(direction) const { return 0; }
};

// Changes a role if one role is overloaded and the other has spare capacity for
// `hold_time`.
class threshold_policy {
public:
    std::optional<policy_decision> decide(const fleet_observation& seen, clock::time_point now);
    std::optional<direction> wants(const fleet_observation& seen) const;
    double lost(direction) const { return 0; }

    // A role is overloaded above the upper utilization. Below the lower utilization it
    // can give up an engine.
    static constexpr double upper_utilization = 0.9;
    static constexpr double lower_utilization = 0.7;
    static constexpr seconds hold_time{2};

private:
    std::optional<direction> m_wanted;
    clock::time_point m_wanted_since;
};

// Changes a role once the goodput lost under the current roles, which the new roles
// would have served, reaches the price of a change (the rent-or-buy rule of ski
// rental).
//
// For each direction the sum grows while the new roles would serve more requests and
// shrinks, but not below zero, while the current roles serve more. A mix that soon
// changes back thus causes no change. Each change follows a loss of at least its
// price, and the sums are reset after it. Over any period, the number of changes times
// the price is at most the goodput lost, for any sequence of mixes.
class rent_or_buy_policy {
public:
    explicit rent_or_buy_policy(double change_price_requests) : m_price{change_price_requests} {}

    std::optional<policy_decision> decide(const fleet_observation& seen, clock::time_point now);
    std::optional<direction> wants(const fleet_observation& seen) const;
    double lost(direction which) const
    {
        return which == direction::to_prefill ? m_lost_to_prefill : m_lost_to_decode;
    }

    // Longer gaps between observations count as this long, because the load offered in
    // a gap is unknown.
    static constexpr seconds max_step{2};

private:
    double m_price;
    double m_lost_to_prefill = 0;
    double m_lost_to_decode = 0;
    std::optional<clock::time_point> m_last;
};

static_assert(role_policy<never_change>);
static_assert(role_policy<threshold_policy>);
static_assert(role_policy<rent_or_buy_policy>);

} // namespace cicadaport::roles
