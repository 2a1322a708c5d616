// Limits retries to a fraction of the traffic.
#pragma once

#include <algorithm>

namespace cicadaport::entry {

// Grants one retry for every ten first attempts, so that retries can't sustain an
// overload. A few unused retries are kept, so that infrequent requests can be
// retried too. Belongs to one event loop.
class retry_budget {
public:
    // Records a first attempt.
    void record_first_attempt() noexcept
    {
        m_retries = std::min(m_retries + retry_fraction, max_saved_retries);
    }

    // Takes one retry from the budget; returns false if none is left.
    bool take() noexcept
    {
        if (m_retries < 1) {
            return false;
        }
        m_retries -= 1;
        return true;
    }

private:
    static constexpr double retry_fraction = 0.1;
    static constexpr double max_saved_retries = 10;
    double m_retries = max_saved_retries;
};

} // namespace cicadaport::entry
