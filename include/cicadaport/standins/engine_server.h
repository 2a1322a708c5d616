// A stand-in for a language-model engine, served over HTTP.
//
//   POST   /v1/completions, /v1/chat/completions   streamed or whole
//   POST   /v1/prefill                  reads a prompt, exports its cache
//   GET    /v1/streams/ID?from=N        goes on with a stream at token N
//   DELETE /v1/streams/ID               cancels a stream
//   GET    /v1/load                     load report, as old as it is set to be
//   GET    /v1/cache_events?after=N     cache events, late and with gaps
//   POST   /v1/orders, GET /v1/orders   orders, and the record of all received
//   GET    /v1/requests                 the record of all requests it began
//   POST   /v1/faults?...               see engine_faults
//
// A completion may carry X-Request-Id (the stream's id), X-Priority (a rank)
// and X-Kv-Source (the cache comes from another engine). The answer's length
// is max_tokens, or output_tokens in the body where that is less.
#pragma once

#include "cicadaport/http/server.h"
#include "cicadaport/standins/engine_core.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cicadaport::standins {

struct engine_settings {
    std::string name = "engine";
    std::string model = "model";
    std::string version = "1";
    engine_role role = engine_role::mixed;
    bool checks_fencing = true;
    engine_costs costs;
    // How long a change of role or model takes.
    std::chrono::milliseconds change_time{2'000};
    std::chrono::milliseconds report_lag{100};
    std::chrono::milliseconds event_lag{100};
    double event_loss = 0;
    // Streams nobody reads go on for this long.
    std::chrono::milliseconds orphan_time{5'000};
};

// What a scenario can order to go wrong.
struct engine_faults {
    // The process ends halfway through the next change.
    bool crash_in_change = false;
    // The next change fails and leaves the engine as it was.
    bool fail_change = false;
    // The next stream's connection is cut after this many tokens.
    std::uint32_t cut_after_tokens = 0;
    // Completions are refused before they start.
    bool refuse = false;
    // Orders take effect but their answers are lost.
    std::uint32_t lose_order_answers = 0;
    double slow_factor = 1;
};

// Runs on one event loop.
class engine_server {
public:
    engine_server(boost::asio::io_context& context, engine_settings settings);

    // Steps the engine for ever; spawn it once.
    boost::asio::awaitable<void> run();

    boost::asio::awaitable<void> handle(const http::request& message,
                                        http::response_writer& writer);

private:
    struct stream {
        std::shared_ptr<engine_job> job;
        bool chat = false;
        std::uint32_t readers = 0;
        std::chrono::steady_clock::time_point unread_since;
    };
    // One order as it was received, for the checks of tests.
    struct received_order {
        std::string order_id;
        std::uint64_t fencing_number = 0;
        std::string action;
        bool accepted = false;
        // Whether it came while a different order was being carried out.
        bool conflicting = false;
    };
    // One request that was begun, for the checks of tests.
    struct begun_request {
        std::string id;
        std::string first_token;
    };
    struct load_report {
        std::chrono::steady_clock::time_point at;
        engine_load load;
    };

    boost::asio::awaitable<void> complete(const http::request& message, bool chat,
                                          http::response_writer& writer);
    boost::asio::awaitable<void> prefill(const http::request& message,
                                         http::response_writer& writer);
    boost::asio::awaitable<void> send_stream(std::shared_ptr<stream> source, std::uint32_t from,
                                             http::response_writer& writer);
    boost::asio::awaitable<void> send_whole(std::shared_ptr<stream> source,
                                            http::response_writer& writer);
    boost::asio::awaitable<void> take_order(const http::request& message,
                                            http::response_writer& writer);
    boost::asio::awaitable<void> carry_out(nlohmann::json order);
    boost::asio::awaitable<void> wait_for_step();
    std::shared_ptr<stream> start_stream(const http::request& message, bool chat,
                                         bool prefill_only);
    std::string event_text(const stream& source, std::uint32_t index) const;
    http::response show_load();
    http::response show_events(const http::target_view& target);
    http::response show_orders() const;
    http::response show_requests() const;
    http::response set_faults(const http::target_view& target);
    void cancel_orphans();

    boost::asio::io_context& m_context;
    engine_settings m_settings;
    engine_faults m_faults;
    engine_core m_core;
    std::map<std::string, std::shared_ptr<stream>> m_streams;
    std::deque<load_report> m_reports;
    std::vector<received_order> m_orders;
    std::vector<begun_request> m_begun;
    std::uint64_t m_highest_fencing_number = 0;
    bool m_changing = false;
    std::string m_changing_order;
    std::string m_last_applied_order;
    std::string m_last_failed_order;
    std::uint64_t m_steps = 0;
    std::uint64_t m_finished = 0;
    std::mt19937_64 m_random;
};

} // namespace cicadaport::standins
