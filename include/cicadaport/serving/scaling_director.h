// Orders changes of the number of a service's replicas, as decided by the plan for it.
//
// Every host follows what the plan sees, so that each can take over. The first host in the order of
// hosts gives the orders; `scaling_authority` decides whether they may be sent.
//
// Runs on the event loop.
#pragma once

#include "cicadaport/duties/acting_turn.h"
#include "cicadaport/duties/scaling_plan.h"
#include "cicadaport/serving/host_state.h"

#include <deque>
#include <functional>
#include <map>

namespace cicadaport::serving {

// Sends orders for the number of replicas to the platform, as far as this host may.
class scaling_authority {
public:
    struct result {
        duties::order_outcome outcome = duties::order_outcome::unknown;
        unsigned status = 0;
        // 0 if nothing was sent.
        std::uint64_t fencing_token = 0;
    };
    using completion = std::function<void(const result&)>;

    virtual ~scaling_authority() = default;

    // Returns this host's rank in the order of hosts for a service.
    virtual std::size_t rank(const std::string& service) const = 0;

    // Sends an order before `give_up_at` or not at all, and calls `on_done` exactly once. There is
    // at most one order for each service and zone at a time.
    virtual void send(const std::string& service, const duties::scaling_order& order,
                      time_point give_up_at, completion on_done) = 0;
};

// Orders and their outcomes, for logs.
struct scaling_counts {
    std::uint64_t orders = 0;
    std::uint64_t accepted = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t unknown = 0;
    // Times at which this host took over from another one.
    std::uint64_t takeovers = 0;
};

// Returns what the plan decides from.
duties::scaling_view make_scaling_view(host_state& host, const service& of, time_point now);

class scaling_director {
public:
    static constexpr milliseconds evaluation_interval{300};
    // Nothing is ordered from a view of the list of replicas that is older than this.
    static constexpr milliseconds max_list_age{5'000};
    // An order that could not be sent for this long is decided anew. Longer than a lease, for which
    // a host waits before it replaces the record of another one.
    static constexpr milliseconds order_timeout{6'000};
    // Demand is known once this host has heard the others for this long.
    static constexpr milliseconds min_heard_time{2'000};

    // `authority` must outlive the director.
    scaling_director(host_state& host, scaling_authority& authority)
        : m_host{host}, m_authority{authority}
    {
    }

    // Starts the periodic evaluation.
    void start() { evaluate(); }

    const scaling_counts& counts() const noexcept { return m_counts; }
    void log_state();

private:
    struct service_state {
        duties::scaling_plan plan;
        duties::acting_turn turn;
        bool acts = false;
        // Orders that wait until the one in progress for their zone has ended.
        std::map<std::string, std::deque<duties::scaling_order>> waiting;
        std::map<std::string, bool> is_sending;
    };

    void evaluate();
    void evaluate(const service& of);
    bool is_view_current() const;
    void add_order(const std::string& service, const duties::scaling_order& order);
    void send_next(const std::string& service, const std::string& zone);
    void handle_result(const std::string& service, const duties::scaling_order& order,
                       time_point sent, const scaling_authority::result& result);

    host_state& m_host;
    scaling_authority& m_authority;
    std::map<std::string, service_state> m_services;
    scaling_counts m_counts;
    line_budget m_log_budget;
    transport::timer_queue::handle m_evaluation_timer;
};

} // namespace cicadaport::serving
