#include "cicadaport/entry/gateway.h"

#include "cicadaport/base/safeguards.h"
#include "cicadaport/entry/request_end.h"

#include <nlohmann/json.hpp>

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::verdict;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completions_path = "/v1/completions";
constexpr std::string_view models_path = "/v1/models";

bool is_completion(std::string_view path)
{
    return path == chat_path || path == completions_path;
}

error_shape shape_of(std::string_view path)
{
    return path.starts_with("/v1/") ? error_shape::completion : error_shape::problem;
}

} // namespace

gateway::gateway(base::io_pool& pool, const base::published<routing::view>& view, metrics& counters,
                 settings::completion_path path, claims::claim_store* claims,
                 decision_state* decisions)
    : m_view{view}, m_metrics{counters}, m_path{path}, m_claims{claims}
{
    for (std::size_t index = 0; index < pool.size(); ++index) {
        m_workers.push_back(std::make_shared<worker>(pool.context(index), decisions));
    }
}

asio::awaitable<void> gateway::handle(std::size_t worker_index, const http::request& message,
                                      http::response_writer& writer)
{
    request_context context;
    context.arrived = clock::now();
    auto shape = error_shape::completion;
    std::optional<request_failure> failure;
    try {
        const http::target_view target{message.target};
        shape = shape_of(target.path());
        context = identify_caller(message);
        const path_resources resources{m_workers[worker_index], m_view, m_metrics, m_claims};
        const caller_exchange exchange{context, message, writer};
        co_await dispatch(resources, exchange, target);
    }
    catch (const request_failure& error) {
        failure = error;
    }
    catch (const std::invalid_argument& error) {
        failure = request_failure{failure_kind::invalid_request, verdict::not_run, error.what()};
    }
    if (failure) {
        co_await reject(context, *failure, shape, writer);
    }
}

request_context gateway::identify_caller(const http::request& message) const
{
    const base::rcu_reader guard;
    return identify(message, m_view.read(guard), clock::now());
}

asio::awaitable<void> gateway::dispatch(const path_resources& resources, caller_exchange exchange,
                                        const http::target_view& target)
{
    const auto& method = exchange.message.method;
    if (is_completion(target.path()) && method == "POST") {
        return m_path == settings::completion_path::pass_through
                   ? pass_through_completion(resources, exchange)
                   : resumable_completion(resources, exchange);
    }
    if (target.path() == models_path && method == "GET") {
        return exchange.writer.send(list_models());
    }
    return service_call(resources, exchange, target);
}

http::response gateway::list_models() const
{
    constexpr unsigned status_ok = 200;
    auto data = nlohmann::json::array();
    const base::rcu_reader guard;
    for (const auto& model : m_view.read(guard).document().models) {
        data.push_back({{"id", model.name}, {"object", "model"}, {"owned_by", "cicadaport"}});
    }
    const nlohmann::json body{{"object", "list"}, {"data", std::move(data)}};
    return http::json_response(status_ok, body.dump());
}

asio::awaitable<void> gateway::reject(const request_context& context,
                                      const request_failure& failure, error_shape shape,
                                      http::response_writer& writer)
{
    report_failed(m_metrics, context, failure);
    auto reply = to_response(failure, shape);
    reply.fields.add(request_id_field, context.id);
    co_await writer.send(std::move(reply));
}

void gateway::hand_over()
{
    if (!base::safeguards::is_on(base::safeguard::hand_over)) {
        return;
    }
    for (const auto& each : m_workers) {
        asio::post(each->context, [own = each] {
            const auto calls = own->handover_callbacks;
            for (const auto& [id, call] : calls) {
                call();
            }
        });
    }
}

} // namespace cicadaport::entry
