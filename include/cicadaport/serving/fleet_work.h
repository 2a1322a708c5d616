// The work that all hosts together have given to engines, as far as this host
// knows: its own exactly, that of others as they tell.
//
// It answers two questions that no host can answer from its own work: how long
// a prompt would wait at an engine, and how much the engines are asked for.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/engine_queue.h"

#include <string>

namespace cicadaport::serving {

// Names a host's process; 0 is this one.
using host_number = std::uint64_t;

// One piece of work at an engine.
struct engine_work {
    std::uint32_t engine = 0;
    std::uint32_t urgency = 0;
    // How long the engine reads; zero for an answer that it streams.
    fine_milliseconds reading{0};
    // The same at an engine that does nothing but read.
    fine_milliseconds nominal_reading{0};
    // A digest of the prompt's shared beginning, which the engine keeps for a
    // while; 0 if it is too short to matter.
    std::uint32_t beginning = 0;
    // Tokens that the engine takes into its memory for it.
    double taken_in = 0;
};

// Returns the number under which hosts speak of an engine.
std::uint32_t engine_number(const std::string& id);

class fleet_work {
public:
    // Answers of which no end was heard are forgotten after this time, longer
    // than any route lets a request last.
    static constexpr std::chrono::seconds longest_answer{30};
    // Demand is averaged over about this time.
    static constexpr std::chrono::milliseconds demand_time{1'500};

    void begin(host_number host, std::uint64_t id, const engine_work& work, time_point now);
    void end(host_number host, std::uint64_t id, time_point now);

    // Forgets the work of a host that is silent.
    void forget(host_number host, time_point now);

    // Forgets work of which no end was heard for too long.
    void forget_old(time_point now);

    // Returns how long a prompt of this urgency would wait at an engine.
    fine_milliseconds wait(std::uint32_t engine, std::uint32_t urgency, time_point now);

    // Returns how many answers the engine streams, and all engines together.
    std::size_t answering(std::uint32_t engine) const;
    std::size_t answering() const noexcept { return m_answering; }

    // Returns how many engines would be busy all the time with reading what is
    // asked for.
    double reading_demand(time_point now) const;

private:
    struct item {
        std::uint32_t engine = 0;
        bool reads = false;
        time_point expires{};
    };
    struct engine_record {
        engine_queue queue;
        std::size_t answering = 0;
    };
    using host_items = std::unordered_map<std::uint64_t, item>;

    static engine_queue::work_id item_id(host_number host, std::uint64_t id) noexcept;
    void take_out(host_number host, std::uint64_t id, const item& which, time_point now);

    std::unordered_map<host_number, host_items> m_hosts;
    std::unordered_map<std::uint32_t, engine_record> m_engines;
    std::size_t m_answering = 0;
    // Reading that was asked for, counted down exponentially since.
    double m_demand = 0;
    time_point m_demand_at{};
};

} // namespace cicadaport::serving
