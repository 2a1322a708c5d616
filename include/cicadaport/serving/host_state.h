// What all requests of one host share. One per process, on its event loop.
#pragma once

#include "cicadaport/serving/attempt_budget.h"
#include "cicadaport/serving/late_admission.h"
#include "cicadaport/serving/line_budget.h"
#include "cicadaport/serving/list_position.h"
#include "cicadaport/serving/placement.h"
#include "cicadaport/serving/request_limits.h"
#include "cicadaport/serving/size_fairness.h"
#include "cicadaport/transport/connection_pool.h"

namespace cicadaport::serving {

// Tells the other hosts what this one gives to engines.
class news_writer {
public:
    virtual ~news_writer() = default;
    virtual void work_begun(std::uint64_t id, const engine_work& work) = 0;
    virtual void work_ended(std::uint64_t id) = 0;
    // This host has read one of the store's lists.
    virtual void list_read(const shared_page& page) = 0;
    // Returns how many other hosts have been heard of late.
    virtual std::size_t hosts_heard() const noexcept = 0;
    // Returns into how many cells hosts and engines are divided, and whether an
    // engine belongs to the own one.
    virtual std::uint64_t cell_count() const noexcept = 0;
    virtual bool is_in_cell(std::uint32_t engine) const noexcept = 0;
    // Returns this host's place among all that may send requests to a replica; with
    // `in_cell` those of its cell alone may.
    virtual fleet_place place_for(std::uint32_t endpoint, bool in_cell) const = 0;
    // A replica names a limit, or none any longer.
    virtual void limit_named(const limit_statement& said) = 0;
    // The engine changes its stage and takes no work for a time.
    virtual void engine_changes(std::uint32_t engine, engine_stage to, milliseconds time) = 0;
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

// Calls to the platform's store, for logs and metrics.
struct store_counts {
    // Whole lists, a page each; records from an offset on; both for orders; appends.
    std::uint64_t pages = 0;
    std::uint64_t configuration_reads = 0;
    std::uint64_t endpoint_reads = 0;
    std::uint64_t order_reads = 0;
    std::uint64_t appends = 0;
};

// How many events the answers of a route have, as a moving average.
class event_counts {
public:
    // Up to this many events seldom pause beside prompts that are read.
    static constexpr double few = 4;

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

    // Counts work given to an engine, here and at the other hosts, until
    // `end_work()` with the number returned.
    std::uint64_t begin_work(const engine_work& work);
    void end_work(std::uint64_t id);

    // Returns the engines of a service that this host gives work to: those of its
    // cell; all, if the cell lacks a stage.
    const std::vector<endpoint_pointer>& engines_of(const std::string& service_name);

    // Returns this host's part of the connections that one replica of a service
    // takes from all hosts together.
    std::uint32_t connection_share(const service& of) const noexcept;

    // Takes what the head of a replica's answer says of the replica itself. `request` is
    // the id of the request that was sent at `asked`; empty for a call of the host's own.
    void note_answer(const endpoint& replica, bool is_engine, unsigned status,
                     const answer_metadata& metadata, std::string_view request, time_point asked);
    // Another host has told what a replica names.
    void note_told_limit(const limit_statement& said);
    // Returns the endpoints that a request must not be sent to: `failed`, which have
    // failed it, and those of whose limit this host's part is used up. Valid until the
    // next call.
    const std::set<std::string>& closed_to(const std::set<std::string>& failed);
    // Whether a replica wants a request now, one that reads prompts or another.
    bool wants_request(const endpoint& replica, bool is_engine);
    // Logs what was sent to replicas that name a limit.
    void tell_limit_uses();
    // Forgets what was known of replicas that are no longer offered, but for what
    // binds this host if the same start of one is offered again.
    void forget_dropped();
    // The platform lists the replica.
    void note_listed(const endpoint_report& report);
    // Returns when the first replica of a service wants requests again, of those that
    // want none now; nothing if there is none.
    std::optional<time_point> first_return(const std::string& service_name);
    // What is known of a replica, of one that reads prompts or of another.
    endpoint_health& health_of(const endpoint& replica, bool is_engine);

    boost::asio::io_context& context;
    transport::timer_queue timers;
    const wire_format& wire;
    std::string availability_zone;
    transport::connection_pool connections;
    // Null until the first configuration was read.
    deployment_pointer deployed;
    endpoint_table endpoints;
    // Of the lists from which `deployed` and `endpoints` were read.
    list_position configuration_position;
    list_position endpoints_position;
    // An older view of the configuration may lack what is in force.
    milliseconds apply_time{2'000};
    // For requests that no route takes.
    line_budget unrouted_lines;
    // What replicas say of the requests that they take; and its lines in the log.
    request_limits limits;
    line_budget limit_lines;
    // For answers that are broken off.
    line_budget answer_lines;
    attempt_budget budget;
    fleet_work fleet;
    engine_placement engines;
    replica_placement replicas;
    event_counts events;
    size_fairness sizes;
    late_admission late;
    std::mt19937_64 random;
    request_counts counts;
    store_counts store_calls;
    // Null while this host tells nobody.
    news_writer* news = nullptr;
    std::uint64_t last_work = 0;
    // Whether the process has been told to stop.
    bool is_stopping = false;

private:
    void note_leaving(const endpoint& replica);
    void note_limit(const endpoint& replica, const answer_metadata& metadata,
                    std::string_view request, time_point asked);
    fleet_place place_for(const std::string& replica) const;
    void tell_limit(const limit_statement& said, limit_change change, std::string_view source,
                    std::string_view request);

    std::vector<endpoint_pointer> m_cell_engines;
    std::set<std::string> m_closed;
    // Replicas that are not offered and want no requests.
    struct left_alone {
        std::int64_t incarnation = 0;
        time_point until{};
    };
    std::unordered_map<std::string, left_alone> m_left_alone;
    // Fields of answers that the log has named as unknown.
    std::set<std::string> m_unknown_fields;
};

} // namespace cicadaport::serving
