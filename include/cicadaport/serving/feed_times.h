// Interval, response timeout and retry backoff for reading a list from the store.
//
// The worst case is a store that stops responding to some hosts, so that several calls
// in a row time out, and recovers just after the next call was sent. Whatever the store
// accepted meanwhile must be in force within a bound that each deployment configures.
//
// Pure.
#pragma once

#include <chrono>

namespace cicadaport::serving {

using std::chrono::milliseconds;

struct feed_times {
    // The backoff after a first failure.
    static constexpr milliseconds initial_backoff{100};
    // Bounds of `response_timeout`. The store responds within milliseconds, or within 250 ms when
    // it is slow.
    static constexpr milliseconds min_response_timeout{400};
    static constexpr milliseconds max_response_timeout{900};
    static constexpr milliseconds max_backoff_limit{800};

    // Time from one read to the next.
    milliseconds interval{0};
    // How long the response to a call may stall.
    milliseconds response_timeout{0};
    // Maximum backoff after a failed call. A random jitter of up to the same length is added.
    milliseconds max_backoff{0};

    // Returns the maximum time from the store's recovery until a host whose calls timed out
    // has sent a call that succeeds.
    milliseconds max_recovery_time() const noexcept { return response_timeout + 2 * max_backoff; }

    // Derives the timing from two bounds: `in_force` is the time within which a host must
    // know what the store has accepted, `contact` the time within which it must know it
    // after it can reach the store again.
    static feed_times within(milliseconds interval, milliseconds in_force,
                             milliseconds contact) noexcept;
};

} // namespace cicadaport::serving
