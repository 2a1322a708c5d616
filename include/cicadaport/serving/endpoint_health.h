// How far an endpoint is trusted, from what became of requests sent there.
//
// No status checks are needed. An endpoint that fails is avoided for a time
// that doubles with each further failure; then single requests try it again.
// Avoided endpoints are still used where all are avoided.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

namespace cicadaport::serving {

class endpoint_health {
public:
    // The first pause is shorter than a caller's patience with a plain
    // service; the longest lets a replica that recovers take work again within
    // the time in which a fleet has to recover.
    static constexpr std::chrono::milliseconds first_pause{500};
    static constexpr std::chrono::milliseconds longest_pause{4'000};
    // Failures among recent answers at which an endpoint that also succeeds is
    // avoided, as a part of them.
    static constexpr double bad_part = 0.35;
    static constexpr double memory = 0.8;

    void succeeded(time_point now) noexcept
    {
        m_failed_part *= memory;
        m_streak = 0;
        m_last_success = now;
    }

    // Returns whether the endpoint has answered anything since then: a request
    // that waits there waits for others, not for nothing.
    bool has_answered_since(time_point then) const noexcept { return m_last_success >= then; }

    // The endpoint failed a request.
    void failed(time_point now) noexcept
    {
        m_failed_part = memory * m_failed_part + (1 - memory);
        ++m_streak;
        if (m_streak >= 2 || m_failed_part >= bad_part) {
            avoid(now);
        }
    }

    // The endpoint can't be reached or does not react.
    void unreachable(time_point now) noexcept
    {
        m_streak = std::max(m_streak + 1, 2U);
        avoid(now);
    }

    bool is_avoided(time_point now) const noexcept { return now < m_avoid_until; }

private:
    void avoid(time_point now) noexcept
    {
        const auto doublings = std::min(m_streak > 2 ? m_streak - 2 : 0U, 3U);
        m_avoid_until = now + std::min(first_pause * (1U << doublings), longest_pause);
    }

    double m_failed_part = 0;
    unsigned m_streak = 0;
    time_point m_avoid_until{};
    time_point m_last_success{};
};

} // namespace cicadaport::serving
