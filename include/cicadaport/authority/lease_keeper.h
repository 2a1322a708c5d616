// When to claim, renew and trust the lease of one partition.
//
// Pure: it is told the folded lease and the time, and returns what to propose.
// The holder counts its lease from before it sent the renewal; everyone else
// counts from when they saw it and waits longer by the bound on clock rates,
// so that a claim can't succeed while the holder still trusts its lease.
//
//   lease_keeper keeper{"control-1#4f", {}, 7};
//   if (keeper.next(lease, now) == lease_action::renew) {
//       propose(renewal);                      // decided: accepted
//       keeper.accepted(fencing_number, now);  // the time before proposing
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

// The lease as the fold of this process has it.
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
    // How much faster one host's clock may run than another's.
    double clock_rate_bound = 0.001;
    // A third leaves time for two more tries before the lease ends.
    std::chrono::milliseconds renewal_interval() const noexcept { return duration / 3; }
    // Claims are spread over this time, so that few of many processes propose.
    std::chrono::milliseconds claim_spread() const noexcept { return duration / 2; }
};

class lease_keeper {
public:
    // `self` must be unique to this run of the process; a replacement under the
    // same name must not take the lease of the one it replaces for its own.
    lease_keeper(std::string self, lease_timing timing, std::uint64_t seed);

    // Returns what to propose now.
    lease_action next(const observed_lease& lease, base::boot_clock::time_point now);

    // The fold accepted a claim or renewal that was proposed at `sent_at`.
    void accepted(std::uint64_t fencing_number, base::boot_clock::time_point sent_at);

    // A renewal was proposed at `sent_at` and its outcome is not known, or not
    // yet: it gives no authority.
    void proposed(base::boot_clock::time_point sent_at) { m_last_proposed = sent_at; }

    // The fold refused a renewal, or the lease was released.
    void lost();

    // Returns whether this process may give orders at `now`.
    bool is_held(base::boot_clock::time_point now) const noexcept { return now < m_held_until; }
    base::boot_clock::time_point held_until() const noexcept { return m_held_until; }
    std::uint64_t fencing_number() const noexcept { return m_fencing_number; }

    // When this process's claim was accepted; earlier holders' leases had ended.
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
    // The renewal that is being waited out, and until when.
    std::optional<std::uint64_t> m_seen_renewal;
    bool m_seen_released = false;
    base::boot_clock::time_point m_claim_after{};
};

} // namespace cicadaport::authority
