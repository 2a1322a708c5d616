// The time of day on which the hosts of a fleet agree.
//
// The clock of a host may be wrong by seconds, and may jump. The fleet's time is this host's steady
// clock plus the median, over itself and the hosts that it hears from, of the difference between
// their times of day and that steady clock. Jumps of a minority have no effect.
//
// Performs no I/O. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace cicadaport::duties {

using std::chrono::milliseconds;
using time_point = base::boot_clock::time_point;
// Time since the start of 1970.
using time_of_day = std::chrono::sys_time<milliseconds>;

class fleet_clock {
public:
    // A host that was not heard for this long does not count.
    static constexpr milliseconds retention{6'000};

    // Records the time of day that another host has sent.
    void record(std::uint64_t host, time_of_day sent, time_point received);
    // Determines the median anew; `own` is this host's own time of day. To be called once a second.
    void update(time_of_day own, time_point now);

    // Returns the fleet's time; nothing before the first update.
    std::optional<time_of_day> at(time_point when) const;
    // Returns by how much this host's own clock was ahead of the fleet's time at the last update.
    milliseconds own_error() const noexcept { return m_own_error; }

private:
    // Delays on the way, and a freeze of the receiver, make a difference too small, so that the
    // largest of the last ones is the most accurate.
    struct readings {
        static constexpr std::size_t count = 4;
        std::array<milliseconds, count> differences{};
        std::size_t size = 0;
        std::size_t next = 0;
        time_point last{};
    };

    std::map<std::uint64_t, readings> m_hosts;
    std::optional<milliseconds> m_median;
    milliseconds m_own_error{0};
};

} // namespace cicadaport::duties
