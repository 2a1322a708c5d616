#include "cicadaport/entry/engine_choice.h"
#include "cicadaport/entry/paths.h"
#include "cicadaport/entry/request_end.h"

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::verdict;
using clock = std::chrono::steady_clock;

namespace {

// What the configuration says of a call, copied out of the view.
struct call_rules {
    std::string service;
    bool idempotent = false;
    std::chrono::milliseconds timeout{0};
};

call_rules find_rules(path_resources& resources, const http::request& message,
                      const std::string& path)
{
    const base::rcu_reader guard;
    const auto* found = resources.view.read(guard).find_route(message.method, path);
    if (found == nullptr) {
        throw request_failure{failure_kind::unknown_route, verdict::not_run,
                              "no route " + message.method + " " + path};
    }
    return {found->service->name, found->route->idempotent, found->route->timeout};
}

chosen_endpoint choose(path_resources& resources, const std::string& service)
{
    const endpoint_filter filter{{}, resources.own.breakers, clock::now()};
    const base::rcu_reader guard;
    return choose_replica(resources.view.read(guard), service, filter, resources.own.random);
}

} // namespace

asio::awaitable<void> service_call(path_resources resources, caller_exchange exchange,
                                   const http::target_view& target)
{
    const auto& message = exchange.message;
    const auto rules = find_rules(resources, message, target.path());
    const auto replica = choose(resources, rules.service);
    http::request onward{message.method, message.target,
                         forwarded_fields(message, exchange.context.id), message.body};
    http::exchange_options options;
    options.response_time = rules.timeout;
    options.fresh_connection = !rules.idempotent;
    std::optional<request_failure> failure;
    http::response reply;
    try {
        reply =
            co_await resources.own.endpoints.exchange(replica.address, std::move(onward), options);
    }
    catch (const http::exchange_error& error) {
        failure = request_failure{failure_kind::endpoint_failed, error.outcome(), error.what(),
                                  spread_retry_time(resources.own.random)};
    }
    if (failure) {
        throw request_failure{*failure};
    }
    reply.fields.add(verdict_field, base::to_string(verdict::ran));
    co_await exchange.writer.send(std::move(reply));
    report_answered(resources.counters, exchange.context, replica.name);
}

} // namespace cicadaport::entry
