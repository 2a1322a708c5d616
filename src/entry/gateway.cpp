#include "cicadaport/entry/gateway.h"

#include "cicadaport/base/digest.h"
#include "cicadaport/base/identifier.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::verdict;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completions_path = "/v1/completions";
constexpr std::string_view models_path = "/v1/models";
constexpr std::chrono::seconds no_endpoint_retry{2};
constexpr std::chrono::milliseconds engine_response_time{60'000};

// Counts a request at an endpoint for as long as it lives.
class load_guard {
public:
    explicit load_guard(std::shared_ptr<routing::endpoint_load> load) : m_load{std::move(load)}
    {
        m_load->requests.fetch_add(1, std::memory_order_relaxed);
    }
    ~load_guard() { m_load->requests.fetch_sub(1, std::memory_order_relaxed); }
    load_guard(const load_guard&) = delete;
    load_guard& operator=(const load_guard&) = delete;

private:
    std::shared_ptr<routing::endpoint_load> m_load;
};

// A chosen endpoint, copied out of the view so that it may be used later.
struct chosen_endpoint {
    std::string name;
    http::address address;
    std::shared_ptr<routing::endpoint_load> load;
};

bool is_completion(std::string_view path)
{
    return path == chat_path || path == completions_path;
}

error_shape shape_of(std::string_view path)
{
    return path.starts_with("/v1/") ? error_shape::completion : error_shape::problem;
}

std::string bearer_key(const http::request& message)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = message.fields.find("Authorization");
    return value && value->starts_with(scheme) ? std::string{value->substr(scheme.size())}
                                               : std::string{};
}

// Copies what an endpoint should see of a caller's fields; never the key.
http::field_list forwarded_fields(const http::request& message, const std::string& id)
{
    http::field_list out;
    for (const auto* name :
         {"Content-Type", "Accept", "traceparent", "tracestate", "Idempotency-Key"}) {
        if (const auto value = message.fields.find(name)) {
            out.add(name, *value);
        }
    }
    out.add(request_id_field, id);
    return out;
}

std::string model_of(const std::string& body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("model") || !parsed["model"].is_string()) {
        throw request_failure{failure_kind::invalid_request, verdict::not_run,
                              "the body is not a JSON object with a model"};
    }
    return parsed["model"].get<std::string>();
}

} // namespace

gateway::worker_state::worker_state(asio::io_context& context)
    : endpoints{context}, random{std::random_device{}()}
{
}

gateway::gateway(base::io_pool& pool, const base::published<routing::view>& view, metrics& counters)
    : m_view{view}, m_metrics{counters}
{
    for (std::size_t worker = 0; worker < pool.size(); ++worker) {
        m_workers.push_back(std::make_unique<worker_state>(pool.context(worker)));
    }
}

asio::awaitable<void> gateway::handle(std::size_t worker, const http::request& message,
                                      http::response_writer& writer)
{
    request_context context;
    context.arrived = clock::now();
    context.id = std::string{message.fields.find(request_id_field).value_or("")};
    auto shape = error_shape::completion;
    std::optional<request_failure> failure;
    try {
        const http::target_view target{message.target};
        shape = shape_of(target.path());
        context = identify(message);
        co_await dispatch(*m_workers[worker], context, message, target, writer);
    }
    catch (const request_failure& error) {
        failure = error;
    }
    catch (const std::invalid_argument& error) {
        failure = request_failure{failure_kind::invalid_request, verdict::not_run, error.what()};
    }
    if (failure) {
        co_await fail(context, *failure, shape, writer);
    }
}

request_context gateway::identify(const http::request& message) const
{
    request_context out;
    out.arrived = clock::now();
    const auto id = message.fields.find(request_id_field);
    out.id = id && !id->empty() ? std::string{*id} : base::make_identifier();
    const auto hash = base::sha256_hex(bearer_key(message));
    const base::rcu_reader guard;
    const auto* caller = m_view.read(guard).find_caller(hash);
    if (caller == nullptr) {
        throw request_failure{failure_kind::unknown_key, verdict::not_run,
                              "the API key is not known"};
    }
    out.account = caller->account;
    out.priority = caller->priority;
    return out;
}

asio::awaitable<void> gateway::dispatch(worker_state& worker, const request_context& context,
                                        const http::request& message,
                                        const http::target_view& target,
                                        http::response_writer& writer)
{
    if (is_completion(target.path()) && message.method == "POST") {
        return complete(worker, context, message, writer);
    }
    if (target.path() == models_path && message.method == "GET") {
        return writer.send(list_models());
    }
    return call_service(worker, context, message, target, writer);
}

http::response gateway::list_models() const
{
    auto data = nlohmann::json::array();
    const base::rcu_reader guard;
    for (const auto& model : m_view.read(guard).document().models) {
        data.push_back({{"id", model.name}, {"object", "model"}, {"owned_by", "cicadaport"}});
    }
    const nlohmann::json body{{"object", "list"}, {"data", std::move(data)}};
    return http::json_response(200, body.dump());
}

