#include "cicadaport/standins/log_service.h"

#include <nlohmann/json.hpp>
#include <platform.pb.h>

namespace cicadaport::standins {
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view stream_prefix = "/v1/streams/";
constexpr std::size_t most_entries_per_read = 512;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

std::uint64_t number_of(const http::target_view& target, std::string_view name)
{
    const auto text = target.parameter(name);
    return text ? std::stoull(*text) : 0;
}

} // namespace

log_service::log_service(asio::io_context& context, std::uint64_t seed)
    : m_context{context}, m_random{seed}
{
}

asio::awaitable<void> log_service::handle(const http::request& message,
                                          http::response_writer& writer)
{
    const http::target_view target{message.target};
    const auto& path = target.path();
    if (path == "/v1/faults" && message.method == "POST") {
        co_return co_await writer.send(set_faults(target));
    }
    if (path == "/v1/statistics") {
        const nlohmann::json body{{"appends", m_appends}, {"reads", m_reads}};
        co_return co_await writer.send(http::json_response(status_ok, body.dump()));
    }
    if (!path.starts_with(stream_prefix)) {
        co_return co_await writer.send({status_not_found, {}, {}});
    }
    co_await pause(m_faults.delay);
    if (m_faults.outage) {
        co_return co_await writer.send({status_unavailable, {}, "outage\n"});
    }
    const auto name = path.substr(stream_prefix.size());
    if (message.method == "POST") {
        co_return co_await append(name, message, writer);
    }
    co_await read(name, target, writer);
}

asio::awaitable<void> log_service::append(const std::string& name, const http::request& message,
                                          http::response_writer& writer)
{
    auto& kept = m_streams[name];
    kept.payloads.push_back(message.body);
    const auto offset = kept.end_offset();
    ++m_appends;
    while (kept.payloads.size() > m_faults.keep) {
        kept.payloads.pop_front();
        ++kept.first_offset;
    }
    std::bernoulli_distribution lost{m_faults.lose_answers};
    if (lost(m_random)) {
        // The append took place; its author will not hear of it.
        co_return;
    }
    protocol::append_reply reply;
    reply.set_offset(offset);
    co_await writer.send({status_ok, {}, reply.SerializeAsString()});
}

asio::awaitable<void> log_service::read(const std::string& name, const http::target_view& target,
                                        http::response_writer& writer)
{
    const auto after = number_of(target, "after");
    const auto until =
        std::chrono::steady_clock::now() + milliseconds{number_of(target, "wait_ms")};
    ++m_reads;
    while (m_streams[name].end_offset() <= after && std::chrono::steady_clock::now() < until &&
           !m_faults.outage) {
        constexpr milliseconds poll{20};
        co_await pause(poll);
    }
    const auto& kept = m_streams[name];
    protocol::read_reply reply;
    reply.set_first_offset(kept.first_offset);
    reply.set_end_offset(kept.end_offset());
    for (auto offset = std::max(after + 1, kept.first_offset); offset <= kept.end_offset();
         ++offset) {
        auto& entry = *reply.add_entries();
        entry.set_offset(offset);
        entry.set_payload(kept.payloads[offset - kept.first_offset]);
        if (reply.entries_size() >= static_cast<int>(most_entries_per_read)) {
            break;
        }
    }
    co_await writer.send({status_ok, {}, reply.SerializeAsString()});
}

http::response log_service::set_faults(const http::target_view& target)
{
    if (const auto value = target.parameter("outage")) {
        m_faults.outage = *value == "true";
    }
    if (const auto value = target.parameter("lose_answers")) {
        m_faults.lose_answers = std::stod(*value);
    }
    if (const auto value = target.parameter("delay_ms")) {
        m_faults.delay = milliseconds{std::stoll(*value)};
    }
    if (const auto value = target.parameter("keep")) {
        m_faults.keep = std::stoull(*value);
    }
    return {status_ok, {}, "ok\n"};
}

asio::awaitable<void> log_service::pause(milliseconds time)
{
    if (time.count() > 0) {
        asio::steady_timer timer{m_context, time};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace cicadaport::standins
