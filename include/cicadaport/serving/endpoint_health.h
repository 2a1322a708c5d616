// How far an endpoint is trusted, from what became of requests sent there.
//
// No status checks are needed. An endpoint that fails part of its requests
// costs as much more as it fails; one that fails several in a row, or can't be
// reached, is avoided for a time that doubles, then single requests try it
// again. Avoided endpoints are still used where all are avoided.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/deployment.h"
#include "cicadaport/serving/endpoint_table.h"

#include <algorithm>

namespace cicadaport::serving {

class endpoint_health {
public:
    // The first pause is shorter than a caller's patience with a plain
    // service; the longest lets a replica that recovers take work again within
    // the time in which a fleet has to recover.
    static constexpr std::chrono::milliseconds first_pause{500};
    static constexpr std::chrono::milliseconds longest_pause{4'000};
    // Failures in a row that a sound endpoint seldom shows.
    static constexpr unsigned failures_in_a_row = 3;
    // What an outcome leaves of the memory of those before.
    static constexpr double memory = 0.85;

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
        if (m_streak >= failures_in_a_row) {
            avoid(now);
        }
    }

    // The endpoint can't be reached or does not react.
    void unreachable(time_point now) noexcept
    {
        m_streak = std::max(m_streak + 1, failures_in_a_row);
        avoid(now);
    }

    // The endpoint wants no requests for so long.
    void asked_to_be_left_alone(milliseconds time, time_point now) noexcept
    {
        m_left_alone_until = std::max(m_left_alone_until, now + time);
    }

    // An endpoint that is left alone is not used, not even where there is no other.
    bool is_left_alone(time_point now) const noexcept { return now < m_left_alone_until; }
    time_point left_alone_until() const noexcept { return m_left_alone_until; }

    // Part of the recent requests that failed, from 0 to 1.
    double failed_part() const noexcept { return m_failed_part; }

    bool is_avoided(time_point now) const noexcept { return now < m_avoid_until; }

private:
    void avoid(time_point now) noexcept
    {
        const auto doublings = std::min(m_streak - failures_in_a_row, 3U);
        m_avoid_until = now + std::min(first_pause * (1U << doublings), longest_pause);
    }

    double m_failed_part = 0;
    unsigned m_streak = 0;
    time_point m_avoid_until{};
    time_point m_left_alone_until{};
    time_point m_last_success{};
};

} // namespace cicadaport::serving
