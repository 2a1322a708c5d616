// Decides when to claim, renew and rely on the lease of one partition.
//
// Does no I/O: it takes the folded lease and the time, and returns the action to
// propose. The holder counts its lease from before it sent the renewal; other
// processes count from when they observed the renewal and extend the wait by the
// bound on clock rates, so that no claim succeeds while the holder relies on its
// lease.
//
//   lease_keeper keeper{"control-1#4f", {}, 7};
//   if (keeper.next_action(lease, now) == lease_action::renew) {
//       propose(renewal);                      // and the fold accepts it
//       keeper.record_accepted(fencing_number, now);  // `now` precedes the proposal
//   }
//   if (keeper.is_held(base::boot_clock::now())) give_orders();
//
// Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace cicadaport::authority {

// The lease in the folded state of this process.
struct observed_lease {
    std::string holder;
    std::uint64_t fencing_number = 0;
    std::uint64_t renewed_offset = 0;
    std::chrono::milliseconds duration{0};
    bool released = true;
};

enum class lease_action { none, claim, renew };

struct lease_timing {
    std::chrono::milliseconds duration{3'000};
    // Maximum relative difference between the clock rates of two hosts.
    double clock_rate_bound = 0.001;
    // A third of the duration leaves time for two more attempts before the lease
    // expires.
    std::chrono::milliseconds renewal_interval() const noexcept { return duration / 3; }
    // Claims are delayed by a random time up to this bound, so that few of many
    // processes propose one.
    std::chrono::milliseconds claim_spread() const noexcept { return duration / 2; }
};

class lease_keeper {
public:
    // `self` must be unique to this run of the process: otherwise a replacement
    // process with the same name would treat its predecessor's lease as its own.
    lease_keeper(std::string self, lease_timing timing, std::uint64_t seed);

    // Returns the action to propose at `now`.
    lease_action next_action(const observed_lease& lease, base::boot_clock::time_point now);

    // Records that the fold accepted a claim or renewal proposed at `sent_at`.
    void record_accepted(std::uint64_t fencing_number, base::boot_clock::time_point sent_at);

    // Records that a claim or renewal was proposed at `sent_at`. It does not
    // extend the lease while its outcome is unknown.
    void record_proposed(base::boot_clock::time_point sent_at) { m_last_proposed = sent_at; }

    // Forgets the lease: the fold refused a renewal, or the lease was released.
    void forget_lease();

    // Returns whether this process may send orders at `now`.
    bool is_held(base::boot_clock::time_point now) const noexcept { return now < m_held_until; }
    base::boot_clock::time_point held_until() const noexcept { return m_held_until; }
    std::uint64_t fencing_number() const noexcept { return m_fencing_number; }

    // Returns when this process claimed the lease; the leases of earlier holders
    // had expired by then.
    base::boot_clock::time_point claimed_at() const noexcept { return m_claimed_at; }

private:
    lease_action next_for_holder(base::boot_clock::time_point now) const;
    lease_action next_for_claimant(const observed_lease& lease, base::boot_clock::time_point now);

    std::string m_self;
    lease_timing m_timing;
    std::mt19937_64 m_random;
    std::uint64_t m_fencing_number = 0;
    base::boot_clock::time_point m_held_until{};
    base::boot_clock::time_point m_claimed_at{};
    std::optional<base::boot_clock::time_point> m_last_proposed;
    // The offset of the last observed renewal, whether the lease was released
    // then, and when this process may claim the lease.
    std::optional<std::uint64_t> m_seen_renewal;
    bool m_seen_released = false;
    base::boot_clock::time_point m_claim_after{};
};

} // namespace cicadaport::authority
