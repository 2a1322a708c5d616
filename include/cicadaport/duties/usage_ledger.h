// Counts the runs of each account in windows of time, of this host and as announced by the others.
//
// Window k begins k window lengths after the start of 1970, in the fleet's time. Hosts announce
// their cumulative counts of open windows to a few recipients. A recipient keeps the largest count
// of each account that it has received from a host, so announcements may be lost, repeated and
// reordered, and a window with many accounts may be sent in parts. A receipt names the number of
// runs that the recipient knows; the window is announced again until it equals the sender's own.
//
// Performs no I/O. Not thread safe.
#pragma once

#include "cicadaport/duties/fleet_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadaport::duties {

// Runs by account name.
using account_counts = std::map<std::string, std::uint64_t, std::less<>>;

class usage_ledger {
public:
    // Starts counting. Before, nothing is counted.
    void enable(milliseconds window_length) { m_window_length = window_length; }
    bool is_enabled() const noexcept { return m_window_length > milliseconds{0}; }

    fleet_clock& clock() noexcept { return m_clock; }
    const fleet_clock& clock() const noexcept { return m_clock; }

    std::uint64_t window_at(time_of_day when) const;
    time_of_day end_of(std::uint64_t window) const;

    // Counts a run that began at `began`. Runs without an account are not counted.
    void record_run(const std::string& account, time_point began);

    // Returns this host's counts of the windows that are not closed.
    const std::map<std::uint64_t, account_counts>& own_counts() const noexcept { return m_own; }
    // Returns the runs of this host in a window.
    std::uint64_t own_runs(std::uint64_t window) const;

    // Returns whether `recipient` may lack counts of the window.
    bool must_announce(std::uint64_t window, std::uint64_t recipient) const;
    void handle_receipt(std::uint64_t recipient, std::uint64_t window, std::uint64_t runs);

    // Records counts that another host announced. Returns how many of its runs in that window are
    // known; nothing if the window is closed or too far away.
    std::optional<std::uint64_t> record_announced(std::uint64_t host, std::uint64_t window,
                                                  const account_counts& counts, time_of_day now);

    // Returns the counts of all hosts, without accounts that have no run.
    account_counts total(std::uint64_t window) const;
    // Returns how many hosts have counts in the window.
    std::size_t host_count(std::uint64_t window) const;

    // Drops the counts of all windows up to this one. They were reported, or are too late.
    void close(std::uint64_t last);
    // Returns how many runs were dropped without a report or were counted in a closed window.
    std::uint64_t late_runs() const noexcept { return m_late_runs; }

private:
    // Accounts are numbered: an announced count takes 8 bytes instead of a name.
    struct count {
        std::uint32_t account = 0;
        std::uint32_t runs = 0;
    };
    using host_counts = std::vector<count>;

    std::uint32_t number_of(const std::string& account);

    milliseconds m_window_length{0};
    fleet_clock m_clock;
    std::map<std::uint64_t, account_counts> m_own;
    // By window and recipient: the runs that the recipient knows.
    std::map<std::uint64_t, std::unordered_map<std::uint64_t, std::uint64_t>> m_receipts;
    // By window and host.
    std::map<std::uint64_t, std::unordered_map<std::uint64_t, host_counts>> m_announced;
    std::unordered_map<std::string, std::uint32_t> m_numbers;
    std::vector<std::string> m_names;
    std::optional<std::uint64_t> m_closed;
    std::uint64_t m_late_runs = 0;
};

} // namespace cicadaport::duties
