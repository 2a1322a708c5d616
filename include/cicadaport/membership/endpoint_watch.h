// Probes endpoints and appends a report to the log when their condition changes.
#pragma once

#include "cicadaport/configuration/document.h"
#include "cicadaport/fold/replica.h"
#include "cicadaport/membership/endpoint_monitor.h"
#include "cicadaport/membership/watchers.h"
#include "cicadaport/shared_log/proposer.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadaport::membership {

// Dependencies of an endpoint_watch; all of them must outlive it.
struct watch_services {
    boost::asio::io_context& context;
    const fold::replica& replica;
    shared_log::proposer& proposals;
    http::address host_list;
    std::string process;
    // Returns the ids of the processes received from recently.
    std::function<std::vector<std::string>()> live_processes;
};

// Probes the endpoints that are assigned to this process, reads the host list,
// and reports changed conditions. Entry processes read the conditions from the
// folded state.
//
// A process that gets no answer from more than half of its endpoints assumes
// that it is itself partitioned and reports no endpoint as down.
//
// Belongs to one event loop, which it must outlive once `run()` is spawned.
class endpoint_watch {
public:
    explicit endpoint_watch(watch_services services);

    // Runs until the event loop stops.
    boost::asio::awaitable<void> run();

private:
    struct watched {
        explicit watched(condition reported) : monitor{reported} {}

        endpoint_monitor monitor;
        bool probing = false;
        bool reporting = false;
    };

    boost::asio::awaitable<void> read_host_list();
    boost::asio::awaitable<void> probe(configuration::endpoint endpoint);
    boost::asio::awaitable<void> report(std::string endpoint, condition standing);
    void update_endpoint(const configuration::endpoint& endpoint, std::size_t rank);
    bool is_cut_off() const;
    condition folded_condition(const std::string& endpoint) const;

    watch_services m_services;
    http::client m_client;
    std::map<std::string, watched> m_watched;
    std::map<std::string, listed_state> m_hosts;
    bool m_reading_hosts = false;
    watcher_ranks m_ranks;
};

} // namespace cicadaport::membership
