// State that all requests of one host share. There is one per process.
//
// Not thread safe: used only on the event loop.
#pragma once

#include "cicadaport/accounts/fair_admission.h"
#include "cicadaport/duties/usage_ledger.h"
#include "cicadaport/orders/order_ledger.h"
#include "cicadaport/serving/attempt_budget.h"
#include "cicadaport/serving/connection_bounds.h"
#include "cicadaport/serving/crash_monitor.h"
#include "cicadaport/serving/late_admission.h"
#include "cicadaport/serving/line_budget.h"
#include "cicadaport/serving/list_position.h"
#include "cicadaport/serving/liveness_checker.h"
#include "cicadaport/serving/memory_budget.h"
#include "cicadaport/serving/placement.h"
#include "cicadaport/serving/planned_stop.h"
#include "cicadaport/serving/replica_paths.h"
#include "cicadaport/serving/request_limits.h"
#include "cicadaport/serving/size_fairness.h"
#include "cicadaport/serving/stream_origin_tracker.h"
#include "cicadaport/transport/connection_pool.h"

namespace cicadaport::serving {

// Announces this host's work and observations to the other hosts.
class gossip_sender {
public:
    virtual ~gossip_sender() = default;
    virtual void announce_work_start(std::uint64_t id, const engine_work& work) = 0;
    // `observed` is what engine_placement::record_result() takes.
    virtual void announce_work_end(std::uint64_t id, bool is_prefill, double observed) = 0;
    // Announces records that this host has read from one of the store's lists.
    virtual void announce_page(const shared_page& page) = 0;
    // Returns from how many other hosts gossip was received recently.
    virtual std::size_t peer_count() const noexcept = 0;
    // Returns the number of cells into which hosts and engines are divided, and whether an
    // engine belongs to this host's cell.
    virtual std::uint64_t cell_count() const noexcept = 0;
    virtual bool is_in_cell(std::uint32_t engine) const noexcept = 0;
    // Returns this host's rank among all hosts that may send requests to a replica. With
    // `in_cell` only hosts of the replica's cell may.
    virtual fleet_place place_for(std::uint32_t endpoint, bool in_cell) const = 0;
    // Announces the limit that a replica advertises, or that it advertises none any longer.
    virtual void announce_limit(const limit_statement& said) = 0;
    // Announces engines that ended, and prompt segments with which requests were answered.
    virtual void announce_crashes(std::span<const engine_crash> crashes) = 0;
    virtual void announce_survivals(std::span<const segment_survival> survivals) = 0;
    // Announces that a request is sent to find out whether quarantined segments are sound.
    virtual void announce_trials(std::span<const segment_id> segments) = 0;
    // Announces whether requests may be relayed to this host: it has a path to replicas and is not
    // stopping.
    virtual void announce_reachability() = 0;
    // Returns the hosts to which requests may be relayed, the nearest first: those that were heard
    // from lately, have a path to replicas and are not known to be stopping.
    virtual std::vector<http::address> relay_hosts() const = 0;
    // Announces on which versions streams began.
    virtual void announce_streams(std::span<const begun_stream> streams) = 0;
    // Returns this host's rank in an order of the hosts that it knows; the last possible rank
    // while it may not know all of them yet.
    virtual std::size_t rank_among_known_hosts() const = 0;
    // Returns since when this host has heard the other hosts without an interruption; empty if it
    // does not hear them now. Announcements from before that time may have been missed.
    virtual std::optional<time_point> heard_since() const = 0;
    // Announces that an engine is sent an order with this fencing token to change its stage, and
    // takes no work for `time`.
    virtual void announce_stage_change(std::uint32_t engine, engine_stage to, milliseconds time,
                                       std::uint64_t token) = 0;
};

// Outcomes of requests, for logs and metrics.
struct request_counts {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    // Those of the refused ones whose prompts have a quarantined segment.
    std::uint64_t quarantined = 0;
    // Those of the refused ones that no engine could serve in time.
    std::uint64_t refused_for_load = 0;
    // Prompts whose first event was sent after the latency objective.
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t cut = 0;
    std::uint64_t client_disconnects = 0;
    std::uint64_t retries = 0;
    std::uint64_t handed_over = 0;
    std::uint64_t relayed = 0;
    caller_counts callers;
};

// Calls to the platform's store, for logs and metrics.
struct store_counts {
    // Pages of whole lists.
    std::uint64_t pages = 0;
    // Reads of records from an offset on.
    std::uint64_t configuration_reads = 0;
    std::uint64_t endpoint_reads = 0;
    // Reads of both kinds, for orders.
    std::uint64_t order_reads = 0;
    std::uint64_t origin_reads = 0;
    std::uint64_t appends = 0;
};

// The moving average of the number of events per response, by route.
class event_counts {
public:
    // Responses of up to this many events are seldom delayed by a concurrent prefill.
    static constexpr double max_short_response_events = 4;

