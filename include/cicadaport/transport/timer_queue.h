// Deadlines of one event loop, on a clock that keeps running while the host is
// suspended.
//
// All deadlines share one timer of the loop. It fires at most once per
// `resolution`, so that thousands of deadlines cost few wake-ups.
//
//   timer_queue timers{context};
//   auto limit = timers.call_at(timers.now() + 600ms, [this] { give_up(); });
//
// Belongs to one event loop.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace cicadaport::transport {

using clock = base::boot_clock;
using time_point = clock::time_point;

class timer_queue {
    struct entry {
        std::uint64_t id = 0;
        std::function<void()> action;
    };
    using entries = std::multimap<time_point, entry>;

public:
    // A quarter of the shortest time limit that callers of this queue use.
    static constexpr std::chrono::milliseconds resolution{5};

    explicit timer_queue(boost::asio::io_context& context);

    // Owns a deadline and cancels it on destruction. Must not outlive the queue.
    class handle {
    public:
        handle() = default;
        handle(handle&& other) noexcept;
        handle& operator=(handle&& other) noexcept;
        ~handle() { cancel(); }

        void cancel() noexcept;
        // Returns whether the deadline is still pending.
        bool is_set() const noexcept;

    private:
        friend class timer_queue;
        handle(timer_queue& queue, std::uint64_t id) : m_queue{&queue}, m_id{id} {}

        timer_queue* m_queue = nullptr;
        std::uint64_t m_id = 0;
    };

    static time_point now() noexcept { return clock::now(); }

    // Calls `action` once, at `when` or up to `resolution` later. An exception that it throws is
    // logged; the other actions go on.
    [[nodiscard]] handle call_at(time_point when, std::function<void()> action);

    // Returns by how much the latest action since the last call was late. A large value tells that
    // the event loop stood still.
    clock::duration take_max_lateness() noexcept
    {
        return std::exchange(m_max_lateness, clock::duration::zero());
    }

private:
    void cancel(std::uint64_t id) noexcept;
    void arm();
    void fire();

    boost::asio::steady_timer m_timer;
    entries m_entries;
    std::map<std::uint64_t, entries::iterator> m_by_id;
    std::uint64_t m_last_id = 0;
    // When the timer fires next; empty while it is not armed.
    std::optional<time_point> m_armed_for;
    clock::duration m_max_lateness{0};
};

} // namespace cicadaport::transport
