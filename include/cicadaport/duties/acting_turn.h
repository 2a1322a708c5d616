// Decides whether this host gives the orders of a duty whose effects all hosts can see.
//
// The first host in the order of hosts acts at once. The next ones act only if orders stay due and
// nothing changes: the first host may be known to the others and yet not reach the platform. Two
// hosts that act at the same time do no harm, since orders are sent under an authority.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cicadaport::duties {

class acting_turn {
public:
    // How long orders must be due before the next host acts, once for each rank. Longer than the
    // platform offers no reclaimable replicas after it has reclaimed some.
    static constexpr std::chrono::seconds takeover_delay{12};
    // A host that took over acts until no orders have been due for this long.
    static constexpr std::chrono::seconds keep_time{10};
    // Hosts beyond this rank never act.
    static constexpr std::size_t max_rank = 2;

    // `is_due` is whether orders are due, and `effects` changes when an order takes effect. Returns
    // whether this host acts now.
    bool may_act(std::size_t rank, bool is_due, std::uint64_t effects,
                 base::boot_clock::time_point now)
    {
        if (rank > max_rank) {
            m_due_since.reset();
            m_acts_until.reset();
            return false;
        }
        if (is_due && m_acts_until) {
            m_acts_until = now + keep_time;
        }
        if (!is_due || effects != m_effects) {
            m_due_since.reset();
        }
        m_effects = effects;
        if (is_due && !m_due_since) {
            m_due_since = now;
        }
        if (rank == 0) {
            m_acts_until.reset();
            return true;
        }
        if (m_due_since && now - *m_due_since >= takeover_delay * static_cast<int>(rank)) {
            m_acts_until = now + keep_time;
        }
        return m_acts_until && now < *m_acts_until;
    }

private:
    std::uint64_t m_effects = 0;
    std::optional<base::boot_clock::time_point> m_due_since;
    std::optional<base::boot_clock::time_point> m_acts_until;
};

} // namespace cicadaport::duties
