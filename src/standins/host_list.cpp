#include "cicadaport/standins/host_list.h"

#include <nlohmann/json.hpp>

namespace cicadaport::standins {
namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view host_prefix = "/v1/hosts/";
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

} // namespace

asio::awaitable<void> host_list::handle(const http::request& message, http::response_writer& writer)
{
    const http::target_view target{message.target};
    if (target.path() == "/v1/faults") {
        if (const auto lag = target.parameter("lag_ms")) {
            m_lag = std::chrono::milliseconds{std::stoll(*lag)};
        }
        if (const auto outage = target.parameter("outage")) {
            m_outage = *outage == "true";
        }
        return writer.send({status_ok, {}, "ok\n"});
    }
    if (m_outage) {
        return writer.send({status_unavailable, {}, "outage\n"});
    }
    if (message.method == "PUT" && target.path().starts_with(host_prefix)) {
        m_pending.push_back({clock::now(), target.path().substr(host_prefix.size()),
                             target.parameter("state").value_or("live")});
        return writer.send({status_ok, {}, "ok\n"});
    }
    return writer.send(list());
}

http::response host_list::list()
{
    const auto visible = clock::now() - m_lag;
    while (!m_pending.empty() && m_pending.front().at <= visible) {
        m_hosts[m_pending.front().ip] = m_pending.front().state;
        m_pending.pop_front();
    }
    auto hosts = nlohmann::json::array();
    for (const auto& [ip, state] : m_hosts) {
        if (state != "gone") {
            hosts.push_back({{"ip", ip}, {"state", state}});
        }
    }
    return http::json_response(status_ok, nlohmann::json{{"hosts", std::move(hosts)}}.dump());
}

asio::awaitable<void> weight_store::handle(const http::request& message,
                                           http::response_writer& writer)
{
    const http::target_view target{message.target};
    if (target.path() == "/v1/faults") {
        if (const auto rate = target.parameter("bytes_per_second")) {
            m_bytes_per_second = std::stoull(*rate);
        }
        if (const auto outage = target.parameter("outage")) {
            m_outage = *outage == "true";
        }
        co_return co_await writer.send({status_ok, {}, "ok\n"});
    }
    if (m_outage) {
        co_return co_await writer.send({status_unavailable, {}, "outage\n"});
    }
    const auto bytes = std::stoull(target.parameter("bytes").value_or("0"));
    const std::chrono::duration<double> time{static_cast<double>(bytes) /
                                             static_cast<double>(m_bytes_per_second)};
    m_free_at =
        std::max(m_free_at, clock::now()) + std::chrono::duration_cast<clock::duration>(time);
    asio::steady_timer timer{m_context, m_free_at};
    co_await timer.async_wait(asio::use_awaitable);
    co_await writer.send({status_ok, {}, "sent\n"});
}

} // namespace cicadaport::standins
