#include "cicadaport/authority/fleet_directors.h"

#include "cicadaport/base/identifier.h"

#include <algorithm>
#include <set>

namespace cicadaport::authority {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds tick{100};
constexpr std::size_t run_suffix_length = 8;

} // namespace

fleet_directors::fleet_directors(director_services services, const std::string& process_id,
                                 lease_timing timing)
    : m_services{std::move(services)}, m_self{process_id + "#" +
                                              base::make_identifier().substr(0, run_suffix_length)},
      m_timing{timing}
{
}

asio::awaitable<void> fleet_directors::run()
{
    asio::steady_timer timer{m_services.context};
    while (!m_stopping) {
        start_missing();
        timer.expires_after(tick);
        co_await timer.async_wait(asio::use_awaitable);
    }
    for (const auto& [name, director] : m_directors) {
        director->stop();
    }
    while (!have_ended()) {
        timer.expires_after(tick);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void fleet_directors::start_missing()
{
    std::set<std::string> partitions;
    m_services.replica.inspect([&](const fold::state& state) {
        for (const auto& each : state.document()->endpoints) {
            if (each.kind == configuration::endpoint_kind::engine) {
                partitions.insert(partition_of(each));
            }
        }
    });
    for (const auto& name : partitions) {
        auto& director = m_directors[name];
        if (!director) {
            director = std::make_unique<partition_director>(m_services, name, m_self, m_timing);
            asio::co_spawn(m_services.context, director->run(), asio::detached);
        }
    }
}

std::vector<role_report> fleet_directors::current_roles() const
{
    std::vector<role_report> out;
    for (const auto& [name, director] : m_directors) {
        if (auto report = director->current_roles()) {
            out.push_back(std::move(*report));
        }
    }
    return out;
}

bool fleet_directors::have_ended() const
{
    return std::all_of(m_directors.begin(), m_directors.end(),
                       [](const auto& each) { return each.second->has_ended(); });
}

} // namespace cicadaport::authority
