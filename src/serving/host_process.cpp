#include "cicadaport/serving/host_process.h"

#include "internal/descriptor_limit.h"
#include "internal/endpoint_feed.h"
#include "internal/host_duties.h"
#include "internal/listener.h"
#include "internal/readiness_connection.h"

#include "cicadaport/base/process_usage.h"
#include "cicadaport/telemetry/exception_log.h"

#include <boost/asio/signal_set.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace cicadaport::serving {
namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr milliseconds housekeeping_interval{1'000};
// Counts are logged every this many housekeeping intervals.
constexpr unsigned log_counts_every = 10;
constexpr milliseconds stop_check_interval{50};
// The event loop has stood still if a timer is late by this much.
constexpr milliseconds late_loop_threshold{100};
// Pause of the event loop after an exception that nothing else has caught, so that a handler that
// throws without end does not occupy the processor.
constexpr milliseconds exception_pause{1};

// Each list is read often enough that a failed read can be retried within the allowed time:
// for the configuration the time within which a version must be in force, for endpoints the
// time after which a leaving replica must receive no requests.
constexpr int reads_per_apply_delay = 4;
constexpr int leaving_interval_divisor = 20;
constexpr int leaving_interval_factor = 8;

} // namespace

class host_process::implementation {
public:
    implementation(settings_source source, const wire_format& wire)
        : m_source{std::move(source)}, m_settings{m_source()}, m_context{1},
          m_state{m_context, wire, m_settings.availability_zone, m_settings.attempts},
          m_endpoint_feed{m_state},
          m_configuration{m_state, m_settings.store_address, feed::configuration,
                          feed_times::within(m_settings.max_apply_delay / reads_per_apply_delay,
                                             m_settings.max_apply_delay,
                                             m_settings.max_recovery_delay),
                          configuration_callbacks()},
          m_endpoints{m_state, m_settings.store_address, feed::endpoints,
                      feed_times::within(m_settings.max_leaving_delay * leaving_interval_factor /
                                             leaving_interval_divisor,
                                         m_settings.max_leaving_delay,
                                         m_settings.max_recovery_delay),
                      endpoint_callbacks()},
          m_gossip{m_state, m_settings.peers,
                   [this](const shared_page& page) {
                       m_configuration.apply(page);
                       m_endpoints.apply(page);
                   }},
          m_director{m_state, m_settings.store_address, m_settings.name}, m_signals{m_context},
          m_settings_signal{m_context, SIGHUP}
    {
        m_state.memory.set_max_memory(
            m_settings.max_memory.value_or(memory_budget::default_max_memory));
        m_state.max_apply_delay = m_settings.max_apply_delay;
        m_state.max_revocation_delay = m_settings.max_revocation_delay;
        m_state.caller_bounds = m_settings.caller_bounds;
        m_state.origins.set_store(m_settings.store_address);
        if (m_settings.duties) {
            m_duties.emplace(m_state, m_gossip, m_settings);
        }
        std::signal(SIGPIPE, SIG_IGN);
        m_signals.add(SIGTERM);
        m_signals.add(SIGINT);
        m_signals.async_wait([this](error_code error, int) {
            if (!error) {
                stop();
            }
        });
        wait_for_reload();
    }

    void run()
    {
        m_readiness.emplace(m_context, m_state.timers, m_settings.readiness_address,
                            [this](tcp::socket socket) {
                                std::make_shared<readiness_connection>(std::move(socket), [this] {
                                    return is_ready();
                                })->start();
                            });
        m_callers.emplace(m_context, m_state.timers, m_settings.caller_address,
                          [this](tcp::socket socket) {
                              std::make_shared<caller_connection>(m_state, m_connections,
                                                                  m_caller_slots, std::move(socket))
                                  ->start();
                          });
        listen_for_relayed_requests();
        m_configuration.start();
        m_endpoints.start();
        m_gossip.start();
        m_director.start();
        if (m_duties) {
            m_duties->start();
        }
        run_housekeeping();
        spdlog::info("host_started name={} zone={} max_caller_connections={} "
                     "max_host_connections={}",
                     m_settings.name, m_settings.availability_zone, m_caller_slots.limit(),
                     m_host_slots.limit());
        run_loop();
    }

    // Runs the event loop until the host has stopped.
    void run_loop()
    {
        // After a stop, run() returns at once.
        while (!m_context.stopped()) {
            try {
                m_context.run();
                return;
            }
            catch (...) {
                telemetry::log_exception("event_loop");
                std::this_thread::sleep_for(exception_pause);
            }
        }
    }

    // Other hosts relay requests to the port at which this host receives gossip.
    void listen_for_relayed_requests()
    {
        m_relays.emplace(m_context, m_state.timers, m_settings.peers.own,
                         [this](tcp::socket socket) {
                             std::make_shared<caller_connection>(m_state, m_connections,
                                                                 m_host_slots, std::move(socket),
                                                                 caller_connection::peer::host)
                                 ->start();
                         });
    }

