// Injects faults of hosts and of the store into a fleet of real host processes while versions
// of the configuration are published and replicas start and leave. Checks after each
// acknowledgement the responses and requests of every host without a fault.
#pragma once

#include "platform/crashing_engines.h"
#include "platform/soak/configuration_history.h"
#include "platform/soak/crash_judge.h"
#include "platform/soak/host_fleet.h"
#include "platform/soak/limit_judge.h"
#include "platform/soak/order_engines.h"
#include "platform/soak/stall_meter.h"
#include "platform/soak/store_returns.h"
#include "platform/soak/timed_requests.h"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <thread>

namespace cicadaport::platform::testing {

// The schedule of faults.
enum class soak_shape {
    // The steps of docs/incidents/acknowledged-route-refused.md. How long the store is silent
    // and when versions are published is drawn at random.
    recorded,
    // Faults of all kinds, drawn at random, in sequence and overlapping.
    drawn,
    // Planned stops only, drawn at random.
    stops,
    // The store returns from older copies of its data, also while other faults last. Hosts send
    // orders to engines.
    returns,
};

struct soak_options {
    std::string host_program;
    std::filesystem::path folder;
    std::uint64_t seed = 1;
    std::chrono::seconds time{70};
    std::size_t hosts = 6;
    soak_shape shape = soak_shape::drawn;
    fleet_bounds bounds;
    // Bytes added to each configuration version.
    std::size_t padding = 0;
    // Hosts don't know each other, as if all gossip between them were lost.
    bool alone = false;
    // Records appended within this time after the start of a waiting read do not wake it.
    milliseconds missed_wakeup_time{0};
    // Of the faulty parties only this kind takes part; all if empty.
    std::string only_party;
};

struct soak_result {
    std::size_t checks = 0;
    // The number of requests that arrived at a rate-limited replica.
    std::size_t limited = 0;
    // Engines that a prompt has crashed.
    std::size_t crashes = 0;
    // Requests that were in flight at a planned stop or sent after it.
    std::size_t stopped = 0;
    // How often the store returned, and the replicas that did not write their entry again.
    std::size_t returns = 0;
    std::size_t missing = 0;
    // Orders that arrived at engines.
    std::size_t orders = 0;
    // One line each.
    std::vector<std::string> violations;
    // The faults that were injected, one line each.
    std::vector<std::string> steps;
    // How long a thread of the soak was kept from running at most.
    milliseconds longest_stall{0};
};

class fleet_soak {
public:
    explicit fleet_soak(soak_options options);
    ~fleet_soak();

    // Runs the whole schedule. May be called once.
    soak_result run();

private:
    struct replica {
        replica(std::string of_service, scripted_server::answer_function answer)
            : service{std::move(of_service)}, server{std::move(answer)}
        {
        }

        std::string service;
        // Of an engine; else empty.
        std::string stage;
        std::string id;
        int sequence = 0;
        bool leaving = false;
        // The store lost the replica's entry, and the replica does not write it again.
        bool missing = false;
        soak_time next_report{};
        // Guarded by the soak's mutex.
        std::optional<limit_judge> limit;
        scripted_server server;
    };

    // A request to a host, and the response that it must give.
    struct expectation {
        std::string path;
        std::size_t version = 0;
        std::function<bool(const caller::answer&)> holds;
        std::string must;
        // Also holds while the store has a fault.
        bool is_unconditional = false;
    };

    void start_host(fleet_host& host);
    // Starts the threads that send requests to a host.
    void start_callers(fleet_host& host);
    fleet_host& add_host(const std::string& name, const std::string& zone);
    std::vector<fleet_host*> running_hosts();
    void wait_until_ready();

    // Actions of the operator and the replicas.
    void operate();
    void publish_some(soak_time now);
    void report_replicas(soak_time now);
    void report(replica& of);
    void change_replicas(soak_time now);
    // One replica at a time advertises a limit, changes it for a while, and then ends it.
    void change_limits(soak_time now);
    void judge_limit(replica& at, std::size_t host, soak_time now);
    scripted_response serve(replica& at, const received_request& request);

    // Lists an engine under a new id instead of its previous one.
    void list_engine(const std::string& previous_id, const std::string& id,
                     const http::address& at);
    void report_engines(soak_time now);
    // Ends an engine from time to time, whatever it does.
    void crash_engines(soak_time now);
    void judge_deadly_prompt(const received_request& request);
    // Sends prompts to one host after the other until the run ends; a few have the segment on
    // which engines crash.
    void send_prompts();
    void judge_sound_prompts();

