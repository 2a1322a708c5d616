// Keeps the decision state up to date with what engines and peers tell.
#pragma once

#include "cicadaport/entry/decision_state.h"
#include "cicadaport/http/client.h"
#include "cicadaport/relay/process_table.h"
#include "cicadaport/routing/view.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <string>

namespace cicadaport::entry {

// Asks every engine for its load and its cache events, joins them with what
// other entry processes told, and publishes the result.
//
// Belongs to one event loop. What it refers to must outlive it.
class load_feed {
public:
    load_feed(boost::asio::io_context& context, const base::published<routing::view>& view,
              routing::load_table& loads, decision_state& decisions,
              const relay::process_table& processes, std::string own_id);

    // Runs for ever; spawn it once.
    boost::asio::awaitable<void> run();

    // Time between two reports of one engine.
    static constexpr std::chrono::milliseconds interval{150};
    // An engine that has not answered for so long is given no work.
    static constexpr std::chrono::milliseconds silent_after{2'000};

private:
    using time_point = std::chrono::steady_clock::time_point;

    // What is known of one engine.
    struct known_engine {
        http::address address;
        std::string model;
        std::shared_ptr<routing::endpoint_load> load;
        routing::report_history history;
        routing::engine_role role = routing::engine_role::mixed;
        bool takes_work = true;
        bool asking = false;
        time_point answered_at;
        std::uint64_t last_event = 0;
        std::uint64_t steps = 0;
    };

    void find_engines(time_point now);
    boost::asio::awaitable<void> ask(std::string name);
    boost::asio::awaitable<http::response> get(http::address from, std::string target);
    void take_load(known_engine& from, const std::string& body, time_point now);
    void take_events(known_engine& from, const std::string& body);
    void take_peers(time_point now);
    void publish(time_point now);

    boost::asio::io_context& m_context;
    const base::published<routing::view>& m_view;
    routing::load_table& m_loads;
    decision_state& m_decisions;
    const relay::process_table& m_processes;
    std::string m_own_id;
    http::client m_client;
    std::map<std::string, known_engine> m_engines;
};

} // namespace cicadaport::entry
