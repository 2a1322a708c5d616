// Handles one caller's request, from the complete request to the end of its answer.
//
// Not thread safe: used on the event loop only. The exchange owns itself through a
// shared pointer from start() until the answer has ended or the caller disconnects.
#pragma once

#include "cicadaport/serving/caller_port.h"
#include "cicadaport/serving/event_buffer.h"
#include "cicadaport/serving/host_state.h"
#include "cicadaport/serving/stream_origins.h"

#include <set>

namespace cicadaport::serving {

// Where a connection stands when it receives a request.
struct connection_progress {
    time_point accepted{};
    // The number of requests received so far.
    std::uint64_t request_count = 0;
};

class exchange final : public transport::answer_observer,
                       public pending_prompt,
                       public memory_holder,
                       public std::enable_shared_from_this<exchange> {
public:
    // `is_relayed` tells that another host has relayed the request, so that it is not relayed
    // again.
    exchange(host_state& host, caller_port& caller, transport::message_head head, std::string body,
             bool is_relayed = false);
    ~exchange() override;

    // Finds the route and sends the request to an endpoint, or answers at once if that
    // is not possible.
    void start();

    // Called when the caller has closed its connection. Cancels the request at the endpoint.
    void on_caller_disconnected();

    // Called when the host ends before the answer has. Answers the request if no answer has begun,
    // else aborts the answer.
    void end_for_stop(const connection_progress& connection);

    // Called when the send buffer to the caller is too full, and when it has been written
    // out. Reading from the endpoint pauses in between.
    void on_caller_blocked();
    void on_caller_drained();

private:
    enum class step { idle, prefilling, running, relaying };
    struct run_state;
    class silent_run;

    // answer_observer
    bool owns(const transport::message_head& head) override;
    void on_head(transport::message_head head) override;
    void on_body(std::string_view piece) override;
    void on_complete() override;
    void on_failure(transport::exchange_failure failure) override;

    // pending_prompt
    std::span<const segment_id> suspects() override;
    void cancel(const segment_verdict& verdict) override;

    // memory_holder
    std::string memory_fields() const override;
    void release_memory() override;

    // Records how many bytes the exchange holds.
    void update_memory();
    // Returns how many bytes the caller's request takes.
    std::size_t request_bytes() const noexcept { return m_head.memory_bytes + m_body.capacity(); }
    bool find_route();
    // Determines the account of the request. Returns false, with the request answered, if its key
    // does not allow it to run.
    bool authenticate();
    // Records the account for which the request runs, in place of the caller's credentials.
    void set_account(const std::string& name, const accounts::account* configured);
    void refuse_unauthenticated(accounts::outcome result, accounts::credentials::form given);
    // Refuses the request if the host is stopping and may end before the answer. Returns whether
    // the request may be sent on.
    bool admit_to_stopping_host();
    // Rejects the request if replicas crash on it. Returns whether it was rejected.
    bool reject_if_quarantined();
    // Records an answer that shows that the request does not crash its replica; once for each run.
    void record_survival();
    // Reports a run that ended with its connection.
    void report_interrupted_answer();
    // Logs that no route matches the request, with the version of the configuration that
    // was searched.
    void log_unrouted() const;
    // Relays the request to another host. Returns whether there is one that may have a path to
    // replicas.
    bool relay();
    void relay_to(const http::address& host);
    void handle_relay_answer();
    void handle_relay_failure(transport::exchange_failure failure);
    // Returns whether another host has refused the request because it is stopping.
    bool is_refused_by_stop() const;
    // Relays a request that another host has refused to a further one, if there is one and enough
    // time is left. Returns whether it was relayed.
    bool relay_elsewhere();
    // Returns the id of the request in whose answer the stream began; empty if it isn't known.
    const std::string& begun_as() const noexcept
    {
        return m_metadata.last_event_id ? m_metadata.resumed_request : m_metadata.id;
    }
    // Returns how many replicas the request may be sent to.
    std::uint32_t max_attempts() const noexcept
    {
        return m_is_relayed ? std::min(m_route->max_attempts, m_metadata.attempts_left.value_or(1))
                            : m_route->max_attempts;
    }

    // Returns whether the request continues a stream whose origin was not determined yet.
    bool lacks_origin() const noexcept
    {
        return m_route->resumable && !m_origin &&
               (m_metadata.last_event_id || m_events.last_event_id());
    }
    // Determines the origin of the stream and continues it there.
    void find_origin();
    void resume_at(std::optional<origin_id> origin);
    // Finds the replicas that must not continue the stream, or not begin it yet.
    void exclude_other_versions();
    // Returns whether another replica could continue the stream.
    bool can_continue_elsewhere() const;
    // Records on which version the stream began.
    void record_origin();
    // Chooses an endpoint and sends the request to it, or rejects the request.
    void place();
    prompt_query make_prompt_query(const service& target) const;
    void place_prompt(const service& target);
    // `target` is null if the configuration does not describe the service.
    void place_plain(const service* target);
    void send(step what, const endpoint_pointer& to, const run_parameters& parameters);
    // Takes a connection for a new attempt, and drops what the last one received.
    void begin_attempt(step what, const endpoint_pointer& to);
    void send_run(const endpoint_pointer& to, std::optional<prompt_kv_cache> from);
    void send_prefill(const prompt_plan& plan);

    void handle_prefill_answer();
    void handle_prefill_failure();
    void handle_run_answer();
    void handle_run_rejection();
    void handle_run_failure();
    // Starts the timeout of the endpoint's answer. When it expires, the endpoint has failed
    // and the request is retried where that is allowed. An engine that has answered other
    // requests in the meantime gets the same time again.
    void start_answer_timeout(fractional_milliseconds time);
    void handle_answer_timeout();
    // Asks another replica to continue a resumable stream if its events stop coming and its replica
    // does not answer a check either.
    void start_silence_timeout();
    void check_silent_replica();
    void handle_liveness(bool is_alive);
    // Asks another replica to continue the stream, if there is one and a further attempt is
    // allowed.
    void continue_elsewhere();
    // Keeps the current run while another replica is asked to continue its stream.
    void hold_silent_run();
    // Makes the run that is kept the current one again, in place of the attempt to continue it.
    void return_to_silent_run();
    // Ends the run that is kept, if any.
    void release_silent_run();
    // Handles the end of the run that is kept.
    void handle_silent_run_failure();
    // Logs what becomes of a stream whose replica is silent.
    void log_silence(std::string_view effect) const;
    // Returns for how long a stream may be silent.
    milliseconds max_silence() const;
    void handle_deadline();
    // Gives up the request: aborts its answer, or answers whether it may have run. `pause` is for
    // callers whose request has not run.
    void give_up(milliseconds pause, std::string_view reason);
    // Logs that the host stops before the answer has ended.
    void log_cut_by_stop(const connection_progress& connection) const;

    // Returns whether the route and the retry budget allow one more attempt. If they do,
    // it is charged to the budget.
    bool try_acquire_attempt();
    // Sends the request to another endpoint if one more attempt is allowed. Returns
    // whether it was allowed.
    bool retry_elsewhere();
    // Returns the Retry-After time for callers when no replica can be used.
    milliseconds retry_after_without_replica() const;
    // Returns the health record of the endpoint that the request was last sent to.
    endpoint_health& health_of_endpoint();
    // Returns whether the answer is a success that its endpoint made for the caller. If it
    // continues a stream, it has the status with which the stream began.
    bool is_genuine_success() const;
    void forward_events();
    // Aborts the exchange with the endpoint if its answer, or one event of it, is larger
    // than `max_bytes`.
    void enforce_answer_limit(std::size_t bytes, std::size_t max_bytes);
    void release_endpoint();
    // Ends what is recorded for a run at an endpoint.
    void end_run_work(const endpoint& at, std::uint64_t decode_work,
                      fractional_milliseconds event_interval);
    void release_held_kv_cache();
    void begin_prefill(const endpoint& engine);
    // Records that an engine will have the prompt in its KV cache after `prefill_latency`.
    // Returns how many of the prompt's tokens are not in the engine's KV cache yet.
    double record_prompt_at(const endpoint& engine, fractional_milliseconds prefill_latency);
    // `time_ratio` is that of the engine, as observed; 0 if it was not.
    void end_prefill(double time_ratio = 0);
    // Returns the mean interval between the events of the current run; 0 if it shows nothing about
    // the replica.
    fractional_milliseconds observed_event_interval() const;

    void record_event();
    // Counts the run of a request without a stream for its account. A stream is counted with its
    // first event.
    void record_usage();
    void record_decode_wait();
    // Records that the engine has the prompt's KV cache. A handle can be used once.
    void record_kv_transfer();
    // Logs that a stream is sent to a replica to be continued, with where it began.
    void log_continuation(const endpoint& to) const;
    // Logs that no connection to the endpoint could be established.
    void log_unreached(time_point now) const;
    // Logs that the connection ended before the answer did, with the prompt's segments.
    void log_interrupted_run(transport::exchange_failure failure);
    // Handles the answer that has been received.
    void handle_answer();
    void handle_failure(transport::exchange_failure failure);
    // Runs a handler. If it throws, the request ends with 502 or its answer is aborted.
    template <typename Handler>
    void guard(Handler handle)
    {
        try {
            handle();
        }
        catch (const std::exception&) {
            end_after_exception();
        }
    }
    // Call it in a catch clause only.
    void end_after_exception();
    void log_end(std::string_view result, std::string_view reason) const;
    void reject(milliseconds pause, std::string_view reason);
    void fail(unsigned status, std::string_view reason);
    void finish();
    milliseconds remaining_time() const;
    // Rejects a placed prompt if its first event would come after the caller has given up,
    // or if late admission sheds it. Returns whether the prompt was rejected.
    bool reject_if_late(const prompt_query& query);
    // Records once what the request asks for its account. Returns whether the request is late and
    // its account has had its fair share. `work` is the predicted time of its prefill.
    bool is_over_share(fractional_milliseconds work, bool is_late);
    bool may_have_run() const noexcept { return m_attempt_may_have_run || m_earlier_may_have_run; }

    host_state& m_host;
    // Null once the answer has ended or the caller has disconnected.
    caller_port* m_caller;
    transport::message_head m_head;
    std::string m_body;
    memory_budget::reservation m_memory;
    request_metadata m_metadata;
    deployment_pointer m_deployment;
    const route* m_route = nullptr;
    // The name of the account; empty if the request has none.
    std::string m_account;
    // Whether the account was determined, by this host or by the one that relays the request.
    // Otherwise the caller's credentials are forwarded.
    bool m_account_determined = false;
    // Whether the request was recorded as work that its account asks for.
    bool m_demand_recorded = false;
    // Of the account or else of the route; 0 is the most urgent.
    std::uint32_t m_priority = 0;
    std::string m_service;
    time_point m_arrived{};
    time_point m_deadline{};
    transport::timer_queue::handle m_deadline_timer;
    transport::timer_queue::handle m_answer_timer;
    std::shared_ptr<exchange> m_self;

    step m_step = step::idle;
    endpoint_pointer m_endpoint;
    std::shared_ptr<transport::exchange_connection> m_connection;
    http::address m_address;
    // Addresses from which the request was answered. A copy of such an answer has the request's id,
    // so the request is sent there once more only on a new connection.
    std::set<http::address> m_answered_at;
    time_point m_sent{};
    // The prompt's segments that other requests may share.
    std::vector<segment_id> m_shared_segments;
    // All that a replica may crash on: the shared segments, and the digest of the whole request.
    // Empty until suspects() is called.
    std::vector<segment_id> m_suspects;
    // The evidence against the suspects when the request was admitted; empty if it was not admitted
    // yet.
    std::optional<double> m_admitted_evidence;
    // Replicas that have failed the request, and those of other versions than may run it.
    std::set<std::string> m_excluded;
    std::set<std::string> m_other_versions;
    // How often the request was sent to a replica to be run. A prefill that failed also
    // counts.
    std::uint32_t m_attempts = 0;
    std::uint32_t m_connect_attempts = 0;
    std::uint32_t m_relay_attempts = 0;
    bool m_is_relayed;
    // Whether the replica of the current attempt may have run the request, and whether
    // the replica of an earlier attempt may have. A replica may have run it unless it
    // states that it has not.
    bool m_attempt_may_have_run = false;
    bool m_earlier_may_have_run = false;
    bool m_kv_transfer_attempted = false;
    bool m_served = false;
    size_class m_size = size_class::usual;

    // Where the stream began; set with its first event.
    std::optional<origin_id> m_origin;
    // Arrival times of events, for the log and for the timeout of silent streams.
    time_point m_first_event{};
    // The first event of the current run, and whether the run has shown that the request does not
    // crash its replica.
    time_point m_run_first_event{};
    bool m_run_survived = false;
    // Number of events up to the first of the current run, and whether reading from the replica has
    // paused for the caller.
    std::size_t m_run_first_count = 0;
    bool m_caller_was_blocked = false;
    time_point m_last_event{};
    clock::duration m_longest_pause{0};
    // Silence before this time does not count against the stream.
    time_point m_silence_start{};
    // Null unless another replica is asked to continue a silent stream.
    std::unique_ptr<silent_run> m_silent_run;

    prompt_plan m_plan;
    std::optional<prompt_kv_cache> m_kv_cache;
    // Ids of the work registered with host_state::begin_work(); 0 if there is none.
    std::uint64_t m_prefill_work = 0;
    std::uint64_t m_decode_work = 0;

    std::optional<transport::message_head> m_answer;
    answer_metadata m_answer_metadata;
    // Whether the answer certainly belongs to the request: it carries the request's id, or
    // the request is the first on its connection.
    bool m_answer_confirmed = true;
    std::string m_answer_body;
    event_buffer m_events;
    // Whether a stream to the caller has begun, and with which status.
    bool m_answer_started = false;
    unsigned m_begun_status = 0;
};

} // namespace cicadaport::serving
