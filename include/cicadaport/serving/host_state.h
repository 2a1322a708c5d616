// What all requests of one host share. One per process, on its event loop.
#pragma once

#include "cicadaport/serving/attempt_budget.h"
#include "cicadaport/serving/placement.h"
#include "cicadaport/transport/connection_pool.h"

namespace cicadaport::serving {

// Told to the other hosts, so that they count the work too.
class work_listener {
public:
    virtual ~work_listener() = default;
    virtual void work_added(const std::string& engine, engine_queue::work_id id,
                            std::uint32_t urgency, fine_milliseconds work) = 0;
    virtual void work_ended(const std::string& engine, engine_queue::work_id id) = 0;
};

// How requests ended, for logs and metrics.
struct request_counts {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cut = 0;
    std::uint64_t callers_left = 0;
    std::uint64_t further_attempts = 0;
    std::uint64_t handed_over = 0;
};

// How many events the answers of a route have, as a moving average.
class event_counts {
public:
    // Up to this, answers count as single events.
    static constexpr double single = 1.3;

    void learn(const std::string& route, std::size_t events);

    // Returns whether answers of the route have several events; true before
    // any was seen.
    bool are_many(const std::string& route) const;

private:
    std::unordered_map<std::string, double> m_mean;
};

struct host_state {
    host_state(boost::asio::io_context& with_context, const wire_format& with_wire,
               std::string zone, attempt_budget::bounds budget_bounds);

    boost::asio::io_context& context;
    transport::timer_queue timers;
    const wire_format& wire;
    std::string availability_zone;
    transport::connection_pool connections;
    // Null until the first configuration was read.
    deployment_pointer deployed;
    endpoint_table endpoints;
    attempt_budget budget;
    engine_placement engines;
    replica_placement replicas;
    event_counts events;
    std::mt19937_64 random;
    request_counts counts;
    work_listener* listener = nullptr;
    engine_queue::work_id last_work = 0;
    // Whether the process has been told to stop.
    bool is_stopping = false;
};

} // namespace cicadaport::serving
