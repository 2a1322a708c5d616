// The schedule of a host's planned stop.
//
// The platform kills a process that has not ended when the grace time is over. The host
// therefore ends somewhat earlier, and takes on only what it can finish until then.
//
// Not thread safe.
#pragma once

#include "cicadaport/serving/wire.h"

namespace cicadaport::serving {

class planned_stop {
public:
    // The host ends its work this long before the end of the grace time, but not before the last
    // seventh: replicas that are still at work late in the grace time excuse a cut.
    static constexpr milliseconds max_grace_margin{600};
    static constexpr int min_margin_divisor = 7;
    // Time in which the last answers are handed to their connections before the process exits.
    static constexpr milliseconds max_last_answers_time{200};
    // The balancer may notice a stop late. New connections are therefore accepted until none has
    // arrived for `quiet_before_close`, but for at most `max_quiet_wait` longer: requests that
    // arrive later may not be answered within the grace time.
    static constexpr milliseconds quiet_before_close{150};
    static constexpr milliseconds max_quiet_wait{200};
    // Requests are taken on for this long after the time for which connections are accepted,
    // however late the host notices that it is over: a later request that is cut would be lost.
    static constexpr milliseconds max_admission_delay{300};
    // The first request of a new connection arrives within this time.
    static constexpr milliseconds first_request_time{200};

    // Begins at `now`. Connections are accepted for at least `accept_time` more, or for two thirds
    // of the time until the end if that is shorter.
    planned_stop(time_point now, milliseconds grace_time, milliseconds accept_time)
        : m_requested_at{now}, m_margin{std::min(max_grace_margin,
                                                 grace_time / min_margin_divisor)},
          m_ends_at{now + grace_time - m_margin},
          m_accepts_until{now + std::min<clock::duration>(accept_time, (m_ends_at - now) * 2 / 3)}
    {
    }

    time_point requested_at() const noexcept { return m_requested_at; }
    // When the host ends its work, whatever is in progress, and when the process exits.
    time_point ends_at() const noexcept { return m_ends_at; }
    time_point exits_at() const noexcept
    {
        return m_ends_at + std::min(max_last_answers_time, m_margin / 4);
    }

    // Returns whether new connections are no longer to be accepted. `last_accepted` is when the
    // last one was.
    bool is_time_to_close(time_point now, time_point last_accepted) const noexcept
    {
        return now >= m_accepts_until && (now - last_accepted >= quiet_before_close ||
                                          now >= m_accepts_until + max_quiet_wait);
    }

    // Records that new connections are no longer accepted.
    void record_close(time_point now) noexcept { m_closed_at = m_closed_at.value_or(now); }

    // Returns whether the host is still at work at `deadline`.
    bool outlasts(time_point deadline) const noexcept { return deadline <= m_ends_at; }

    // Returns whether a request that is received at `now` is taken on. `deadline` is when its
    // caller stops waiting. Requests of new connections are taken on although they may be cut off
    // when the process ends, since their callers may have been sent here by the balancer. Requests
    // that other hosts relay were not, so those are taken on only if the host outlasts them.
    // Nothing is taken on once the host ends its work.
    bool admits(time_point now, time_point deadline) const noexcept
    {
        const bool may_be_first = !m_closed_at || now < *m_closed_at + first_request_time;
        const auto limit = std::min(m_accepts_until + max_admission_delay, m_ends_at);
        return (may_be_first && now < limit) || outlasts(deadline);
    }

private:
    time_point m_requested_at;
    milliseconds m_margin;
    time_point m_ends_at;
    time_point m_accepts_until;
    std::optional<time_point> m_closed_at;
};

} // namespace cicadaport::serving
