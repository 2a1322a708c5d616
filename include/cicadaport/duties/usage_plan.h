// Decides when this host reports usage, and what.
//
// The first host in the order of the subject reports each window a few seconds after its end. The
// hosts of the next ranks act later, if they have not learned that the window was reported. A
// host that does not know that the last recorded report has reached the platform repeats it before
// it reports further windows. Windows up to the last recorded one are never reported with other
// counts, whatever is missing.
//
// A store that returns from an older copy may have lost the record of a report that was made, and
// an append that was sent before may have put another one in its place. The newest record doesn't
// show then which windows were reported. Of windows that were due by the time at which this host
// learned of that, nothing is reported, neither its own counts nor those of a record.
//
// Performs no I/O. Not thread safe.
#pragma once

#include "cicadaport/duties/fleet_clock.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace cicadaport::duties {

// What a host knows of the reports.
struct usage_view {
    time_of_day now{};
    // This host's rank in the order of the subject.
    std::size_t rank = std::numeric_limits<std::size_t>::max();
    // The first window that the hosts of this fleet can have counted.
    std::uint64_t first_window = 0;
    // The last window that was reported, or that can't be reported any more.
    std::optional<std::uint64_t> last_done;
    // Whether the newest record of the subject is known, the window of the report in it, and
    // whether the platform is known to have that report.
    bool knows_newest = false;
    // Since when no record can have been made that the newest one does not continue; empty if there
    // never was one.
    std::optional<time_of_day> complete_since;
    std::optional<std::uint64_t> recorded_window;
    bool is_record_delivered = false;
};

struct usage_verdict {
    enum class kind {
        nothing,
        // Read the newest record.
        read,
        // Repeat the report of the newest record.
        repeat,
        // Report `window`.
        report,
    };

    kind what = kind::nothing;
    std::uint64_t window = 0;
    // Windows below this one are too late.
    std::uint64_t first_open = 0;
    // How long this verdict may be pursued.
    time_of_day until{};
};

class usage_plan {
public:
    // The number of hosts in the order that receive counts and may report.
    static constexpr std::size_t rank_count = 3;
    // The times of day of two hosts differ by at most this.
    static constexpr milliseconds max_clock_difference{1'000};

    // A report is due `due` after the end of its window.
    usage_plan(milliseconds window_length, milliseconds due)
        : m_window_length{window_length}, m_due{due}
    {
    }

    usage_verdict decide(const usage_view& of) const;

    // Returns how long after the end of a window the host of a rank reports it. The first waits for
    // announcements, which are repeated, and for answers of runs that began in the window.
    milliseconds delay_of(std::size_t rank) const;

    // Returns the first window that no host can have reported under a record of an ended history.
    std::uint64_t first_surely_unreported(std::optional<time_of_day> complete_since) const;

    // Returns whether a report of `window` may be recorded in place of the newest record, of which
    // `view` tells the window and whether it was delivered. `has_same_body` is whether the newest
    // record holds the same report.
    bool may_replace(std::uint64_t window, bool has_same_body, const usage_view& view) const;

private:
    time_of_day end_of(std::uint64_t window) const;

    milliseconds m_window_length;
    milliseconds m_due;
};

} // namespace cicadaport::duties
