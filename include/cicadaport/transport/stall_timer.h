// Detects a peer that has stopped sending its response.
//
// The timer expires when less than `min_progress_bytes` arrive within its timeout. A large
// response over a slow link thus takes as long as it needs, while a peer that is silent, or that
// sends next to nothing, is given up.
//
//   stall_timer stall{timers};
//   stall.start(800ms, [this] { give_up(); });
//   stall.record_received(piece.size());
//
// Belongs to one event loop. Must not outlive the timer queue.
#pragma once

#include "cicadaport/transport/timer_queue.h"

namespace cicadaport::transport {

class stall_timer {
public:
    static constexpr std::size_t min_progress_bytes = 8UL * 1024;

    explicit stall_timer(timer_queue& timers) : m_timers{timers} {}

    // Calls `on_stall` once, when a `timeout` has passed in which too little arrived. A timer that
    // is running is started again.
    void start(std::chrono::milliseconds timeout, std::function<void()> on_stall);
    void record_received(std::size_t bytes) noexcept { m_received += bytes; }
    void cancel() noexcept { m_timer.cancel(); }

private:
    void wait();

    timer_queue& m_timers;
    timer_queue::handle m_timer;
    std::chrono::milliseconds m_timeout{0};
    std::function<void()> m_on_stall;
    // Bytes received since the current timeout began.
    std::size_t m_received = 0;
};

} // namespace cicadaport::transport
