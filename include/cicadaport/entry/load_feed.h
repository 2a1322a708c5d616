// Updates the decision state from the reports of engines and peers.
#pragma once

#include "cicadaport/entry/byte_budget.h"
#include "cicadaport/entry/decision_state.h"
#include "cicadaport/entry/event_cursor.h"
#include "cicadaport/http/client.h"
#include "cicadaport/relay/process_table.h"
#include "cicadaport/routing/view.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadaport::entry {

// Polls the engines that this process uses for their load and cache events,
// combines the result with the work that other entry processes report, and
// publishes it. A process uses a subset of a large fleet, see `choose_subset`.
//
// Belongs to one event loop. The referenced objects must outlive it.
class load_feed {
public:
    // Receives the names of the engines that this process does not use, on each
    // change; they must get no new work. Called on the event loop.
    using unused_engines = std::function<void(std::vector<std::string>)>;

    // Identifies this process for the choice of its engines.
    struct identity {
        std::string id;
        std::string availability_zone;
    };

    load_feed(boost::asio::io_context& context, const base::published<routing::view>& view,
              routing::load_table& loads, decision_state& decisions,
              const relay::process_table& processes, identity self, unused_engines exclude_engines);

    // Never returns; spawn it once.
    boost::asio::awaitable<void> run();

    // Minimum time between two reports of one engine. It is longer with many
    // engines, because all reports share one rate limit.
    static constexpr std::chrono::milliseconds poll_interval{150};
    // An engine gets no work if its last response is older than this.
    static constexpr std::chrono::milliseconds silence_timeout{2'000};
    // Rate limits of all load reports and of all cache events, including HTTP
    // headers.
    static constexpr double report_bytes_per_second = 11'000;
    static constexpr double event_bytes_per_second = 4'000;
    // Size of one load report, and of one reply without cache events, each with its
    // request.
    static constexpr double report_bytes = 316;
    static constexpr double event_head_bytes = 190;

private:
    using time_point = std::chrono::steady_clock::time_point;

    // The state of one engine.
    struct known_engine {
        http::address address;
        std::string model;
        std::string availability_zone;
        std::shared_ptr<routing::endpoint_load> load;
        routing::report_history history;
        routing::engine_role role = routing::engine_role::mixed;
        bool takes_work = true;
        bool load_pending = false;
        bool events_pending = false;
        // Whether this process uses the engine, since when, and whether it is in
        // the view in force.
        bool used = false;
        time_point used_since;
        bool in_service = true;
        time_point answered_at;
        time_point polled_at;
        event_cursor events;
        std::uint64_t steps = 0;

        bool is_responsive(time_point now) const { return now - answered_at < silence_timeout; }
        bool is_usable(time_point now) const;
    };

    void update_engines(time_point now);
    void update_in_service();
    void choose_engines(time_point now);
    void poll_engines(time_point now);
    void poll_next(time_point now, bool usable, std::size_t max_count);
    void poll_events(time_point now);
    boost::asio::awaitable<void> fetch_load(std::string name);
    boost::asio::awaitable<void> fetch_events(std::string name);
    boost::asio::awaitable<http::response> get(http::address from, std::string target);
    void apply_load(known_engine& from, const std::string& body, time_point now);
    void apply_events(known_engine& from, const std::string& body);
    void apply_peer_work(time_point now);
    void publish(time_point now);

    boost::asio::io_context& m_context;
    const base::published<routing::view>& m_view;
    routing::load_table& m_loads;
    decision_state& m_decisions;
    const relay::process_table& m_processes;
    identity m_self;
    unused_engines m_exclude_engines;
    http::client m_client;
    std::map<std::string, known_engine> m_engines;
    std::shared_ptr<const configuration::document> m_document;
    // Two flags for each engine at the time of the last choice: usable, and prefill
    // only.
    std::vector<bool> m_choice_inputs;
    byte_budget m_report_budget{report_bytes_per_second};
    byte_budget m_event_budget{event_bytes_per_second};
};

} // namespace cicadaport::entry
