// Estimates how long a prompt would wait at one engine, from the prompts that were
// already sent to it.
//
// Work counts from when it was sent until it has ended, on this host and, as announced by
// gossip, on the others. An engine prefills one prompt to its end and then takes the most
// urgent waiting prompt, the oldest first.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace cicadaport::serving {

// A duration in milliseconds with fractions.
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

// Urgency levels start at 0, the most urgent; the last is for requests that are already
// late.
constexpr std::size_t urgency_levels = 10;
constexpr std::uint32_t late_urgency = urgency_levels - 1;

class engine_queue {
public:
    // Identifies a piece of work: the number of the host combined with the host's own
    // number for the work.
    using work_id = std::uint64_t;

    // Minimum fraction of the current work that is assumed to remain, also when it should
    // have ended: its end has not been announced.
    static constexpr double min_remaining_fraction = 0.25;
    // Time, beyond twice its expected time to completion, after which work is removed if
    // its end was not announced.
    static constexpr std::chrono::milliseconds overdue_grace{2'000};

    void add(work_id id, std::uint32_t urgency, fractional_milliseconds work, time_point now);
    void remove(work_id id, time_point now);

    // Returns how long work of this urgency would wait.
    fractional_milliseconds wait(std::uint32_t urgency, time_point now);

    std::size_t size() const noexcept { return m_items.size(); }

private:
    struct item {
        std::uint32_t urgency = 0;
        fractional_milliseconds work{0};
        // Position in the order of all additions.
        std::uint64_t sequence = 0;
        time_point expires{};
    };
    using items = std::unordered_map<work_id, item>;

    void remove_overdue(time_point now);
    void remove_item(items::iterator found, time_point now);
    void begin_next(time_point now);

    items m_items;
    // Total waiting work of each urgency, without the prompt in progress.
    std::array<fractional_milliseconds, urgency_levels> m_waiting{};
    std::uint64_t m_last_sequence = 0;
    // The estimated prompt in progress, and since when.
    std::optional<work_id> m_current;
    time_point m_current_since{};
};

} // namespace cicadaport::serving
