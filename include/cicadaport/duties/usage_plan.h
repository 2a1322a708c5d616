// Decides when this host reports usage, and what.
//
// The first host in the order of the subject reports each window a few seconds after its end. The
// hosts of the next ranks act later, if they have not learned that the window was reported. A
// host that does not know that the last recorded report has reached the platform repeats it before
// it reports further windows. Windows up to the last recorded one are never reported with other
// counts, whatever is missing.
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

    // A report is due `due` after the end of its window.
    usage_plan(milliseconds window_length, milliseconds due)
        : m_window_length{window_length}, m_due{due}
    {
    }

    usage_verdict decide(const usage_view& of) const;

    // Returns how long after the end of a window the host of a rank reports it. The first waits for
    // announcements, which are repeated, and for answers of runs that began in the window.
    milliseconds delay_of(std::size_t rank) const;

private:
    time_of_day end_of(std::uint64_t window) const;

    milliseconds m_window_length;
    milliseconds m_due;
};

} // namespace cicadaport::duties