    void learn(const std::string& route, std::size_t events);

    // Returns whether responses of the route have more than `max_short_response_events` events on
    // average; true before the first response.
    bool has_many(const std::string& route) const;

    // Returns the average number of events, and the number that a tenth of the responses exceed;
    // 1 before the first response.
    double usual(const std::string& route) const;
    double long_response(const std::string& route) const;

private:
    struct record {
        double mean = 0;
        double long_response = 0;
    };
    std::unordered_map<std::string, record> m_routes;
};

struct host_state {
    host_state(boost::asio::io_context& with_context, const wire_format& with_wire,
               std::string zone, attempt_budget::bounds budget_bounds);

    // Counts work given to an engine, on this host and on the other hosts, until `end_work()`
    // is called with the returned id.
    std::uint64_t begin_work(const engine_work& work);
    // `observed` is what engine_placement::record_result() takes.
    void end_work(std::uint64_t id, double observed = 0);

    // Returns the engines of a service to which this host may give work: those of its cell,
    // or all engines if the cell lacks a stage. Valid until the next call.
    const std::vector<endpoint_pointer>& engines_of(const std::string& service_name);

    // Returns this host's share of the connections that one replica of a service accepts from
    // all hosts together.
    std::uint32_t connection_share(const service& of) const noexcept;

    // Applies what a response head states about the replica itself. `request` is the id of
    // the request that was sent at `asked`; empty for a call that the host made by itself.
    void apply_response_terms(const endpoint& replica, bool is_engine, unsigned status,
                              const answer_metadata& metadata, std::string_view request,
                              time_point asked);
    // Applies an advertised limit that another host announced.
    void apply_announced_limit(const limit_statement& said);
    // Returns the endpoints to which a request must not be sent: `failed`, which have failed
    // it, and those for which this host has used up its share of the advertised limit. Valid
    // until the next call.
    const std::set<std::string>& excluded_endpoints(const std::set<std::string>& failed);
    // Returns whether a replica accepts a request now. `is_engine` tells an engine from a
    // replica of a plain service.
    bool accepts_request(const endpoint& replica, bool is_engine);
    // Records which history of the store an answer belongs to. Returns false if that history has
    // ended, so that the answer must not be used.
    bool accept_store_answer(const history::epoch_statement& stated);
    // Records that a list does not continue what was read from it although the store has stated no
    // later epoch. `evidence` says what was seen.
    void record_unannounced_return(feed of, std::string_view evidence);
    // Returns whether the store has returned so lately that acknowledged versions may still have to
    // be written again.
    bool is_store_refilling(time_point now) const noexcept;
    // Logs how many accounts and keys are in force, and the numbers of requests by outcome, if the
    // configuration has accounts.
    void log_accounts() const;
    // Logs how many requests were sent to each rate-limited replica.
    void log_limit_usage();
    // Deletes the state of replicas that are no longer offered. An unexpired backoff is kept,
    // in case the same incarnation of a replica is offered again.
    void forget_removed_replicas();
    // Called when the platform lists the replica. Deletes limits of earlier incarnations and
    // resumes a backoff that was kept for this one.
    void handle_listed_replica(const endpoint_report& report);
    // Returns the earliest time at which one of the service's replicas that accept no requests
    // now accepts them again; nothing if there is no such time.
    std::optional<time_point> earliest_acceptance_time(const std::string& service_name);
    // Ends the holders of the most memory until what is held is within its limit.
    void reclaim_memory();
    // Returns the health of a replica. `is_engine` tells an engine from a replica of a plain
    // service.
    endpoint_health& health_of(const endpoint& replica, bool is_engine);

