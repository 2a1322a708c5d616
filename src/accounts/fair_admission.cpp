#include "cicadaport/accounts/fair_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace cicadaport::accounts {
namespace {

// An account that has asked for nothing for this many windows is forgotten; less than a thousandth
// of its work is left then.
constexpr double forgotten_after_windows = 7;
// Rounding errors must not put the account that holds all capacity over its share.
constexpr double rounding_margin = 1 + 1e-9;

// Returns the level up to which the demands can be met, so that together they are met up to
// `capacity`; infinite if they can all be met whole.
double fair_level(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    auto left = capacity;
    auto count = demands.size();
    for (const auto each : demands) {
        const auto equal_part = left / static_cast<double>(count);
        if (each > equal_part) {
            return equal_part;
        }
        left -= each;
        --count;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace

void fair_admission::update(record& of, time_point now) const
{
    using seconds = std::chrono::duration<double>;
    const auto factor = std::exp(-std::max(0.0, seconds{now - of.updated} / m_window));
    of.demanded *= factor;
    of.admitted *= factor;
    of.admitted_squares *= factor;
    of.updated = std::max(of.updated, now);
}

fair_admission::record& fair_admission::updated_record(const std::string& account, time_point now)
{
    auto& out = m_accounts[account];
    update(out, now);
    return out;
}

void fair_admission::record_demand(const std::string& account, double work, time_point now)
{
    updated_record(account, now).demanded += work;
}

void fair_admission::record_admission(const std::string& account, double work, time_point now)
{
    auto& admitted = updated_record(account, now);
    admitted.admitted += work;
    admitted.admitted_squares += work * work;
}

void fair_admission::refresh(time_point now)
{
    m_refreshed = now;
    std::erase_if(m_accounts, [this, now](const auto& each) {
        return now - each.second.updated > forgotten_after_windows * m_window;
    });
    std::vector<double> demands;
    demands.reserve(m_accounts.size());
    double capacity = 0;
    for (auto& [name, each] : m_accounts) {
        // A copy, since an account that asks for nothing must be forgotten.
        auto current = each;
        update(current, now);
        demands.push_back(current.demanded);
        capacity += current.admitted;
    }
    const auto share = fair_level(std::move(demands), capacity) * rounding_margin;
    for (auto& [name, each] : m_accounts) {
        auto current = each;
        update(current, now);
        // In an exponential window, half of the sum of the squares estimates the variance.
        const auto deviation = std::sqrt(current.admitted_squares / 2);
        each.is_over_share = current.admitted - m_margin * deviation > share;
    }
}

bool fair_admission::is_over_share(const std::string& account, time_point now)
{
    if (now - m_refreshed >= refresh_interval) {
        refresh(now);
    }
    const auto found = m_accounts.find(account);
    return found != m_accounts.end() && found->second.is_over_share;
}

} // namespace cicadaport::accounts
