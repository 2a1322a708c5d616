// Judges whether hosts together keep the limit that one replica names.
#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace cicadaport::platform::testing {

// The rule: from `contact` after the replica first named a limit, in any 4 s no more
// than one and a half times what the limit allows, and 5, from hosts that have been
// told half a second before or earlier. Each process of a host counts as one of its own,
// as it has to be told again.
//
// Pure. Not thread safe.
class limit_judge {
public:
    using clock = std::chrono::steady_clock;
    static constexpr std::chrono::seconds window{4};
    static constexpr std::chrono::milliseconds told_before{500};

    explicit limit_judge(std::chrono::milliseconds contact) : m_contact{contact} {}

    // The replica names a limit from now on, or none.
    void name(std::optional<double> per_second, clock::time_point now)
    {
        if (!per_second || !m_per_second) {
            m_told.clear();
            m_arrivals.clear();
            m_first_named = now;
        }
        // After a change both limits are met by what the higher one allows.
        m_highest = m_per_second && per_second && now - m_changed < window
                        ? std::max(*per_second, m_highest)
                        : std::max(per_second.value_or(0), m_per_second.value_or(0));
        m_changed = now;
        m_per_second = per_second;
    }

    std::optional<double> named() const { return m_per_second; }

    // A request arrives from a host, which is told with its answer. Returns how many
    // came in the window if they are too many.
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
    // The highest limit within the last window, and since when the newest holds.
    double m_highest = 0;
    clock::time_point m_changed{};
    clock::time_point m_first_named{};
    std::map<std::size_t, clock::time_point> m_told;
    std::deque<clock::time_point> m_arrivals;
};

} // namespace cicadaport::platform::testing
