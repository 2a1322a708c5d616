#include "cicadaport/entry/process.h"

#include "cicadaport/base/io_pool.h"
#include "cicadaport/claims/claim_store.h"
#include "cicadaport/entry/gateway.h"
#include "cicadaport/entry/load_feed.h"
#include "cicadaport/entry/offered_work.h"
#include "cicadaport/http/health.h"
#include "cicadaport/relay/follower.h"

#include <nlohmann/json.hpp>
#include <peer.pb.h>
#include <spdlog/spdlog.h>
#include <state.pb.h>

#include <csignal>
#include <mutex>

namespace cicadaport::entry {
namespace asio = boost::asio;

namespace {

// Time for the load balancer to notice that this process is no longer ready.
constexpr std::chrono::milliseconds drain_notice_time{500};
constexpr std::chrono::milliseconds drain_poll_interval{20};
// Maximum duration of a service call; completions are handed over earlier.
constexpr std::chrono::milliseconds max_request_time{70'000};
constexpr std::chrono::milliseconds claim_drain_timeout{2'000};

// Returns the endpoints that operators asked to drain, that an order is about
// to change, or that are leaving or down.
std::vector<std::string> drained_endpoints(const fold::state& state)
{
    std::vector<std::string> out;
    for (const auto& [name, wish] : state.message().wishes()) {
        if (wish.drain()) {
            out.push_back(name);
        }
    }
    for (const auto& [name, orders] : state.message().orders()) {
        if (orders.has_intent()) {
            out.push_back(name);
        }
    }
    for (const auto& [name, condition] : state.message().conditions()) {
        out.push_back(name);
    }
    return out;
}

class process {
public:
    explicit process(const settings::entry_settings& settings)
        : m_settings{settings}, m_pool{settings.common.workers},
          m_view{std::make_unique<routing::view>(std::make_shared<configuration::document>(), 0,
                                                 std::vector<std::string>{}, m_loads)},
          m_decisions{settings.placement}, m_claims{settings.log.port == 0
                                                        ? nullptr
                                                        : std::make_unique<claims::claim_store>(
                                                              m_pool.context(0), settings.log)},
          m_gateway{m_pool, m_view, m_metrics, settings.path, m_claims.get(), &m_decisions},
          m_load_feed{
              m_pool.context(0),
              m_view,
              m_loads,
              m_decisions,
              m_processes,
              {settings.common.id, settings.common.availability_zone},
              [this](std::vector<std::string> unused) { exclude_engines(std::move(unused)); }},
          m_client_server{m_pool,
                          settings.caller_address.ip,
                          settings.caller_address.port,
                          {},
                          [this](std::size_t worker, const http::request& message,
                                 http::response_writer& writer) {
                              return m_gateway.handle(worker, message, writer);
                          }},
          m_admin_server{
              m_pool,
              settings.common.admin_address.ip,
              settings.common.admin_address.port,
              {},
              [this](std::size_t, const http::request& message, http::response_writer& writer) {
                  return serve_admin(message, writer);
              }},
          m_signals{m_pool.context(0), SIGTERM, SIGINT}
    {
        m_replica.add_listener([this](const fold::state& state) { apply_state(state); });
        m_follower = std::make_unique<relay::follower>(settings.relays, m_replica, m_processes,
                                                       [this] { return status(); });
        asio::co_spawn(m_pool.context(0), m_load_feed.run(), asio::detached);
        m_signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error) {
                asio::co_spawn(m_pool.context(0), drain(), asio::detached);
            }
        });
    }

    void run()
    {
        spdlog::info("entry_started id={} callers={}", m_settings.common.id,
                     http::to_string(m_settings.caller_address));
        m_pool.run();
        spdlog::info("entry_stopped id={}", m_settings.common.id);
    }

private:
    void apply_state(const fold::state& state)
    {
        auto drained = drained_endpoints(state);
        const std::scoped_lock lock{m_view_mutex};
        if (state.configuration_offset() == m_view_offset && drained == m_view_drained) {
            return;
        }
        m_view_document = state.document();
        m_view_offset = state.configuration_offset();
        m_view_drained = std::move(drained);
        make_view();
        m_configuration_offset.store(m_view_offset, std::memory_order_release);
        spdlog::info("configuration_in_force offset={}", m_view_offset);
    }

    // Removes the engines that this process does not use from its view.
    void exclude_engines(std::vector<std::string> unused)
    {
        const std::scoped_lock lock{m_view_mutex};
        m_unused_engines = std::move(unused);
        if (m_view_document) {
            make_view();
        }
    }

    // `m_view_mutex` must be held.
    void make_view()
    {
        auto without = m_view_drained;
        without.insert(without.end(), m_unused_engines.begin(), m_unused_engines.end());
        m_view.replace(
            std::make_unique<routing::view>(m_view_document, m_view_offset, without, m_loads));
    }

