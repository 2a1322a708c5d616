#include "cicadaport/roles/policy.h"

#include <algorithm>

namespace cicadaport::roles {
namespace {

double gain_of(const fleet_observation& seen, direction which)
{
    return servable_requests(after_change(seen.roles, which), seen.offered) -
           servable_requests(seen.roles, seen.offered);
}

policy_decision make_decision(std::string policy, const fleet_observation& seen, direction which,
                              double lost, double price)
{
    const auto after = after_change(seen.roles, which);
    return {
        which,
        {std::move(policy), lost, price, gain_of(seen, which), seen.offered, seen.roles, after}};
}

bool can_change(const fleet_observation& seen, direction which)
{
    return which == direction::to_prefill ? seen.can_change_to_prefill : seen.can_change_to_decode;
}

// Returns the direction that the utilization of the roles requires, if any.
std::optional<direction> wanted_direction(const fleet_observation& seen)
{
    const double prefill_engines = seen.roles.prefill + seen.roles.mixed;
    const double decode_engines = seen.roles.decode + seen.roles.mixed;
    const auto prefill = seen.offered.prefill / std::max(prefill_engines, 1.0);
    const auto decode = seen.offered.decode / std::max(decode_engines, 1.0);
    if (prefill > threshold_policy::upper_utilization &&
        decode < threshold_policy::lower_utilization) {
        return direction::to_prefill;
    }
    if (decode > threshold_policy::upper_utilization &&
        prefill < threshold_policy::lower_utilization) {
        return direction::to_decode;
    }
    return std::nullopt;
}

} // namespace

std::string_view to_string(direction value) noexcept
{
    return value == direction::to_prefill ? "prefill" : "decode";
}

role_counts after_change(role_counts roles, direction which) noexcept
{
    auto& from = which == direction::to_prefill ? roles.decode : roles.prefill;
    auto& into = which == direction::to_prefill ? roles.prefill : roles.decode;
    if (from > 0) {
        --from;
        ++into;
    }
    return roles;
}

std::optional<direction> threshold_policy::wants(const fleet_observation& seen) const
{
    return wanted_direction(seen);
}

std::optional<policy_decision> threshold_policy::decide(const fleet_observation& seen,
                                                        clock::time_point now)
{
    const auto wanted = wanted_direction(seen);
    if (wanted != m_wanted) {
        m_wanted = wanted;
        m_wanted_since = now;
    }
    if (!wanted || !can_change(seen, *wanted) || now - m_wanted_since < hold_time) {
        return std::nullopt;
    }
    m_wanted.reset();
    return make_decision("threshold", seen, *wanted, 0, 0);
}

std::optional<direction> rent_or_buy_policy::wants(const fleet_observation& seen) const
{
    const auto which =
        m_lost_to_prefill >= m_lost_to_decode ? direction::to_prefill : direction::to_decode;
    // Losses of an earlier mix do not justify a change without a gain now.
    if (lost(which) < m_price || gain_of(seen, which) <= 0) {
        return std::nullopt;
    }
    return which;
}

std::optional<policy_decision> rent_or_buy_policy::decide(const fleet_observation& seen,
                                                          clock::time_point now)
{
    const auto elapsed = m_last ? std::min(seconds{now - *m_last}, max_step) : seconds{0};
    m_last = now;
    const auto add = [&](double& sum, direction which) {
        sum = std::max(sum + gain_of(seen, which) * elapsed.count(), 0.0);
    };
    add(m_lost_to_prefill, direction::to_prefill);
    add(m_lost_to_decode, direction::to_decode);
    const auto which = wants(seen);
    if (!which || !can_change(seen, *which)) {
        return std::nullopt;
    }
    const auto paid = lost(*which);
    m_lost_to_prefill = 0;
    m_lost_to_decode = 0;
    // The load offered until the change is complete does not count as a loss.
    m_last.reset();
    return make_decision("rent_or_buy", seen, *which, paid, m_price);
}

} // namespace cicadaport::roles
