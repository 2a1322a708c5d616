// A monotonic clock that goes on while the host is suspended.
#pragma once

#include <chrono>
#include <ctime>

namespace cicadaport::base {

// Leases and deadlines are counted on this clock: a suspended process must find its
// lease and its requests expired when it wakes. Thread safety: any thread.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point{std::chrono::seconds{value.tv_sec} +
                          std::chrono::nanoseconds{value.tv_nsec}};
    }
};

} // namespace cicadaport::base
