// Measures how long this machine, or this process, kept a thread from running.
#pragma once

#include <atomic>
#include <chrono>
#include <thread>

namespace cicadaport::platform::testing {

// A thread of its own sleeps for a short time again and again and records how late it wakes.
// The figure tells a stall of the machine from one of a host; it excuses no violation.
class stall_meter {
public:
    stall_meter() : m_thread{[this] { measure(); }} {}
    ~stall_meter()
    {
        m_done = true;
        m_thread.join();
    }
    stall_meter(const stall_meter&) = delete;
    stall_meter& operator=(const stall_meter&) = delete;

    std::chrono::milliseconds longest() const noexcept { return m_longest; }

private:
    void measure()
    {
        using clock = std::chrono::steady_clock;
        constexpr std::chrono::milliseconds interval{10};
        while (!m_done) {
            const auto due = clock::now() + interval;
            std::this_thread::sleep_until(due);
            const auto late =
                std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - due);
            m_longest = std::max(m_longest.load(), late);
        }
    }

    std::atomic<bool> m_done{false};
    std::atomic<std::chrono::milliseconds> m_longest{};
    std::thread m_thread;
};

} // namespace cicadaport::platform::testing
