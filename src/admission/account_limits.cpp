#include "cicadaport/admission/account_limits.h"

#include <algorithm>
#include <cmath>

namespace cicadaport::admission {
namespace {

std::chrono::milliseconds to_milliseconds(seconds value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value);
}

// Returns at least 1, so that even a small share admits one request at a time.
std::uint32_t process_limit(std::uint32_t limit, double share)
{
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(std::floor(limit * share)), 1);
}

} // namespace

bool token_bucket::try_consume(double amount, double rate, double burst, clock::time_point now)
{
    if (rate <= 0) {
        return true;
    }
    const auto elapsed = m_filled_at ? seconds{now - *m_filled_at}.count() : burst / rate;
    m_level = std::min(burst, m_level + std::max(elapsed, 0.0) * rate);
    m_filled_at = now;
    // A request larger than the burst passes if the bucket is full. The level then
    // becomes negative, so that the next request waits longer.
    if (m_level < std::min(amount, burst)) {
        return false;
    }
    m_level -= amount;
    return true;
}

seconds token_bucket::wait_for(double amount, double rate) const noexcept
{
    return rate <= 0 ? seconds{0} : seconds{std::max(amount - m_level, 0.0) / rate};
}

double process_share(std::size_t entry_processes) noexcept
{
    return 1.0 / static_cast<double>(std::max<std::size_t>(entry_processes, 1));
}

std::optional<rejection> account_limits::try_acquire(const configuration::caller& caller,
                                                     double tokens, double share,
                                                     clock::time_point now)
{
    const std::scoped_lock lock{m_mutex};
    auto& use = m_accounts[caller.account];
    const auto most = caller.concurrent_requests;
    if (most > 0 && use.running >= process_limit(most, share)) {
        return rejection{rejection_reason::concurrency, concurrency_retry_after};
    }
    const auto request_rate = caller.requests_per_second * share;
    const auto request_burst = std::max(request_rate * burst_time.count(), 1.0);
    if (!use.requests.try_consume(1, request_rate, request_burst, now)) {
        return rejection{rejection_reason::request_rate,
                         to_milliseconds(use.requests.wait_for(1, request_rate))};
    }
    const auto token_rate = caller.tokens_per_second * share;
    const auto token_burst = std::max(token_rate * burst_time.count(), 1.0);
    if (!use.tokens.try_consume(tokens, token_rate, token_burst, now)) {
        const auto wait = use.tokens.wait_for(std::min(tokens, token_burst), token_rate);
        return rejection{rejection_reason::token_rate, to_milliseconds(wait)};
    }
    ++use.running;
    return std::nullopt;
}

void account_limits::release(const std::string& account)
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end() && found->second.running > 0) {
        --found->second.running;
    }
}

} // namespace cicadaport::admission
