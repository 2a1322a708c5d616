// When engines change their roles to follow the mix.
//
// A policy looks at the work offered and says which way one engine should go.
// Policies are pure: time and observations are passed in.
#pragma once

#include "cicadaport/roles/capacity.h"

#include <chrono>
#include <concepts>
#include <optional>
#include <string>

namespace cicadaport::roles {

using clock = std::chrono::steady_clock;
using seconds = std::chrono::duration<double>;

// The two ways in which one engine's role may change. Mixed engines stay as
// the configuration made them.
enum class direction { to_prefill, to_decode };

std::string_view to_string(direction value) noexcept;

// Why a change was proposed, for operators.
struct explanation {
    std::string policy;
    // Requests of goodput lost so far that the new roles would have kept.
    double lost_requests = 0;
    double price_requests = 0;
    // Requests per second that the change is expected to win.
    double predicted_gain = 0;
    offered_work offered;
    role_counts before;
    role_counts after;
};

// What a policy sees of the fleet.
struct fleet_observation {
    role_counts roles;
    offered_work offered;
    // Whether a change each way keeps every role's floor.
    bool may_go_to_prefill = false;
    bool may_go_to_decode = false;
};

struct policy_verdict {
    direction which = direction::to_prefill;
    explanation why;
};

// A rule that says when to change a role.
template <typename Rule>
concept role_policy = requires(Rule rule, const fleet_observation& seen, clock::time_point now)
{
    requires std::same_as<decltype(rule.decide(seen, now)), std::optional<policy_verdict>>;
    // The direction in which it would change now if floors let it.
    requires std::same_as<decltype(rule.wants(seen)), std::optional<direction>>;
    // Requests lost so far that a change this way would have kept.
    requires std::same_as<decltype(rule.lost(direction::to_prefill)), double>;
};

// Returns the roles after one engine went `which` way.
role_counts after_change(role_counts roles, direction which) noexcept;

// Roles stay as they are.
struct never_change {
    std::optional<policy_verdict> decide(const fleet_observation&, clock::time_point) const
    {
        return std::nullopt;
    }
    std::optional<direction> wants(const fleet_observation&) const { return std::nullopt; }
    double lost(direction) const { return 0; }
};

// Changes when one role is loaded much more than the other for some time.
class threshold_policy {
public:
    std::optional<policy_verdict> decide(const fleet_observation& seen, clock::time_point now);
    std::optional<direction> wants(const fleet_observation& seen) const;
    double lost(direction) const { return 0; }

    // A role is overloaded above the upper, and may give up an engine below
    // the lower utilization.
    static constexpr double upper_utilization = 0.9;
    static constexpr double lower_utilization = 0.7;
    static constexpr seconds hold_time{2};

private:
    std::optional<direction> m_wanted;
    clock::time_point m_wanted_since;
};

// Changes once the goodput already lost under the present roles, which the new
// roles would have kept, exceeds the price of a change.
//
// For each direction the loss is summed up and what the present roles kept
// better is taken off, never below zero, so that a mix that swings back in time
// costs no change. Each change is preceded by at least its price of loss, and
// the sums start anew after it: over any time, changes times price is at most
// the goodput lost, whatever the mix does.
class rent_or_buy_policy {
public:
    explicit rent_or_buy_policy(double change_price_requests) : m_price{change_price_requests} {}

    std::optional<policy_verdict> decide(const fleet_observation& seen, clock::time_point now);
    std::optional<direction> wants(const fleet_observation& seen) const;
    double lost(direction which) const
    {
        return which == direction::to_prefill ? m_lost_to_prefill : m_lost_to_decode;
    }

    // Longer gaps between observations count as this long: nobody knows what
    // was offered in between.
    static constexpr seconds longest_step{2};

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