    void post_stop()
    {
        asio::post(m_context, [this] { stop(); });
    }

    void stop()
    {
        if (m_state.is_stopping()) {
            return;
        }
        m_state.stop.emplace(m_state.timers.now(), m_settings.grace_time,
                             m_settings.accept_time_after_stop);
        spdlog::info("host_stopping requests_in_flight={}", requests_in_flight());
        if (m_state.gossip != nullptr) {
            m_state.gossip->announce_reachability();
        }
        check_stop();
    }

    bool is_ready() const noexcept
    {
        return !m_state.is_stopping() && m_callers->is_listening() && m_state.deployed != nullptr &&
               m_endpoints.has_read();
    }

private:
    feed_follower::callbacks configuration_callbacks()
    {
        return {[this](const std::vector<feed_entry>& entries, list_state) {
                    apply_configuration(entries);
                },
                [this](const std::vector<feed_entry>& entries) {
                    apply_configuration(entries);
                    return entries;
                }};
    }

    feed_follower::callbacks endpoint_callbacks()
    {
        return {[this](const std::vector<feed_entry>& entries, list_state state) {
                    m_endpoint_feed.apply_list(entries, state);
                },
                [this](const std::vector<feed_entry>& entries) {
                    return m_endpoint_feed.apply_added(entries);
                }};
    }

    // Returns null if the entry holds no configuration that can be read.
    deployment_pointer read_deployment(const feed_entry& entry) const
    {
        try {
            return m_state.wire.read_deployment(entry);
        }
        catch (const std::exception&) {
            telemetry::log_exception("list_entry");
            return nullptr;
        }
    }

    // Applies the newest readable version, unless it is no newer than the one in force.
    void apply_configuration(const std::vector<feed_entry>& entries)
    {
        for (auto each = entries.rbegin(); each != entries.rend(); ++each) {
            auto read = read_deployment(*each);
            if (read == nullptr) {
                continue;
            }
            const auto before = m_state.deployed != nullptr ? m_state.deployed->version() : 0;
            const bool newer = m_state.deployed == nullptr || read->version() > before;
            spdlog::info("{} version={} before={} record={} {}",
                         newer ? "configuration_in_force" : "configuration_passed_over",
                         read->version(), before, each->offset,
                         to_fields(m_state.configuration_position, m_state.timers.now()));
            if (newer) {
                m_state.deployed = std::move(read);
                m_state.origins.set_longest_request(m_state.deployed->longest_time_limit());
                m_state.log_accounts();
                m_endpoint_feed.handle_configuration();
            }
            return;
        }
    }

    void wait_for_reload()
    {
        m_settings_signal.async_wait([this](error_code error, int) {
            if (!error) {
                reload_settings();
                wait_for_reload();
            }
        });
    }

    // Addresses and the availability zone are not reloaded.
    void reload_settings()
    {
        try {
            const auto fresh = m_source();
            m_settings.grace_time = fresh.grace_time;
            m_settings.attempts = fresh.attempts;
            m_state.budget.set_bounds(fresh.attempts);
            m_gossip.set_seed_ips(fresh.peers.seed_ips);
            const bool moved = fresh.caller_address != m_settings.caller_address ||
                               fresh.store_address != m_settings.store_address;
            spdlog::info("settings_read again=true addresses_changed={}", moved);
        }
        catch (const std::exception& error) {
            spdlog::error("settings_unreadable error=\"{}\" effect=\"previous settings kept\"",
                          error.what());
        }
    }

    void run_housekeeping()
    {
        // Scheduled first, so that an exception does not end the series.
        m_housekeeping = m_state.timers.call_at(m_state.timers.now() + housekeeping_interval,
                                                [this] { run_housekeeping(); });
        log_late_loop();
        spdlog::default_logger()->flush();
        m_state.connections.close_expired();
        m_state.log_limit_usage();
        m_state.limits.forget_old(m_state.timers.now());
        m_state.fleet.remove_expired(m_state.timers.now());
        m_state.crashes.run_housekeeping();
        m_state.origins.run_housekeeping();
        if (++m_housekeeping_count % log_counts_every == 0) {
            log_counts();
            m_state.log_accounts();
        }
    }

    // Logs that the event loop stood still, with the processor time that the process used since the
    // last call: little of it tells that the process was not run, or waited in a call.
    void log_late_loop()
    {
        const auto used = base::process_usage::now();
        const auto before = std::exchange(m_process_usage, used);
        const auto late =
            std::chrono::duration_cast<milliseconds>(m_state.timers.take_max_lateness());
        if (late >= late_loop_threshold) {
            spdlog::warn("loop_late late_ms={} processor_ms={} interval_ms={}", late.count(),
                         std::chrono::duration_cast<milliseconds>(used.processor_time -
                                                                  before.processor_time)
                             .count(),
                         std::chrono::duration_cast<milliseconds>(m_state.timers.now() - m_usage_at)
                             .count());
        }
        m_usage_at = m_state.timers.now();
    }