asio::awaitable<void> gateway::complete(worker_state& worker, const request_context& context,
                                        const http::request& message, http::response_writer& writer)
{
    const auto model = model_of(message.body);
    chosen_endpoint engine;
    {
        const base::rcu_reader guard;
        const auto& view = m_view.read(guard);
        if (view.document().find_model(model) == nullptr) {
            throw request_failure{failure_kind::unknown_model, verdict::not_run,
                                  "no model '" + model + "'"};
        }
        const auto* chosen =
            routing::two_random_choices{}.choose(view.candidates(model), worker.random);
        if (chosen == nullptr) {
            throw request_failure{failure_kind::no_endpoint, verdict::not_run,
                                  "no engine serves '" + model + "'", no_endpoint_retry};
        }
        engine = {chosen->endpoint->name, chosen->endpoint->address, chosen->load};
    }
    const load_guard in_flight{engine.load};
    http::request onward{"POST", message.target, forwarded_fields(message, context.id),
                         message.body};
    http::exchange_options options;
    options.response_time = engine_response_time;
    bool begun = false;
    std::optional<request_failure> failure;
    try {
        auto answer = co_await worker.endpoints.open(engine.address, std::move(onward), options);
        auto head = answer.head();
        head.fields.add(verdict_field, base::to_string(verdict::ran));
        begun = true;
        co_await writer.begin_stream(std::move(head));
        auto last = context.arrived;
        while (auto piece = co_await answer.next()) {
            const auto now = clock::now();
            if (last == context.arrived) {
                m_metrics.first_token(context.priority, now - last);
            }
            else {
                m_metrics.between_tokens(context.priority, now - last);
            }
            last = now;
            co_await writer.write(*piece);
        }
        co_await writer.end_stream();
        m_metrics.request_ended(context.priority, "ok", verdict::ran,
                                clock::now() - context.arrived);
        spdlog::info("request_ended id={} account={} endpoint={} verdict=ran", context.id,
                     context.account, engine.name);
    }
    catch (const http::exchange_error& error) {
        failure = request_failure{failure_kind::endpoint_failed, error.outcome(), error.what(),
                                  no_endpoint_retry};
    }
    if (failure && begun) {
        spdlog::warn("request_cut id={} account={} endpoint={} verdict={} error=\"{}\"", context.id,
                     context.account, engine.name, base::to_string(failure->outcome()),
                     failure->what());
        m_metrics.request_ended(context.priority, "cut", failure->outcome(),
                                clock::now() - context.arrived);
    }
    else if (failure) {
        throw request_failure{*failure};
    }
}

asio::awaitable<void> gateway::call_service(worker_state& worker, const request_context& context,
                                            const http::request& message,
                                            const http::target_view& target,
                                            http::response_writer& writer)
{
    chosen_endpoint replica;
    http::exchange_options options;
    {
        const base::rcu_reader guard;
        const auto& view = m_view.read(guard);
        const auto* route = view.find_route(message.method, target.path());
        if (route == nullptr) {
            throw request_failure{failure_kind::unknown_route, verdict::not_run,
                                  "no route " + message.method + " " + target.path()};
        }
        const auto* chosen = routing::two_random_choices{}.choose(
            view.candidates(route->service->name), worker.random);
        if (chosen == nullptr) {
            throw request_failure{failure_kind::no_endpoint, verdict::not_run,
                                  "no replica of '" + route->service->name + "'",
                                  no_endpoint_retry};
        }
        replica = {chosen->endpoint->name, chosen->endpoint->address, chosen->load};
        options.response_time = route->route->timeout;
        options.fresh_connection = !route->route->idempotent;
    }
    const load_guard in_flight{replica.load};
    http::request onward{message.method, message.target, forwarded_fields(message, context.id),
                         message.body};
    std::optional<request_failure> failure;
    http::response reply;
    try {
        reply = co_await worker.endpoints.exchange(replica.address, std::move(onward), options);
    }
    catch (const http::exchange_error& error) {
        failure = request_failure{failure_kind::endpoint_failed, error.outcome(), error.what(),
                                  no_endpoint_retry};
    }
    if (failure) {
        throw request_failure{*failure};
    }
    reply.fields.add(verdict_field, base::to_string(verdict::ran));
    co_await writer.send(std::move(reply));
    m_metrics.request_ended(context.priority, "ok", verdict::ran, clock::now() - context.arrived);
    spdlog::info("request_ended id={} account={} endpoint={} verdict=ran", context.id,
                 context.account, replica.name);
}

asio::awaitable<void> gateway::fail(const request_context& context, const request_failure& failure,
                                    error_shape shape, http::response_writer& writer)
{
    m_metrics.request_ended(context.priority, to_string(failure.kind()), failure.outcome(),
                            clock::now() - context.arrived);
    spdlog::info("request_failed id={} account={} kind={} verdict={} reason=\"{}\"", context.id,
                 context.account, to_string(failure.kind()), base::to_string(failure.outcome()),
                 failure.what());
    auto reply = to_response(failure, shape);
    reply.fields.add(request_id_field, context.id);
    co_await writer.send(std::move(reply));
}

} // namespace cicadaport::entry
