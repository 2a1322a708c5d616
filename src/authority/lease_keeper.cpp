#include "cicadaport/authority/lease_keeper.h"

namespace cicadaport::authority {

using std::chrono::milliseconds;

lease_keeper::lease_keeper(std::string self, lease_timing timing, std::uint64_t seed)
    : m_self{std::move(self)}, m_timing{timing}, m_random{seed}
{
}

lease_action lease_keeper::next_action(const observed_lease& lease,
                                       base::boot_clock::time_point now)
{
    if (!lease.released && lease.holder == m_self) {
        if (m_fencing_number != lease.fencing_number) {
            m_fencing_number = lease.fencing_number;
            m_claimed_at = now;
        }
        return next_for_holder(now);
    }
    return next_for_claimant(lease, now);
}

lease_action lease_keeper::next_for_holder(base::boot_clock::time_point now) const
{
    if (m_last_proposed && now < *m_last_proposed + m_timing.renewal_interval()) {
        return lease_action::none;
    }
    return lease_action::renew;
}

lease_action lease_keeper::next_for_claimant(const observed_lease& lease,
                                             base::boot_clock::time_point now)
{
    if (m_seen_renewal != lease.renewed_offset || m_seen_released != lease.released) {
        m_seen_renewal = lease.renewed_offset;
        m_seen_released = lease.released;
        std::uniform_int_distribution<std::int64_t> pick{0, m_timing.claim_spread().count()};
        const auto lease_wait = lease.released ? std::chrono::duration<double, std::milli>{0}
                                               : lease.duration * (1 + m_timing.clock_rate_bound);
        m_claim_after = now + std::chrono::ceil<base::boot_clock::duration>(lease_wait) +
                        milliseconds{pick(m_random)};
    }
    return now >= m_claim_after ? lease_action::claim : lease_action::none;
}

void lease_keeper::record_accepted(std::uint64_t fencing_number,
                                   base::boot_clock::time_point sent_at)
{
    if (fencing_number != m_fencing_number) {
        m_fencing_number = fencing_number;
        m_claimed_at = sent_at;
    }
    m_last_proposed = sent_at;
    m_held_until = std::max(m_held_until, sent_at + m_timing.duration);
}

void lease_keeper::forget_lease()
{
    m_held_until = {};
    m_fencing_number = 0;
    m_last_proposed.reset();
    m_seen_renewal.reset();
}

} // namespace cicadaport::authority
