// Limits of caller accounts, each process with its share of them.
#pragma once

#include "cicadaport/admission/admission.h"
#include "cicadaport/configuration/document.h"

#include <map>
#include <mutex>
#include <string>

namespace cicadaport::admission {

// Fills at a steady rate up to a burst. Time is passed in. Not thread safe.
class token_bucket {
public:
    // Takes `amount` if the bucket holds it. With `rate` 0 there is no limit.
    bool take(double amount, double rate, double burst, clock::time_point now);

    // Returns how long until the bucket holds `amount`.
    seconds wait_for(double amount, double rate) const noexcept;

private:
    double m_level = 0;
    std::optional<clock::time_point> m_filled_at;
};

// The part of a shared limit that one process may use.
//
// Shared limits are divided by the number of entry processes. The number falls
// only after a process has been silent for the time after which it is
// forgotten. Processes cut into groups thus keep the limit for that time, and
// use at most the limit once per group afterwards: the overshoot under
// partition is (groups - 1) times the limit, never more.
double process_share(std::size_t entry_processes) noexcept;

// The buckets and counts of all accounts.
//
//   if (auto no = limits.start(caller, tokens, share, now)) throw refused{*no};
//   ...
//   limits.end(caller.account);
//
// Thread safety: all members from any thread; the lock is held for a few
// arithmetic steps.
class account_limits {
public:
    // Counts a request of `tokens` prompt and expected output tokens against
    // `caller`, or returns why it is refused and when it would pass.
    std::optional<refusal> start(const configuration::caller& caller, double tokens, double share,
                                 clock::time_point now);

    // Ends a request that was started.
    void end(const std::string& account);

    // A bucket holds at most what flows in within this time.
    static constexpr seconds burst_time{1};
    static constexpr std::chrono::milliseconds concurrency_retry{250};

private:
    struct usage {
        token_bucket requests;
        token_bucket tokens;
        std::uint32_t running = 0;
    };

    std::mutex m_mutex;
    std::map<std::string, usage, std::less<>> m_accounts;
};

} // namespace cicadaport::admission
