// Checks whether the hosts together stay within the limit that one replica advertises.
#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace cicadaport::platform::testing {

// The rule holds from `contact` after the replica first advertised a limit: in any 4 s at most
// 1.5 times the number of requests that the limit allows, plus 5, arrive from hosts that
// received the limit at least 0.5 s before. Each process of a host counts as a separate
// host, because it has to receive the limit again.
//
// Pure. Not thread safe.
class limit_judge {
public:
    using clock = std::chrono::steady_clock;
    static constexpr std::chrono::seconds window{4};
    static constexpr std::chrono::milliseconds told_before{500};

    explicit limit_judge(std::chrono::milliseconds contact) : m_contact{contact} {}

    // From `now` on the replica advertises this limit, or none.
    void name(std::optional<double> per_second, clock::time_point now)
    {
        if (!per_second || !m_per_second) {
            m_told.clear();
            m_arrivals.clear();
            m_first_named = now;
        }
        // Within a window that contains a change, the higher of the two limits applies.
        m_highest = m_per_second && per_second && now - m_changed < window
                        ? std::max(*per_second, m_highest)
                        : std::max(per_second.value_or(0), m_per_second.value_or(0));
        m_changed = now;
        m_per_second = per_second;
    }

    std::optional<double> named() const { return m_per_second; }

    // Records a request from a host, which receives the limit with the response. Returns the
    // number of requests in the window if it exceeds what is allowed.
    std::optional<std::size_t> arrived(std::size_t host, clock::time_point now)
    {
        if (!m_per_second) {
            return std::nullopt;
        }
        const auto told = m_told.emplace(host, now).first->second;
        if (now - told < told_before) {
            return std::nullopt;
        }
        m_arrivals.push_back(now);
        while (now - m_arrivals.front() > window) {
            m_arrivals.pop_front();
        }
        const bool is_judged = now - m_first_named >= m_contact;
        return is_judged && static_cast<double>(m_arrivals.size()) > allowed(now)
                   ? std::optional{m_arrivals.size()}
                   : std::nullopt;
    }

    double allowed(clock::time_point now) const
    {
        constexpr double part = 1.5;
        constexpr double more = 5;
        const auto limit = now - m_changed < window ? m_highest : *m_per_second;
        return part * limit * std::chrono::duration<double>(window).count() + more;
    }

private:
    std::chrono::milliseconds m_contact;
    std::optional<double> m_per_second;
    // The highest limit within the last window, and when the limit last changed.
    double m_highest = 0;
    clock::time_point m_changed{};
    clock::time_point m_first_named{};
    std::map<std::size_t, clock::time_point> m_told;
    std::deque<clock::time_point> m_arrivals;
};

} // namespace cicadaport::platform::testing