    void log_counts()
    {
        constexpr std::uint64_t bytes_per_kilobyte = 1'024;
        const auto& counts = m_state.counts;
        spdlog::info(
            "requests answered={} refused={} refused_for_load={} late={} quarantined={} failed={} "
            "cut={} callers_left={} "
            "further_attempts={} handed_over={} relayed={} connections_opened={} peers={} "
            "replicas={} "
            "configuration={} configuration_age_ms={} endpoints_age_ms={} store_epoch={} "
            "store_returns={} store_pages={} "
            "store_configuration_reads={} store_endpoint_reads={} store_order_reads={} "
            "store_origin_reads={} store_appends={} known_streams={} suspected_segments={} "
            "quarantined_segments={} caller_connections={} held_bytes={} peak_memory_kb={} {}",
            counts.answered, counts.refused, counts.refused_for_load, counts.late,
            counts.quarantined, counts.failed, counts.cut, counts.client_disconnects,
            counts.retries, counts.handed_over, counts.relayed, m_state.connections.opened(),
            m_gossip.peer_count(), m_state.endpoints.size(),
            m_state.deployed != nullptr ? m_state.deployed->version() : 0,
            age_ms(m_state.configuration_position), age_ms(m_state.endpoints_position),
            m_state.store_history.epoch().value_or(0), m_state.store_history.generation(),
            m_state.store_calls.pages, m_state.store_calls.configuration_reads,
            m_state.store_calls.endpoint_reads, m_state.store_calls.order_reads,
            m_state.store_calls.origin_reads, m_state.store_calls.appends,
            m_state.origins.known_count(), m_state.crashes.suspect_count(),
            m_state.crashes.quarantined_count(), m_connections.size(), m_state.memory.held(),
            m_process_usage.peak_memory / bytes_per_kilobyte, to_fields(counts.callers));
        if (m_duties) {
            m_duties->log_counts();
        }
    }

    std::int64_t age_ms(const list_position& of) const
    {
        constexpr milliseconds never{-1};
        return of.age(m_state.timers.now()).value_or(never).count();
    }

    std::size_t requests_in_flight() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto& each) { return each->is_answering(); }));
    }

    void check_stop()
    {
        const auto now = m_state.timers.now();
        // Scheduled first, so that the host stops also if this check throws.
        m_stop_check = m_state.timers.call_at(now + stop_check_interval, [this] { check_stop(); });
        auto& stop = *m_state.stop;
        if (stop.is_time_to_close(now, m_callers->last_accepted())) {
            close_listeners();
            const auto all = m_connections;
            for (const auto& each : all) {
                each->close_if_idle();
            }
            if (m_connections.empty()) {
                end();
                return;
            }
        }
        if (now >= stop.ends_at()) {
            end();
        }
    }

    void close_listeners()
    {
        m_state.stop->record_close(m_state.timers.now());
        m_callers->close();
        if (m_relays) {
            m_relays->close();
        }
    }

    void end()
    {
        close_listeners();
        if (m_duties) {
            m_duties->announce_last();
        }
        log_counts();
        spdlog::info("host_stopped cut={}", requests_in_flight());
        const auto all = m_connections;
        for (const auto& each : all) {
            each->end_now();
        }
        if (m_connections.empty()) {
            m_context.stop();
            return;
        }
        m_stop_check =
            m_state.timers.call_at(m_state.stop->exits_at(), [this] { m_context.stop(); });
    }

    settings_source m_source;
    host_settings m_settings;
    asio::io_context m_context;
    host_state m_state;
    endpoint_feed m_endpoint_feed;
    connection_shares m_connection_shares = connection_shares::of(max_descriptors(m_settings));
    // Outlive the connections, which hold them.
    connection_slots m_caller_slots{m_connection_shares.callers};
    connection_slots m_host_slots{m_connection_shares.hosts};
    caller_set m_connections;
    feed_follower m_configuration;
    feed_follower m_endpoints;
    peer_gossip m_gossip;
    stage_director m_director;
    std::optional<host_duties> m_duties;
    asio::signal_set m_signals;
    asio::signal_set m_settings_signal;
    std::optional<listener> m_readiness;
    std::optional<listener> m_callers;
    std::optional<listener> m_relays;
    transport::timer_queue::handle m_housekeeping;
    transport::timer_queue::handle m_stop_check;
    unsigned m_housekeeping_count = 0;
    base::process_usage m_process_usage;
    time_point m_usage_at{};
};

host_process::host_process(settings_source source, const wire_format& wire)
    : m_impl{std::make_unique<implementation>(std::move(source), wire)}
{
}

host_process::~host_process() = default;

void host_process::run()
{
    m_impl->run();
}

void host_process::stop()
{
    m_impl->post_stop();
}

} // namespace cicadaport::serving
