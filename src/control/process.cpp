#include "cicadaport/control/process.h"

#include "cicadaport/base/io_pool.h"
#include "cicadaport/control/admin_api.h"
#include "cicadaport/platform/tailer.h"
#include "cicadaport/relay/follower.h"
#include "cicadaport/relay/relay_server.h"

#include <peer.pb.h>
#include <spdlog/spdlog.h>

#include <csignal>

namespace cicadaport::control {
namespace asio = boost::asio;

namespace {

constexpr char log_stream[] = "system";
constexpr std::size_t control_workers = 1;

class process {
public:
    explicit process(const settings::control_settings& settings)
        : m_settings{settings}, m_pool{control_workers}, m_tail_log{m_pool.context(0),
                                                                    settings.platform.log,
                                                                    log_stream},
          m_append_log{m_pool.context(0), settings.platform.log, log_stream}, m_tailer{m_tail_log,
                                                                                       m_replica},
          m_proposals{m_pool.context(0), m_append_log, m_replica, settings.common.id},
          m_admin_api{m_replica, m_processes, m_proposals, settings.operator_key_sha256},
          m_admin{m_pool,
                  settings.common.admin_address.ip,
                  settings.common.admin_address.port,
                  {},
                  [this](std::size_t, const http::request& message, http::response_writer& writer) {
                      return m_admin_api.handle(message, writer);
                  }},
          m_relay{settings.relay_address, m_replica, m_processes},
          m_follower{settings.peers, m_replica, m_processes, [this] { return status(); }},
          m_signals{m_pool.context(0), SIGTERM, SIGINT}
    {
        asio::co_spawn(m_pool.context(0), m_tailer.run(), asio::detached);
        m_signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error) {
                m_pool.stop();
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
        return out;
    }

    settings::control_settings m_settings;
    base::io_pool m_pool;
    fold::replica m_replica;
    relay::process_table m_processes;
    platform::log_client m_tail_log;
    platform::log_client m_append_log;
    platform::tailer m_tailer;
    platform::proposer m_proposals;
    admin_api m_admin_api;
    http::server m_admin;
    relay::relay_server m_relay;
    relay::follower m_follower;
    asio::signal_set m_signals;
};

} // namespace

void run(const settings::control_settings& settings)
{
    process{settings}.run();
}

} // namespace cicadaport::control