    boost::asio::io_context& context;
    // The memory that requests and answers hold, and the budget for log lines about it.
    memory_budget memory;
    line_budget memory_log_budget;
    transport::timer_queue timers;
    const wire_format& wire;
    std::string availability_zone;
    transport::connection_pool connections;
    // Null until the first configuration has been read.
    deployment_pointer deployed;
    endpoint_table endpoints;
    // Which history of the store is known. What is read from the store belongs to one history.
    history::store_history store_history;
    // Number of failed calls for the platform's lists. After any of them the store may be in
    // another history, whichever list the call was for.
    std::uint64_t failed_list_calls = 0;
    line_budget epoch_log_budget;
    // Positions in the lists from which `deployed` and `endpoints` are read.
    list_position configuration_position;
    list_position endpoints_position;
    // A view of the configuration that is older than this may lack what is in force.
    milliseconds max_apply_delay{2'000};
    // A view of the configuration that is older than this proves no key valid. Empty if a view of
    // any age does.
    std::optional<milliseconds> max_revocation_delay;
    // For log lines about requests that match no route, and about requests whose key was not
    // accepted.
    line_budget unrouted_log_budget;
    line_budget account_log_budget;
    accounts::authentication_counts authentications;
    // Limits that replicas advertise, and the budget for log lines about them.
    request_limits limits;
    line_budget limit_log_budget;
    // For log lines about responses that ended early, and about streams that are continued.
    line_budget response_log_budget;
    line_budget resumption_log_budget;
    // For log lines about endpoints to which no connection could be established.
    line_budget reachability_log_budget;
    // For log lines about connections that were ended or refused at their limit.
    line_budget connection_log_budget;
    // For log lines about callers that send more than they may.
    line_budget caller_log_budget;
    connection_bounds caller_bounds;
    attempt_budget budget;
    fleet_work fleet;
    engine_placement engines;
    replica_placement replicas;
    event_counts events;
    size_fairness sizes;
    late_admission late;
    accounts::fair_admission fairness;
    std::mt19937_64 random;
    crash_monitor crashes;
    stream_origin_tracker origins;
    // The orders that were announced for engines.
    orders::order_ledger orders;
    replica_paths paths;
    liveness_checker liveness;
    request_counts counts;
    store_counts store_calls;
    // Runs by account; counts nothing unless this host takes part in reporting usage.
    duties::usage_ledger usage;
    // Not owned. Null while this host sends no gossip.
    gossip_sender* gossip = nullptr;
    std::uint64_t last_work_id = 0;
    // Set once the process has been told to stop.
    std::optional<planned_stop> stop;
    bool is_stopping() const noexcept { return stop.has_value(); }
    // For log lines about requests that a planned stop affects.
    line_budget stop_log_budget;

private:
    void note_leaving(const endpoint& replica);
    void apply_limit(const endpoint& replica, const answer_metadata& metadata,
                     std::string_view request, time_point asked);
    fleet_place place_for(const std::string& replica) const;
    void log_limit_change(const limit_statement& said, limit_change change, std::string_view source,
                          std::string_view request);

    std::vector<endpoint_pointer> m_cell_engines;
    std::set<std::string> m_excluded;
    // The unexpired backoff of replicas that are not offered.
    struct kept_backoff {
        std::int64_t incarnation = 0;
        time_point until{};
    };
    std::unordered_map<std::string, kept_backoff> m_kept_backoffs;
    // Names of unknown response fields that have been logged.
    std::set<std::string> m_unknown_fields;
};

} // namespace cicadaport::serving
