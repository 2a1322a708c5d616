// How long the prompts that one engine was given take it, and so how long one
// more would wait.
//
// Work is counted from when it was sent until it has ended, by this host and,
// as far as they tell, by the others. An engine reads the most urgent prompt
// first. Time that passes while there is work counts as progress.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <array>
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

    // Of work that should have been done by now, this part still counts: the
    // engine has not told that it ended.
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
        time_point expires{};
    };

    void advance(time_point now);
    void take_out(std::unordered_map<work_id, item>::iterator found);

    std::unordered_map<work_id, item> m_items;
    std::array<fine_milliseconds, urgency_levels> m_sums{};
    fine_milliseconds m_progress{0};
    time_point m_at{};
};

} // namespace cicadaport::serving
