// Tracks the work that all hosts have sent to engines: exact for this host, and as
// announced by gossip for the others.
//
// No host can determine from its own work alone how long a prompt would wait at an
// engine, and how much load the engines have in total.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/engine_queue.h"

#include <string>

namespace cicadaport::serving {

// Identifies a host process; 0 is this one.
using host_number = std::uint64_t;

// One piece of work at an engine.
struct engine_work {
    std::uint32_t engine = 0;
    std::uint32_t urgency = 0;
    // Prefill time; zero for a response that the engine decodes.
    fractional_milliseconds prefill_time{0};
    // Prefill time on an engine that does nothing else.
    fractional_milliseconds nominal_prefill_time{0};
    // Digest of the shared prompt prefix, which the engine keeps cached for a while; 0 if
    // the prefix is too short to transfer.
    std::uint32_t prefix_digest = 0;
    // Tokens that are added to the engine's KV cache.
    double added_tokens = 0;
};

// A piece of work that has ended.
struct ended_work {
    std::uint32_t engine = 0;
    bool is_prefill = false;
    // Mean number of streams that ran on the engine during the work.
    double mean_streams = 0;
};

// Returns the number that identifies an engine between hosts.
std::uint32_t engine_number(const std::string& id);

class fleet_work {
public:
    // A stream whose end was not announced is removed after this time, which is longer
    // than the timeout of any route.
    static constexpr std::chrono::seconds stream_ttl{30};
    // Time constant of the exponential average of demand.
    static constexpr std::chrono::milliseconds demand_time_constant{1'500};

    void begin(host_number host, std::uint64_t id, const engine_work& work, time_point now);
    // Returns the ended work; nothing if its begin is not known.
    std::optional<ended_work> end(host_number host, std::uint64_t id, time_point now);

    // Removes the work of a host that is no longer heard from.
    void forget(host_number host, time_point now);

    // Removes work whose end was not announced in time.
    void remove_expired(time_point now);

    // Returns how long a prompt of this urgency would wait at an engine.
    fractional_milliseconds wait(std::uint32_t engine, std::uint32_t urgency, time_point now);

    // Return the number of active streams on one engine, and on all engines.
    std::size_t active_streams(std::uint32_t engine) const;
    std::size_t active_streams() const noexcept { return m_active_streams; }

    // Returns how many engines the current prefill demand would keep fully busy.
    double prefill_demand(time_point now) const;

private:
    struct item {
        std::uint32_t engine = 0;
        bool is_prefill = false;
        time_point expires{};
        time_point began{};
        // The engine's stream time at the begin.
        fractional_milliseconds stream_time{0};
    };
    struct engine_record {
        engine_queue queue;
        std::size_t active_streams = 0;
        // Total time of all streams until `counted_until`.
        fractional_milliseconds stream_time{0};
        time_point counted_until{};
    };
    static fractional_milliseconds count_stream_time(engine_record& of, time_point now);
    using host_items = std::unordered_map<std::uint64_t, item>;

    static engine_queue::work_id item_id(host_number host, std::uint64_t id) noexcept;
    void remove_item(host_number host, std::uint64_t id, const item& which, time_point now);

    std::unordered_map<host_number, host_items> m_hosts;
    std::unordered_map<std::uint32_t, engine_record> m_engines;
    std::size_t m_active_streams = 0;
    // Prefill demand as of `m_demand_at`; it decays exponentially.
    double m_demand = 0;
    time_point m_demand_at{};
};

} // namespace cicadaport::serving
