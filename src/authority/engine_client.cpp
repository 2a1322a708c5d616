#include "cicadaport/authority/engine_client.h"

#include <nlohmann/json.hpp>
#include <record.pb.h>
#include <spdlog/spdlog.h>

namespace cicadaport::authority {
namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds observation_timeout{1'000};
constexpr unsigned status_ok = 200;

http::exchange_options observation_options()
{
    http::exchange_options options;
    options.connect_timeout = observation_timeout;
    options.response_timeout = observation_timeout;
    return options;
}

std::string body_of(const protocol::endpoint_order& order, std::uint64_t fencing_number)
{
    json body{{"order_id", order.order_id()}, {"fencing_number", fencing_number}};
    if (order.has_set_role()) {
        body["role"] = order.set_role();
    }
    if (order.has_load_model()) {
        body["model"] = order.load_model().model();
        body["version"] = order.load_model().version();
    }
    return body.dump();
}

engine_record parse_record(const std::string& text)
{
    const auto body = json::parse(text);
    engine_record out;
    out.role = body.at("role").get<std::string>();
    out.model = body.at("model").get<std::string>();
    out.version = body.at("version").get<std::string>();
    out.changing = body.at("changing").get<bool>();
    out.changing_order = body.at("changing_order").get<std::string>();
    out.last_applied_order = body.at("last_applied_order").get<std::string>();
    out.last_failed_order = body.at("last_failed_order").get<std::string>();
    return out;
}

} // namespace

asio::awaitable<std::optional<engine_record>> engine_client::observe(http::address engine)
{
    http::request message{"GET", "/v1/orders", {}, {}};
    try {
        const auto reply = co_await m_client.exchange(std::move(engine), std::move(message),
                                                      observation_options());
        if (reply.status == status_ok) {
            co_return parse_record(reply.body);
        }
    }
    catch (const std::exception& error) {
        spdlog::debug("engine_not_observed error=\"{}\"", error.what());
    }
    co_return std::nullopt;
}

asio::awaitable<bool> engine_client::is_idle_since(http::address engine,
                                                   std::chrono::steady_clock::time_point since)
{
    http::request message{"GET", "/v1/load", {}, {}};
    try {
        const auto asked_at = std::chrono::steady_clock::now();
        const auto reply = co_await m_client.exchange(std::move(engine), std::move(message),
                                                      observation_options());
        const auto load = json::parse(reply.body);
        const auto reported_at = asked_at - milliseconds{load.at("age_ms").get<std::int64_t>()};
        const auto work =
            load.at("waiting").get<std::uint64_t>() + load.at("running").get<std::uint64_t>();
        co_return work == 0 && reported_at >= since;
    }
    catch (const std::exception& error) {
        spdlog::debug("load_not_read error=\"{}\"", error.what());
    }
    co_return false;
}

asio::awaitable<bool> engine_client::send(http::address engine, protocol::endpoint_order order,
                                          std::uint64_t fencing_number, milliseconds limit)
{
    http::request message{"POST", "/v1/orders", {}, body_of(order, fencing_number)};
    message.fields.add("Content-Type", "application/json");
    http::exchange_options options;
    options.connect_timeout = limit / 2;
    options.response_timeout = limit / 2;
    options.fresh_connection = true;
    options.unsent_data_timeout = limit;
    try {
        const auto reply =
            co_await m_client.exchange(std::move(engine), std::move(message), options);
        spdlog::info("order_sent endpoint={} order={} fencing_number={} status={}",
                     order.endpoint(), order.order_id(), fencing_number, reply.status);
        co_return true;
    }
    catch (const http::exchange_error& error) {
        spdlog::warn("order_answer_lost endpoint={} order={} error=\"{}\"", order.endpoint(),
                     order.order_id(), error.what());
        co_return error.outcome() == base::verdict::not_run;
    }
}

} // namespace cicadaport::authority
