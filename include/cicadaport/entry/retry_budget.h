// Bounds how much of the traffic may be retries.
#pragma once

#include <algorithm>

namespace cicadaport::entry {

// Grants one retry for every ten first tries, so that retries can't keep an
// overload going. A few may be saved up, so that rare traffic gets its retry
// too. Belongs to one event loop.
class retry_budget {
public:
    // Counts a first try.
    void first_try() noexcept { m_retries = std::min(m_retries + share, most_saved); }

    // Returns whether one more retry may be made, and counts it.
    bool take() noexcept
    {
        if (m_retries < 1) {
            return false;
        }
        m_retries -= 1;
        return true;
    }

private:
    static constexpr double share = 0.1;
    static constexpr double most_saved = 10;
    double m_retries = most_saved;
};

} // namespace cicadaport::entry
