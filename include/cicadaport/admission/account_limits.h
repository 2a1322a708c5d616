// Rate and concurrency limits of client accounts. Each process enforces its share.
#pragma once

#include "cicadaport/admission/admission.h"
#include "cicadaport/configuration/document.h"

#include <map>
#include <mutex>
#include <string>

namespace cicadaport::admission {

// A token bucket that fills at `rate` per second up to `burst`. Time is passed in.
// Not thread safe.
class token_bucket {
public:
    // Removes `amount` and returns true if the bucket holds it. A `rate` of 0 means no
    // limit. An `amount` above `burst` needs only a full bucket.
    bool try_consume(double amount, double rate, double burst, clock::time_point now);

    // Returns the time until the bucket holds `amount`.
    seconds wait_for(double amount, double rate) const noexcept;

private:
    double m_level = 0;
    std::optional<clock::time_point> m_filled_at;
};

// Returns the fraction of a shared limit that one process may use.
//
// Shared limits are divided by the number of live entry processes. A silent
// process counts until its expiry. After a network partition, the processes
// together thus keep the limit until that expiry; afterwards each group of
// connected processes uses at most the whole limit, so that the total exceeds it
// by at most (groups - 1) times the limit.
double process_share(std::size_t entry_processes) noexcept;

// The token buckets and running requests of all client accounts.
//
//   if (auto no = limits.try_acquire(caller, tokens, share, now)) throw refused{*no};
//   ...
//   limits.release(caller.account);
//
// Thread safe; the lock is held for a few arithmetic operations.
class account_limits {
public:
    // Counts a request against the limits of `caller`, or returns the reason for its
    // rejection and when to retry. `tokens` is the sum of prompt tokens and expected
    // output tokens; `share` comes from process_share.
    std::optional<rejection> try_acquire(const configuration::caller& caller, double tokens,
                                         double share, clock::time_point now);

    // Ends a running request; to be called once for each request that was admitted.
    void release(const std::string& account);

    // The burst of a bucket is its rate times this duration, but at least 1.
    static constexpr seconds burst_time{1};
    static constexpr std::chrono::milliseconds concurrency_retry_after{250};

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