    // Called only on the follower's thread.
    protocol::process_status status()
    {
        protocol::process_status out;
        out.set_id(m_settings.common.id);
        out.set_kind("entry");
        out.set_address(http::to_string(m_settings.caller_address));
        out.set_availability_zone(m_settings.common.availability_zone);
        out.set_offset_in_force(m_replica.offset());
        out.set_configuration_offset(m_configuration_offset.load(std::memory_order_acquire));
        out.set_draining(m_draining.load(std::memory_order_acquire));
        add_work_in_flight(out);
        roles::write_offers(
            m_offered.update(m_decisions.offered.sums(), offered_rates::clock::now()), out);
        return out;
    }

    // Adds the work in flight of this process, for the decisions of its peers.
    void add_work_in_flight(protocol::process_status& out) const
    {
        for (const auto& [name, work] : m_loads.work_in_flight()) {
            auto& added = *out.add_work();
            added.set_endpoint(name);
            added.set_requests(static_cast<std::uint32_t>(work.requests));
            added.set_prefill_tokens(static_cast<std::uint64_t>(work.prefill_tokens));
            added.set_decode_tokens(static_cast<std::uint64_t>(work.decode_tokens));
        }
    }

    bool is_ready() const
    {
        return m_configuration_offset.load(std::memory_order_acquire) > 0 &&
               !m_draining.load(std::memory_order_acquire) && !m_follower->is_stale();
    }

    asio::awaitable<void> serve_admin(const http::request& message, http::response_writer& writer)
    {
        constexpr unsigned not_found = 404;
        const http::target_view target{message.target};
        if (auto page = http::health_answer(target.path(), m_health)) {
            return writer.send(std::move(*page));
        }
        return writer.send({not_found, {}, "not found\n"});
    }

    std::string expose_metrics() const
    {
        const telemetry::progress now{m_replica.offset(),
                                      m_configuration_offset.load(std::memory_order_acquire),
                                      m_follower->since_contact()};
        return m_metrics.expose(now, m_client_server.active_requests());
    }

    // Connection draining: the process reports that it is not ready, then stops
    // accepting connections, then lets running requests finish within the grace time.
    // Longer completions are handed over to another entry process; service calls are
    // bounded by their timeouts.
    asio::awaitable<void> drain()
    {
        spdlog::info("drain_started active={}", m_client_server.active_requests());
        m_draining.store(true, std::memory_order_release);
        asio::steady_timer timer{co_await asio::this_coro::executor, drain_notice_time};
        co_await timer.async_wait(asio::use_awaitable);
        m_client_server.drain();
        co_await wait_for_requests(m_settings.common.grace_time);
        spdlog::info("hand_over_started active={}", m_client_server.active_requests());
        m_gateway.hand_over();
        co_await wait_for_requests(max_request_time);
        co_await wait_for_claims();
        spdlog::info("drain_ended active={}", m_client_server.active_requests());
        m_pool.stop();
    }

    // Returns when no request is in flight, or after `limit`.
    asio::awaitable<void> wait_for_requests(std::chrono::milliseconds limit)
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        asio::steady_timer timer{co_await asio::this_coro::executor};
        do {
            timer.expires_after(drain_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
        } while (m_client_server.active_requests() > 0 && std::chrono::steady_clock::now() < until);
    }

    // Waits for the results of the last requests to be recorded in the log.
    asio::awaitable<void> wait_for_claims()
    {
        const auto until = std::chrono::steady_clock::now() + claim_drain_timeout;
        asio::steady_timer timer{co_await asio::this_coro::executor};
        while (m_claims && m_claims->pending_record_count() > 0 &&
               std::chrono::steady_clock::now() < until) {
            timer.expires_after(drain_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    settings::entry_settings m_settings;
    base::io_pool m_pool;
    routing::load_table m_loads;
    base::published<routing::view> m_view;
    metrics m_metrics;
    http::health_source m_health{[this] { return is_ready(); },
                                 [this] { return expose_metrics(); }};
    decision_state m_decisions;
    offered_rates m_offered;
    fold::replica m_replica;
    relay::process_table m_processes;
    // The inputs of the view in force, guarded by the mutex.
    std::mutex m_view_mutex;
    std::shared_ptr<const configuration::document> m_view_document;
    std::uint64_t m_view_offset = 0;
    std::vector<std::string> m_view_drained;
    std::vector<std::string> m_unused_engines;
    std::atomic<std::uint64_t> m_configuration_offset{0};
    std::atomic<bool> m_draining{false};
    std::unique_ptr<claims::claim_store> m_claims;
    gateway m_gateway;
    load_feed m_load_feed;
    http::server m_client_server;
    http::server m_admin_server;
    asio::signal_set m_signals;
    std::unique_ptr<relay::follower> m_follower;
};

} // namespace

void run(const settings::entry_settings& settings)
{
    process{settings}.run();
}

} // namespace cicadaport::entry
