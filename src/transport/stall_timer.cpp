#include "cicadaport/transport/stall_timer.h"

#include <utility>

namespace cicadaport::transport {

void stall_timer::start(std::chrono::milliseconds timeout, std::function<void()> on_stall)
{
    m_timeout = timeout;
    m_on_stall = std::move(on_stall);
    wait();
}

void stall_timer::wait()
{
    m_received = 0;
    m_timer = m_timers.call_at(timer_queue::now() + m_timeout, [this] {
        if (m_received >= min_progress_bytes) {
            wait();
            return;
        }
        // The callback may destroy this timer.
        const auto on_stall = std::exchange(m_on_stall, nullptr);
        on_stall();
    });
}

} // namespace cicadaport::transport