    // Sends requests to one host until the run ends.
    void send_requests(fleet_host& host);
    // Sends one request and checks the response. Returns whether the connection can be reused.
    bool ask(fleet_host& host, caller& through, const expectation& what, int incarnation);
    std::vector<expectation> expectations(soak_time now, std::size_t seen) const;

    // Faults.
    void plan_recorded();
    void plan_random_faults();
    std::vector<fleet_host*> all_hosts();
    void plan(milliseconds at, std::string what, std::function<void()> action);
    void plan_store_fault(milliseconds at, fleet_host& host, store_proxy::state to,
                          milliseconds time);
    void plan_restart(milliseconds at, fleet_host& host, milliseconds down);
    void plan_replacement(milliseconds at, fleet_host& host, milliseconds down);
    void plan_freeze(milliseconds at, fleet_host& host, milliseconds time);
    void plan_stop(milliseconds at, fleet_host& host);
    // Plans what follows once a host that got SIGTERM has ended, or should have.
    void check_stop(fleet_host& host);
    void plan_slow_store(milliseconds at, milliseconds time);
    void plan_all_restarted(milliseconds at);
    void run_schedule();

    // The shape `returns`, in fleet_soak_returns.cpp. Only if `m_returns` is set.

    void prepare_returns();
    void plan_returns();
    // Plans a fault of a host that lasts from `from` to `to`, unless it has another one then.
    void plan_fault_through(fleet_host& host, milliseconds from, milliseconds to);
    // The lists have gone back; see store_returns::return_function.
    void write_entries_again(std::size_t entries, soak_time now);
    // Does what follows from returns. Returns whether the store accepts writes.
    bool operate_returns(soak_time now);
    void lose_entry(replica& of, soak_time now);
    void judge_starved(soak_time now);
    // Returns since when a host must know that a replica has left. The mutex must be held.
    soak_time must_know_since(const fleet_host& host, const std::string& id, soak_time now) const;
    void finish_returns();
    // Returns whether the store has returned too recently for a check at `at`.
    bool has_returned_before(soak_time at) const
    {
        return m_returns != nullptr && !m_returns->is_stable(at, m_options.bounds.contact);
    }

    // Returns a uniformly distributed time.
    milliseconds draw(milliseconds from, milliseconds to);

    void violated(const std::string& text);
    std::string since_begin(soak_time at) const;

    soak_options m_options;
    std::mt19937_64 m_random;
    timed_requests m_timed;
    standin_store m_store;
    configuration_history m_history;
    address_range m_addresses;
    std::vector<std::string> m_seed_ips;
    std::list<replica> m_replicas;
    std::map<std::string, soak_time> m_left;
    std::size_t m_last_replica = 0;
    std::size_t m_last_host = 0;
    std::list<fleet_host> m_hosts;
    // Indexed by the host's number, with which request ids begin.
    std::vector<fleet_host*> m_by_number;
    std::vector<std::thread> m_threads;
    std::multimap<milliseconds, std::pair<std::string, std::function<void()>>> m_plan;
    std::atomic<bool> m_done{false};
    std::atomic<soak_time> m_store_fault_free_since{};
    std::atomic<bool> m_store_has_fault{false};
    soak_time m_begin{};
    soak_time m_next_version{};
    soak_time m_next_leaving{};
    soak_time m_next_limit{};
    soak_time m_next_crash{};
    soak_time m_next_engine_report{};
    // By id, with their addresses. Guarded by the soak's mutex.
    std::map<std::string, http::address> m_listed_engines;
    int m_engine_reports = 0;
    std::optional<crash_judge> m_crashes;
    std::unique_ptr<crashing_engines> m_engines;
    replica* m_limited = nullptr;
    std::unique_ptr<store_returns> m_returns;
    std::unique_ptr<order_engines> m_order_engines;
    // Until when a host has a planned fault.
    std::map<fleet_host*, milliseconds> m_busy;
    // When replicas leave the list that the copy listed again.
    std::multimap<soak_time, std::string> m_removals;
    // When missing replicas start again.
    std::multimap<soak_time, replica*> m_restarts;
    soak_time m_next_starved_check{};
    // The ids of missing replicas. Guarded by the soak's mutex.
    std::set<std::string> m_lost_entries;
    // By replica id. Guarded by the soak's mutex.
    std::map<std::string, soak_time> m_last_arrivals;
    std::mutex m_mutex;
    soak_result m_result;
};

} // namespace cicadaport::platform::testing
