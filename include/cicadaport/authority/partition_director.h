// Holds the lease of one partition and carries out the orders of its engines.
#pragma once

#include "cicadaport/authority/engine_client.h"
#include "cicadaport/authority/lease_keeper.h"
#include "cicadaport/authority/partition_roles.h"
#include "cicadaport/fold/replica.h"
#include "cicadaport/relay/process_table.h"
#include "cicadaport/shared_log/proposer.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>

namespace cicadaport::authority {

// Dependencies of a director; all of them must outlive it.
struct director_services {
    boost::asio::io_context& context;
    const fold::replica& replica;
    shared_log::proposer& proposals;
    engine_client& engines;
    const relay::process_table& processes;
    // Returns whether every live process has folded the log up to an offset.
    std::function<bool(std::uint64_t)> is_folded_everywhere;
};

// Proposes records on one lease and on the orders under it to the log. Any
// process may run a director for any partition; the fold accepts records of only
// one of them at a time.
//
// Not thread safe; used from one event loop. Its owner keeps it until `run()` has
// ended or the loop has stopped.
class partition_director {
public:
    partition_director(director_services services, std::string partition, std::string self,
                       lease_timing timing);

    // Runs until `stop()`, then finishes the orders being sent and releases the
    // lease.
    boost::asio::awaitable<void> run();

    void stop() noexcept { m_stopping = true; }
    bool has_ended() const noexcept { return m_ended; }

    // Returns the role controller's report; nothing while this process does not
    // hold the lease.
    std::optional<role_report> current_roles() const;

private:
    // State of one engine that this process keeps between polls.
    struct engine_progress {
        bool busy = false;
        base::boot_clock::time_point next_poll_at{};
        // The earliest time at which a different order may be sent.
        base::boot_clock::time_point new_order_allowed_at{};
        std::string draining_for;
        std::chrono::steady_clock::time_point drained_since{};
    };
    struct engine_view;

    boost::asio::awaitable<void> keep_lease();
    boost::asio::awaitable<void> release();
    boost::asio::awaitable<bool> propose(protocol::record record);
    boost::asio::awaitable<void> poll_engine(std::string name);
    boost::asio::awaitable<void> take_next_step(engine_view view, engine_progress& progress);
    boost::asio::awaitable<void> send(const engine_view& view, engine_progress& progress);
    boost::asio::awaitable<void> announce(const engine_view& view);
    boost::asio::awaitable<void> settle(const engine_view& view, engine_progress& progress,
                                        bool applied);
    boost::asio::awaitable<bool> is_drained(const engine_view& view, engine_progress& progress);
    order_situation situation_of(const engine_view& view, const engine_progress& progress);
    observed_lease observe_lease() const;
    std::vector<std::string> engine_names() const;
    std::optional<engine_view> view_of(const std::string& name) const;
    bool is_new_order_allowed(const engine_view& view, const engine_progress& progress) const;
    void start_polls();
    void run_role_controller();

    director_services m_services;
    std::string m_partition;
    std::string m_self;
    lease_timing m_timing;
    lease_keeper m_keeper;
    std::map<std::string, engine_progress> m_engines;
    partition_roles m_roles;
    base::boot_clock::time_point m_next_role_run_at{};
    bool m_stopping = false;
    bool m_ended = false;
};

} // namespace cicadaport::authority
