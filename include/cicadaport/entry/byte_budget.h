// Limits the rate of a process's control traffic.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace cicadaport::entry {

// A token bucket of bytes with a capacity of one second. It may go below zero and
// is then empty until the deficit is refilled, so that the mean never exceeds the
// rate. Not thread safe.
//
//   if (budget.has_any(now)) { budget.spend(poll(engine)); }
class byte_budget {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit byte_budget(double bytes_per_second) noexcept : m_rate{bytes_per_second} {}

    // Refills the bucket and returns whether it holds any bytes at `now`.
    bool has_any(time_point now) noexcept
    {
        if (m_refilled_at) {
            const std::chrono::duration<double> passed = now - *m_refilled_at;
            m_left = std::min(m_left + passed.count() * m_rate, m_rate);
        }
        m_refilled_at = now;
        return m_left > 0;
    }

    void spend(double bytes) noexcept { m_left -= bytes; }

private:
    double m_rate;
    double m_left = m_rate;
    std::optional<time_point> m_refilled_at;
};

} // namespace cicadaport::entry
