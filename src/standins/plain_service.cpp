#include "cicadaport/standins/plain_service.h"

#include <nlohmann/json.hpp>

namespace cicadaport::standins {
namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

std::string field_or_empty(const http::request& message, std::string_view name)
{
    return std::string{message.fields.find(name).value_or("")};
}

} // namespace

asio::awaitable<void> plain_service::handle(const http::request& message,
                                            http::response_writer& writer)
{
    const http::target_view target{message.target};
    if (target.path() == "/healthz") {
        return writer.send({status_ok, {}, "ok\n"});
    }
    if (target.path() == "/v1/runs") {
        return writer.send(list_runs());
    }
    if (target.path() == "/v1/faults") {
        return writer.send(set_faults(target));
    }
    return execute(message, target.path(), writer);
}

asio::awaitable<void> plain_service::execute(const http::request& message, const std::string& path,
                                             http::response_writer& writer)
{
    if (m_faults.refuse) {
        // The field says that nothing was started.
        http::response refusal{status_unavailable, {{"X-Not-Started", "true"}}, "refused\n"};
        co_return co_await writer.send(std::move(refusal));
    }
    m_runs.push_back({field_or_empty(message, "X-Request-Id"),
                      field_or_empty(message, "Idempotency-Key"), message.method, path,
                      message.body});
    const nlohmann::json body{{"confirmation", m_runs.size()}, {"echo", message.body}};
    if (m_faults.late.count() > 0) {
        asio::steady_timer timer{m_context, m_faults.late};
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (m_faults.lose_answers > 0) {
        --m_faults.lose_answers;
        co_return;
    }
    if (m_faults.cut_answers > 0) {
        --m_faults.cut_answers;
        http::response head{status_ok, {{"Content-Type", "application/json"}}, {}};
        co_await writer.begin_stream(std::move(head));
        const auto text = body.dump();
        co_return co_await writer.write(std::string_view{text}.substr(0, text.size() / 2));
    }
    co_await writer.send(http::json_response(status_ok, body.dump()));
}

http::response plain_service::list_runs() const
{
    auto list = nlohmann::json::array();
    for (const auto& each : m_runs) {
        list.push_back({{"request_id", each.request_id},
                        {"key", each.key},
                        {"method", each.method},
                        {"path", each.path},
                        {"body", each.body}});
    }
    return http::json_response(status_ok, nlohmann::json{{"runs", std::move(list)}}.dump());
}

http::response plain_service::set_faults(const http::target_view& target)
{
    const auto number = [&](std::string_view name, std::uint32_t& value) {
        if (const auto text = target.parameter(name)) {
            value = static_cast<std::uint32_t>(std::stoul(*text));
        }
    };
    number("lose_answers", m_faults.lose_answers);
    number("cut_answers", m_faults.cut_answers);
    if (const auto text = target.parameter("late_ms")) {
        m_faults.late = std::chrono::milliseconds{std::stoll(*text)};
    }
    if (const auto text = target.parameter("refuse")) {
        m_faults.refuse = *text == "true";
    }
    return {status_ok, {}, "ok\n"};
}

} // namespace cicadaport::standins
