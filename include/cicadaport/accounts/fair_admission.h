// Decides which accounts' requests are shed first while there is more work than capacity.
//
// The shares are max-min fair: the work admitted lately is the capacity, and it is divided so that
// no account gets more than another one that could use more. An account that asks for less than its
// share leaves the rest to the others. It gets its share back with its next request, because an
// account is over its share by what was admitted for it, not by what was lent to others.
//
// Each host decides by its own traffic; no messages are exchanged. Performs no I/O. Not thread
// safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <chrono>
#include <string>
#include <unordered_map>

namespace cicadaport::accounts {

class fair_admission {
public:
    using time_point = base::boot_clock::time_point;
    // Time constant of the exponential window.
    static constexpr std::chrono::milliseconds default_window{30'000};
    // An account is over its share if its admitted work exceeds the share by more than this many
    // standard deviations of that work. Without such a margin, half of the accounts at their share
    // are shed because of the random arrival of their requests.
    static constexpr double default_margin = 1;
    // The share is computed anew after this time.
    static constexpr std::chrono::milliseconds refresh_interval{100};

    explicit fair_admission(std::chrono::milliseconds window = default_window,
                            double margin = default_margin)
        : m_window{window}, m_margin{margin}
    {
    }

    // Records a request that asks for `work`, in any unit, as long as it is the same for all.
    void record_demand(const std::string& account, double work, time_point now);
    // Records that the request was admitted.
    void record_admission(const std::string& account, double work, time_point now);

    // Returns whether more work was admitted for the account than its fair share, as of the last
    // refresh.
    bool is_over_share(const std::string& account, time_point now);

    std::size_t account_count() const noexcept { return m_accounts.size(); }

private:
    struct record {
        // Work in the window at `updated`.
        double demanded = 0;
        double admitted = 0;
        // The sum of the squares of the admitted requests' work.
        double admitted_squares = 0;
        time_point updated{};
        bool is_over_share = false;
    };

    record& updated_record(const std::string& account, time_point now);
    void update(record& of, time_point now) const;
    void refresh(time_point now);

    std::unordered_map<std::string, record> m_accounts;
    std::chrono::duration<double> m_window;
    double m_margin;
    time_point m_refreshed{};
};

} // namespace cicadaport::accounts
