// Passive health checking and outlier ejection of one endpoint, based on the outcomes of the
// requests sent to it. No active health checks are needed.
//
// An endpoint that fails some of its requests gets a higher cost in proportion to its failure
// fraction. One that fails several requests in a row, or is unreachable, is ejected with an
// exponential backoff, after which single requests probe it. If all endpoints are ejected, they
// are used all the same.
//
// Performs no I/O; times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/deployment.h"
#include "cicadaport/serving/endpoint_table.h"

#include <algorithm>

namespace cicadaport::serving {

class endpoint_health {
public:
    // Backoff of the first ejection: shorter than the time for which clients wait for a plain
    // service. The longest backoff lets a recovered replica accept work again within the time in
    // which a fleet has to recover.
    static constexpr std::chrono::milliseconds initial_ejection_time{500};
    static constexpr std::chrono::milliseconds max_ejection_time{4'000};
    // Consecutive failures before an ejection; a healthy endpoint rarely has so many.
    static constexpr unsigned ejection_threshold = 3;
    // Factor by which each outcome decays the weight of earlier ones in the failure fraction.
    static constexpr double decay = 0.85;

    void record_success(time_point now) noexcept
    {
        m_failure_fraction *= decay;
        m_consecutive_failures = 0;
        m_last_success = now;
    }

    // Returns whether the endpoint has answered any request since `then`. If so, a request that
    // still waits there is queued behind others, and the endpoint is not unresponsive.
    bool has_answered_since(time_point then) const noexcept { return m_last_success >= then; }

    // Records that the endpoint has sent a part of an answer, or has answered a check.
    void record_activity(time_point now) noexcept { m_last_activity = now; }
    bool was_active_since(time_point then) const noexcept
    {
        return m_last_activity >= then || has_answered_since(then);
    }

    // Records a failed request.
    void record_failure(time_point now) noexcept
    {
        m_failure_fraction = decay * m_failure_fraction + (1 - decay);
        ++m_consecutive_failures;
        if (m_consecutive_failures >= ejection_threshold) {
            eject(now);
        }
    }

    // Records that the endpoint is unreachable or unresponsive, which ejects it at once.
    void record_unreachable(time_point now) noexcept
    {
        m_consecutive_failures = std::max(m_consecutive_failures + 1, ejection_threshold);
        eject(now);
    }

    // Records that the endpoint has asked for no requests during `time` (Retry-After).
    void record_backoff(milliseconds time, time_point now) noexcept
    {
        m_backoff_until = std::max(m_backoff_until, now + time);
    }

    // While a requested backoff lasts, the endpoint is not used even if there is no other.
    bool is_backing_off(time_point now) const noexcept { return now < m_backoff_until; }
    time_point backoff_until() const noexcept { return m_backoff_until; }

    // Fraction of the recent requests that failed, from 0 to 1.
    double failure_fraction() const noexcept { return m_failure_fraction; }

    bool is_ejected(time_point now) const noexcept { return now < m_ejected_until; }

private:
    void eject(time_point now) noexcept
    {
        const auto doublings = std::min(m_consecutive_failures - ejection_threshold, 3U);
        m_ejected_until =
            now + std::min(initial_ejection_time * (1U << doublings), max_ejection_time);
    }

    double m_failure_fraction = 0;
    unsigned m_consecutive_failures = 0;
    time_point m_ejected_until{};
    time_point m_backoff_until{};
    time_point m_last_success{};
    time_point m_last_activity{};
};

} // namespace cicadaport::serving
