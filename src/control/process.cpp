#include "cicadaport/control/process.h"

#include "cicadaport/authority/fleet_directors.h"
#include "cicadaport/base/io_pool.h"
#include "cicadaport/control/admin_api.h"
#include "cicadaport/control/metrics.h"
#include "cicadaport/http/health.h"
#include "cicadaport/membership/endpoint_watch.h"
#include "cicadaport/relay/follower.h"
#include "cicadaport/relay/log_readers.h"
#include "cicadaport/relay/relay_server.h"
#include "cicadaport/shared_log/snapshotter.h"
#include "cicadaport/shared_log/tailer.h"

#include <peer.pb.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>

namespace cicadaport::control {
namespace asio = boost::asio;

namespace {

constexpr char log_stream[] = "system";
constexpr std::size_t control_workers = 1;

// How long a planned stop waits for orders and for the release of leases.
constexpr std::chrono::milliseconds release_time{5'000};

class process {
public:
    explicit process(const settings::control_settings& settings)
        : m_settings{settings}, m_pool{control_workers}, m_tail_log{m_pool.context(0),
                                                                    settings.platform.log,
                                                                    log_stream},
          m_append_log{m_pool.context(0), settings.platform.log, log_stream},
          m_tailer{m_tail_log, m_replica, [this] { return reads_log(); }},
          m_proposals{m_pool.context(0), m_append_log, m_replica, settings.common.id},
          m_snapshots{m_replica, m_proposals, [this] { return rank(); }},
          m_admin_api{m_replica, m_processes, m_proposals, settings.operator_key_sha256,
                      [this] { return m_directors.current_roles(); }},
          m_admin{m_pool,
                  settings.common.admin_address.ip,
                  settings.common.admin_address.port,
                  {},
                  [this](std::size_t, const http::request& message, http::response_writer& writer) {
                      return serve_admin(message, writer);
                  }},
          m_signals{m_pool.context(0), SIGTERM, SIGINT}, m_engines{m_pool.context(0)},
          m_directors{{m_pool.context(0), m_replica, m_proposals, m_engines, m_processes,
                       [this](std::uint64_t offset) { return is_folded_everywhere(offset); }},
                      settings.common.id,
                      timing(settings)},
          m_watch{{m_pool.context(0), m_replica, m_proposals, settings.platform.host_list,
                   settings.common.id, [this] { return live_control_processes(); }}},
          m_release_limit{m_pool.context(0)}
    {
        m_replica.add_listener([this](const fold::state& state) { note(state); });
        m_follower = std::make_unique<relay::follower>(
            settings.peers, m_replica, m_processes, [this] { return status(); }, 1);
        m_relay = std::make_unique<relay::relay_server>(
            settings.relay_address, m_replica, m_processes, [this] { return contact_age(); },
            [this] { return m_tailer.since_last_answer(); });
        asio::co_spawn(m_pool.context(0), m_tailer.run(), asio::detached);
        asio::co_spawn(m_pool.context(0), direct(), asio::detached);
        asio::co_spawn(m_pool.context(0), m_watch.run(), asio::detached);
        asio::co_spawn(m_pool.context(0), m_snapshots.run(), asio::detached);
        m_signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error) {
                stop();
            }
        });
    }

    void run()
    {
        spdlog::info("control_started id={} relay={}", m_settings.common.id,
                     http::to_string(m_settings.relay_address));
        m_pool.run();
        spdlog::info("control_stopped id={}", m_settings.common.id);
    }

private:
    static authority::lease_timing timing(const settings::control_settings& settings)
    {
        authority::lease_timing out;
        out.duration = settings.lease_time;
        return out;
    }

    asio::awaitable<void> serve_admin(const http::request& message, http::response_writer& writer)
    {
        const http::target_view target{message.target};
        if (auto page = http::health_answer(target.path(), m_health)) {
            return writer.send(std::move(*page));
        }
        return m_admin_api.handle(message, writer);
    }

