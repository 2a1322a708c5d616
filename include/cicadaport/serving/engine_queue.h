// How long the prompts that one engine was given take it, and so how long one
// more would wait.
//
// Work is counted from when it was sent until it has ended, by this host and,
// as far as they tell, by the others. An engine reads one prompt to its end and
// takes the most urgent of those that wait next, the oldest first.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace cicadaport::serving {

// A duration in milliseconds with fractions.
using fine_milliseconds = std::chrono::duration<double, std::milli>;

// Urgencies from 0, the most urgent; the last is for what is late anyway.
constexpr std::size_t urgency_levels = 10;
constexpr std::uint32_t late_urgency = urgency_levels - 1;

class engine_queue {
public:
    // A host's own number for a piece of work, with the host above it.
    using work_id = std::uint64_t;

    // Of work that should have ended by now, this part still counts: nobody has
    // told that it did.
    static constexpr double least_left = 0.25;
    // Work of which no end was heard counts for this much longer than it
    // should take.
    static constexpr std::chrono::milliseconds overdue{2'000};

    void add(work_id id, std::uint32_t urgency, fine_milliseconds work, time_point now);
    void remove(work_id id, time_point now);

    // Returns how long work of this urgency would wait.
    fine_milliseconds wait(std::uint32_t urgency, time_point now);

    std::size_t size() const noexcept { return m_items.size(); }

private:
    struct item {
        std::uint32_t urgency = 0;
        fine_milliseconds work{0};
        // The place among all that were added.
        std::uint64_t place = 0;
        time_point expires{};
    };
    using items = std::unordered_map<work_id, item>;

    void forget_overdue(time_point now);
    void take_out(items::iterator found, time_point now);
    void begin_next(time_point now);

    items m_items;
    // Sums of what waits and is not being read.
    std::array<fine_milliseconds, urgency_levels> m_waiting{};
    std::uint64_t m_last_place = 0;
    // What is being read, as far as can be told, and since when.
    std::optional<work_id> m_current;
    time_point m_current_since{};
};

} // namespace cicadaport::serving
