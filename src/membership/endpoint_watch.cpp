#include "cicadaport/membership/endpoint_watch.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <state.pb.h>

#include <algorithm>

namespace cicadaport::membership {
namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds update_interval{500};
constexpr milliseconds probe_timeout{1'000};
constexpr unsigned status_ok = 200;

http::exchange_options probe_options()
{
    http::exchange_options options;
    options.connect_timeout = probe_timeout;
    options.response_timeout = probe_timeout;
    return options;
}

std::map<std::string, listed_state> parse_hosts(const std::string& text)
{
    std::map<std::string, listed_state> out;
    const auto body = nlohmann::json::parse(text);
    for (const auto& host : body.at("hosts")) {
        const bool leaving = host.at("state").get<std::string>() == "leaving";
        out[host.at("ip").get<std::string>()] =
            leaving ? listed_state::leaving : listed_state::live;
    }
    return out;
}

} // namespace

endpoint_watch::endpoint_watch(watch_services services)
    : m_services{std::move(services)}, m_client{m_services.context}, m_ranks{m_services.process}
{
}

asio::awaitable<void> endpoint_watch::run()
{
    asio::steady_timer timer{m_services.context};
    for (;;) {
        if (!m_reading_hosts) {
            m_reading_hosts = true;
            asio::co_spawn(m_services.context, read_host_list(), asio::detached);
        }
        std::shared_ptr<const configuration::document> document;
        m_services.replica.inspect([&](const fold::state& state) { document = state.document(); });
        const auto ranks = m_ranks.update(document, m_services.live_processes());
        for (std::size_t i = 0; i < ranks.size(); ++i) {
            const auto& endpoint = document->endpoints[i];
            if (ranks[i]) {
                update_endpoint(endpoint, *ranks[i]);
            }
            else {
                m_watched.erase(endpoint.name);
            }
        }
        timer.expires_after(update_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// While the host list is unavailable, the last list that was read stays in use.
asio::awaitable<void> endpoint_watch::read_host_list()
{
    http::request message{"GET", "/v1/hosts", {}, {}};
    try {
        const auto reply =
            co_await m_client.exchange(m_services.host_list, std::move(message), probe_options());
        if (reply.status == status_ok) {
            m_hosts = parse_hosts(reply.body);
        }
    }
    catch (const std::exception& error) {
        spdlog::debug("host_list_not_read error=\"{}\"", error.what());
    }
    m_reading_hosts = false;
}

// The first watcher reports every change, the second only `leaving`, so that
// two watchers with different probe results don't contradict each other.
void endpoint_watch::update_endpoint(const configuration::endpoint& endpoint, std::size_t rank)
{
    const auto reported = folded_condition(endpoint.name);
    auto& entry = m_watched.try_emplace(endpoint.name, reported).first->second;
    const auto listed = m_hosts.find(endpoint.address.ip);
    entry.monitor.note_listed(listed == m_hosts.end() ? listed_state::unknown : listed->second);
    if (!entry.probing) {
        entry.probing = true;
        asio::co_spawn(m_services.context, probe(endpoint), asio::detached);
    }
    const auto standing = entry.monitor.standing();
    const bool unsure = standing == condition::down && is_cut_off();
    const bool reports = rank == 0 || standing == condition::leaving;
    if (to_string(standing) != to_string(reported) && reports && !unsure && !entry.reporting) {
        entry.reporting = true;
        asio::co_spawn(m_services.context, report(endpoint.name, standing), asio::detached);
    }
}

// An engine must answer /v1/load with status 200; any response counts for a plain service.
asio::awaitable<void> endpoint_watch::probe(configuration::endpoint endpoint)
{
    const bool is_engine = endpoint.kind == configuration::endpoint_kind::engine;
    http::request message{"GET", is_engine ? "/v1/load" : "/healthz", {}, {}};
    bool answered = false;
    try {
        const auto reply =
            co_await m_client.exchange(endpoint.address, std::move(message), probe_options());
        answered = !is_engine || reply.status == status_ok;
    }
    catch (const http::exchange_error& error) {
        spdlog::debug("probe_failed endpoint={} error=\"{}\"", endpoint.name, error.what());
    }
    if (const auto found = m_watched.find(endpoint.name); found != m_watched.end()) {
        found->second.probing = false;
        found->second.monitor.note_probe(answered, clock::now());
    }
}

asio::awaitable<void> endpoint_watch::report(std::string endpoint, condition standing)
{
    protocol::record record;
    auto& body = *record.mutable_report();
    body.set_endpoint(endpoint);
    body.set_condition(std::string{to_string(standing)});
    body.set_reason("seen by " + m_services.process);
    try {
        co_await m_services.proposals.propose(record);
        spdlog::info("endpoint_reported endpoint={} condition={}", endpoint, to_string(standing));
    }
    catch (const shared_log::log_error& error) {
        spdlog::warn("endpoint_not_reported endpoint={} error=\"{}\"", endpoint, error.what());
    }
    if (const auto found = m_watched.find(endpoint); found != m_watched.end()) {
        found->second.reporting = false;
    }
}

bool endpoint_watch::is_cut_off() const
{
    const auto silent = std::count_if(m_watched.begin(), m_watched.end(), [](const auto& each) {
        const auto standing = each.second.monitor.standing();
        return standing == condition::down || standing == condition::suspect;
    });
    const auto all = static_cast<std::ptrdiff_t>(m_watched.size());
    return all > 1 && silent * 2 > all;
}

condition endpoint_watch::folded_condition(const std::string& endpoint) const
{
    std::string folded;
    m_services.replica.inspect([&](const fold::state& state) {
        const auto& conditions = state.message().conditions();
        if (const auto found = conditions.find(endpoint); found != conditions.end()) {
            folded = found->second.condition();
        }
    });
    if (folded == to_string(condition::leaving)) {
        return condition::leaving;
    }
    return folded == to_string(condition::down) ? condition::down : condition::serving;
}

} // namespace cicadaport::membership
