// Sends orders to engines to change their stage, as decided by the stage policy.
//
// Every host may do so; `orders::order_attempt` and the ledger of announced orders decide which
// host does. Only announced orders are sent, and each only once: an order without a response is not
// sent again, and its effect shows in the list of replicas.
//
// Runs on the event loop.
#pragma once

#include "cicadaport/orders/order_attempt.h"
#include "cicadaport/serving/host_state.h"
#include "cicadaport/serving/single_call.h"
#include "cicadaport/serving/stage_policy.h"

namespace cicadaport::serving {

class stage_director {
public:
    static constexpr milliseconds evaluation_interval{250};
    // Hosts that decide on the same change start after a random delay, whose maximum
    // grows with the number of hosts: announcing a change and distributing it to the
    // other hosts takes about this long.
    static constexpr milliseconds base_start_delay{400};
    static constexpr milliseconds start_delay_per_host{25};
    // Maximum number of engines that change at the same time: the larger of
    // `base_concurrent_changes` and one for every `engines_per_concurrent_change`
    // engines. An order that is carried out late takes its engine away when no host
    // expects it.
    static constexpr std::size_t base_concurrent_changes = 3;
    static constexpr std::size_t engines_per_concurrent_change = 12;

    stage_director(host_state& host, http::address store, std::string holder)
        : m_host{host}, m_store{std::move(store)}, m_holder{std::move(holder)}
    {
    }

    // Starts the periodic evaluation of the stages.
    void start() { evaluate(); }

private:
    // A change in progress.
    struct change {
        std::string service;
        stage_change wanted;
        std::vector<endpoint_pointer> engines;
        // Without fencing tokens.
        std::vector<stage_order> orders;
        std::size_t pending_count = 0;
        orders::order_attempt attempt;
    };
    using change_pointer = std::shared_ptr<change>;
    using store_answer = std::optional<call_response>;

    static constexpr milliseconds speed_log_interval{10'000};

    void evaluate();
    // Logs how many engines are known to be fast, every `speed_log_interval`.
    void log_speeds();
    // Returns a query with the pace that the streams of a service need at most.
    prompt_query longest_stream_of(const std::string& service) const;
    stage_view view_of(const std::string& service);
    // Returns the stage to which the engine is changing, or else its present stage.
    engine_stage stage_of(const endpoint& engine) const;
    bool is_changing(const endpoint& engine) const;
    milliseconds max_start_delay() const;
    stage_change decide(const std::string& service);
    std::vector<endpoint_pointer> engines_to_change(const std::string& service,
                                                    const stage_change& wanted);

    void begin(const std::string& service);
    void read_announcements(const change_pointer& current, const std::string& after);
    // Records a page of announcements. Returns the key after which to read on; empty after the last
    // page. Throws an exception if the page can't be read or ends the change.
    std::string record_announcements(const change_pointer& current, const call_response& answer);
    // Records that the store has returned if that is why a change ends. Returns the reason.
    std::string_view record_refusal(orders::refusal reason);
    void query_engines(const change_pointer& current);
    void announce(const change_pointer& current);
    void send_orders(const change_pointer& current);
    void send_order(const change_pointer& current, const stage_order& order,
                    const endpoint_pointer& engine);
    void abandon_change(std::string_view reason);

    host_state& m_host;
    http::address m_store;
    std::string m_holder;
    stage_policy m_policy;
    transport::timer_queue::handle m_evaluation_timer;
    transport::timer_queue::handle m_start_timer;
    time_point m_speeds_logged{};
    bool m_busy = false;
};

} // namespace cicadaport::serving
