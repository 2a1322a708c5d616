#include "cicadaport/duties/usage_ledger.h"

#include <algorithm>
#include <limits>

namespace cicadaport::duties {
namespace {

// Windows that are further away from the present one are not taken from other hosts, so that a
// wrong clock can't fill the memory.
constexpr std::uint64_t max_window_distance = 8;

std::uint64_t sum(const account_counts& counts)
{
    std::uint64_t out = 0;
    for (const auto& [account, runs] : counts) {
        out += runs;
    }
    return out;
}

} // namespace

std::uint64_t usage_ledger::window_at(time_of_day when) const
{
    return static_cast<std::uint64_t>(when.time_since_epoch() / m_window_length);
}

time_of_day usage_ledger::end_of(std::uint64_t window) const
{
    return time_of_day{m_window_length * static_cast<std::int64_t>(window + 1)};
}

void usage_ledger::record_run(const std::string& account, time_point began)
{
    if (account.empty() || !is_enabled()) {
        return;
    }
    const auto when = m_clock.at(began);
    if (!when) {
        ++m_late_runs;
        return;
    }
    const auto window = window_at(*when);
    if (m_closed && window <= *m_closed) {
        ++m_late_runs;
        return;
    }
    ++m_own[window][account];
}

std::uint64_t usage_ledger::own_runs(std::uint64_t window) const
{
    const auto found = m_own.find(window);
    return found != m_own.end() ? sum(found->second) : 0;
}

bool usage_ledger::must_announce(std::uint64_t window, std::uint64_t recipient) const
{
    const auto runs = own_runs(window);
    if (runs == 0) {
        return false;
    }
    const auto receipts = m_receipts.find(window);
    if (receipts == m_receipts.end()) {
        return true;
    }
    const auto known = receipts->second.find(recipient);
    return known == receipts->second.end() || known->second < runs;
}

void usage_ledger::handle_receipt(std::uint64_t recipient, std::uint64_t window, std::uint64_t runs)
{
    if (m_own.contains(window)) {
        auto& known = m_receipts[window][recipient];
        known = std::max(known, runs);
    }
}

std::uint32_t usage_ledger::number_of(const std::string& account)
{
    const auto [found, added] =
        m_numbers.try_emplace(account, static_cast<std::uint32_t>(m_names.size()));
    if (added) {
        m_names.push_back(account);
    }
    return found->second;
}

std::optional<std::uint64_t> usage_ledger::record_announced(std::uint64_t host,
                                                            std::uint64_t window,
                                                            const account_counts& counts,
                                                            time_of_day now)
{
    const auto present = window_at(now);
    if ((m_closed && window <= *m_closed) || window + max_window_distance < present ||
        window > present + max_window_distance) {
        return std::nullopt;
    }
    auto& known = m_announced[window][host];
    for (const auto& [account, runs] : counts) {
        const auto number = number_of(account);
        const auto bounded = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(runs, std::numeric_limits<std::uint32_t>::max()));
        const auto found = std::lower_bound(
            known.begin(), known.end(), number,
            [](const count& left, std::uint32_t right) { return left.account < right; });
        if (found != known.end() && found->account == number) {
            found->runs = std::max(found->runs, bounded);
        }
        else {
            known.insert(found, {number, bounded});
        }
    }
    std::uint64_t out = 0;
    for (const auto& each : known) {
        out += each.runs;
    }
    return out;
}

account_counts usage_ledger::total(std::uint64_t window) const
{
    account_counts out;
    if (const auto own = m_own.find(window); own != m_own.end()) {
        out = own->second;
    }
    if (const auto announced = m_announced.find(window); announced != m_announced.end()) {
        for (const auto& [host, counts] : announced->second) {
            for (const auto& each : counts) {
                if (each.runs > 0) {
                    out[m_names[each.account]] += each.runs;
                }
            }
        }
    }
    return out;
}

std::size_t usage_ledger::host_count(std::uint64_t window) const
{
    const auto announced = m_announced.find(window);
    return (announced != m_announced.end() ? announced->second.size() : 0) + m_own.count(window);
}

void usage_ledger::close(std::uint64_t last)
{
    if (m_closed && last <= *m_closed) {
        return;
    }
    m_closed = last;
    const auto is_closed = [last](const auto& each) { return each.first <= last; };
    std::erase_if(m_own, is_closed);
    std::erase_if(m_receipts, is_closed);
    std::erase_if(m_announced, is_closed);
    if (m_announced.empty() && !m_names.empty()) {
        // Names of removed accounts must not accumulate. With open windows they are in use.
        m_names.clear();
        m_numbers.clear();
    }
}

} // namespace cicadaport::duties