    // Whether this process knows the state: from the log, even an empty one,
    // or from a peer.
    bool is_ready() const { return m_tailer.since_last_answer() || m_replica.offset() > 0; }

    // Directs until the leases are released, then ends the process.
    asio::awaitable<void> direct()
    {
        co_await m_directors.run();
        m_pool.stop();
    }

    void stop()
    {
        m_directors.stop();
        m_release_limit.expires_after(release_time);
        m_release_limit.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                m_pool.stop();
            }
        });
    }

    // A process that is silent or can't fold takes no part: an engine that
    // changes refuses its work unstarted.
    bool is_folded_everywhere(std::uint64_t offset) const
    {
        const auto statuses = m_processes.list(relay::process_table::clock::now());
        return std::all_of(statuses.begin(), statuses.end(), [&](const auto& status) {
            const bool silent = status.age_ms() > relay::live_age.count();
            return status.offset_in_force() >= offset || silent || !status.halted().empty();
        });
    }

    std::vector<std::string> live_control_processes() const
    {
        std::vector<std::string> out;
        for (const auto& each : m_processes.list(relay::process_table::clock::now())) {
            if (each.kind() == "control" && each.age_ms() <= relay::live_age.count()) {
                out.push_back(each.id());
            }
        }
        return out;
    }

    protocol::process_status status() const
    {
        protocol::process_status out;
        out.set_id(m_settings.common.id);
        out.set_kind("control");
        out.set_address(http::to_string(m_settings.relay_address));
        out.set_availability_zone(m_settings.common.availability_zone);
        m_replica.inspect([&](const fold::state& state) {
            out.set_offset_in_force(state.offset());
            out.set_configuration_offset(state.configuration_offset());
        });
        const auto log_age = m_tailer.since_last_answer();
        out.set_log_age_ms(log_age ? static_cast<std::uint32_t>(log_age->count()) : 0);
        out.set_reads_log(log_age && *log_age < relay::longest_log_silence);
        out.set_halted(m_replica.halted().value_or(""));
        return out;
    }

    // Called by one thread at a time.
    void note(const fold::state& state)
    {
        if (state.configuration_offset() != m_noted_configuration) {
            m_noted_configuration = state.configuration_offset();
            spdlog::info("configuration_in_force offset={}", m_noted_configuration);
        }
    }

    bool reads_log() const
    {
        const auto known = m_processes.list(relay::process_table::clock::now());
        return relay::should_read_log(m_settings.common.id, m_settings.common.availability_zone,
                                      known);
    }

    std::size_t rank() const
    {
        return relay::rank_of(m_settings.common.id,
                              m_processes.list(relay::process_table::clock::now()));
    }

    std::chrono::milliseconds contact_age() const
    {
        const auto by_peers = m_follower->since_last_answer();
        return std::min(by_peers, m_tailer.since_last_answer().value_or(by_peers));
    }

    settings::control_settings m_settings;
    base::io_pool m_pool;
    fold::replica m_replica;
    std::uint64_t m_noted_configuration = 0;
    relay::process_table m_processes;
    shared_log::log_client m_tail_log;
    shared_log::log_client m_append_log;
    shared_log::tailer m_tailer;
    shared_log::proposer m_proposals;
    shared_log::snapshotter m_snapshots;
    metrics m_metrics{m_replica, m_processes};
    http::health_source m_health{[this] { return is_ready(); },
                                 [this] { return m_metrics.expose(contact_age()); }};
    admin_api m_admin_api;
    http::server m_admin;
    asio::signal_set m_signals;
    authority::engine_client m_engines;
    authority::fleet_directors m_directors;
    membership::endpoint_watch m_watch;
    asio::steady_timer m_release_limit;
    std::unique_ptr<relay::follower> m_follower;
    std::unique_ptr<relay::relay_server> m_relay;
};

} // namespace

void run(const settings::control_settings& settings)
{
    process{settings}.run();
}

} // namespace cicadaport::control
