// One caller's request, from its last byte to the end of its answer.
//
// Belongs to the event loop. The exchange keeps itself alive while an endpoint
// works on it.
#pragma once

#include "cicadaport/serving/caller_port.h"
#include "cicadaport/serving/event_buffer.h"
#include "cicadaport/serving/host_state.h"

#include <set>

namespace cicadaport::serving {

class exchange final : public transport::answer_observer,
                       public std::enable_shared_from_this<exchange> {
public:
    exchange(host_state& host, caller_port& caller, transport::message_head head, std::string body);
    ~exchange() override;

    // Finds the route and sends the request, or answers at once.
    void start();

    // The caller has closed its connection; the endpoint is told to stop.
    void caller_left();

    // The caller takes no more bytes for now, or takes them again.
    void caller_is_slow();
    void caller_drained();

private:
    enum class step { idle, reading_prompt, running };

    // answer_observer
    bool owns(const transport::message_head& head) override;
    void on_head(transport::message_head head) override;
    void on_body(std::string_view piece) override;
    void on_complete() override;
    void on_failure(transport::exchange_failure failure) override;

    bool find_route();
    // Logs that no route takes the request, and which view of the configuration
    // says so.
    void tell_unrouted() const;
    void place();
    prompt_query make_prompt_query(const service& target) const;
    void place_prompt(const service& target);
    // `target` is null if the configuration does not describe the service.
    void place_plain(const service* target);
    void send(step what, const endpoint_pointer& to, const run_terms& terms);
    void send_run(const endpoint_pointer& to, std::optional<read_prompt> from);
    void send_prompt(const prompt_plan& plan);

    void prompt_answered();
    void prompt_failed();
    void run_answered();
    void run_rejected();
    void run_unanswered();
    // Doubts the endpoint if it shows nothing for so long.
    void be_patient(fractional_milliseconds time);
    void out_of_patience();
    // Goes on elsewhere if a resumable stream falls silent.
    void watch_pauses();
    void deadline_passed();

    // Whether the request may be sent once more, by its route and by the budget,
    // which then has paid for it.
    bool take_attempt();
    // Tries another endpoint if one more attempt is allowed; returns whether.
    bool try_again();
    // How long callers should stay away when no replica can be used.
    milliseconds pause_until_return() const;
    // What is known of the endpoint that the request was sent to last.
    endpoint_health& health_of_endpoint();
    void forward_events(bool at_end);
    // Ends the exchange with the endpoint if its answer, or one event of it, is larger
    // than any that is waited for.
    void bound_answer(std::size_t bytes, std::size_t most_bytes);
    void leave_endpoint();
    void drop_prompt();
    void begin_reading(const endpoint& engine);
    // Notes that an engine has the prompt in memory after `prefill_latency`. Returns how many
    // of its tokens the engine did not keep.
    double note_prompt_at(const endpoint& engine, fractional_milliseconds prefill_latency);
    void end_reading();

    void note_event();
    void note_answer_wait();
    void log_end(std::string_view result, std::string_view reason) const;
    void refuse(milliseconds pause, std::string_view reason);
    void fail(unsigned status, std::string_view reason);
    void finish();
    milliseconds left() const;
    // Refuses a prompt that has been placed and can't or need not be read; returns
    // whether.
    bool refuse_late(const prompt_query& query);
    bool may_have_run() const noexcept { return m_unsettled || m_ran_before; }

    host_state& m_host;
    // Null once the answer has ended.
    caller_port* m_caller;
    transport::message_head m_head;
    std::string m_body;
    request_terms m_terms;
    deployment_pointer m_deployment;
    const route* m_route = nullptr;
    std::string m_service;
    time_point m_arrived{};
    time_point m_deadline{};
    transport::timer_queue::handle m_deadline_timer;
    transport::timer_queue::handle m_patience;
    std::shared_ptr<exchange> m_self;

    step m_step = step::idle;
    endpoint_pointer m_endpoint;
    std::shared_ptr<transport::exchange_connection> m_connection;
    http::address m_address;
    time_point m_sent{};
    std::set<std::string> m_excluded;
    // Replicas that the request was sent to for running.
    std::uint32_t m_attempts = 0;
    std::uint32_t m_connect_tries = 0;
    // The replica that it was sent to last may have run it and has not said
    // otherwise; and one before it may have.
    bool m_unsettled = false;
    bool m_ran_before = false;
    bool m_hand_over_tried = false;
    bool m_served = false;
    size_class m_size = size_class::usual;

    // For the log: when events came.
    time_point m_first_event{};
    time_point m_last_event{};
    clock::duration m_longest_pause{0};
    // The stream is watched for silence since then.
    time_point m_watched_since{};

    prompt_plan m_plan;
    std::optional<read_prompt> m_prompt;
    // Numbers of work that was counted; 0 if there is none.
    std::uint64_t m_reading = 0;
    std::uint64_t m_answering = 0;

    std::optional<transport::message_head> m_answer;
    answer_terms m_answer_terms;
    // Whether the answer is the request's beyond doubt: it names the request, or nothing
    // else was ever asked on the connection.
    bool m_answer_certain = true;
    std::string m_answer_body;
    event_buffer m_events;
    bool m_begun = false;
};

} // namespace cicadaport::serving
