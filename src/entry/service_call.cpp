#include "cicadaport/entry/engine_choice.h"
#include "cicadaport/entry/paths.h"
#include "cicadaport/entry/request_end.h"
#include "internal/tries.h"

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::verdict;

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

try_plan plan_of(path_resources& resources, const caller_exchange& exchange,
                 const call_rules& rules)
{
    const auto& message = exchange.message;
    try_plan plan;
    plan.choose = [&resources, service = rules.service](const endpoint_filter& filter) {
        const base::rcu_reader guard;
        return choose_replica(resources.view.read(guard), service, filter, resources.own.random);
    };
    plan.message = {message.method, message.target, forwarded_fields(message, exchange.context.id),
                    message.body};
    plan.options.response_time = rules.timeout;
    plan.options.fresh_connection = !rules.idempotent;
    plan.idempotent = rules.idempotent;
    return plan;
}

} // namespace

asio::awaitable<void> service_call(path_resources resources, caller_exchange exchange,
                                   const http::target_view& target)
{
    const auto rules = find_rules(resources, exchange.message, target.path());
    const auto plan = plan_of(resources, exchange, rules);
    auto answer = co_await exchange_with_retries(resources, exchange.context, plan);
    const auto outcome = is_not_started(answer.reply) ? verdict::not_run : verdict::ran;
    answer.reply.fields.add(verdict_field, base::to_string(outcome));
    co_await exchange.writer.send(std::move(answer.reply));
    report_answered(resources.counters, exchange.context, answer.endpoint);
}

} // namespace cicadaport::entry
