#include "cicadaport/base/identifier.h"
#include "cicadaport/entry/paths.h"
#include "cicadaport/entry/request_end.h"
#include "internal/engine_stages.h"
#include "internal/resumable_stream.h"
#include "internal/stream_cancel.h"

namespace cicadaport::entry {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds whole_answer_time{60'000};

try_plan plan_of(path_resources& resources, const caller_exchange& exchange, engine_stages& stages,
                 http::cancellation& cancel)
{
    const auto& message = exchange.message;
    const auto name = stream_prefix(exchange.context.account, exchange.context.id, message.body) +
                      base::make_identifier();
    try_plan plan;
    plan.next = [&](try_sequence& tries) { return stages.next(tries, cancel); };
    plan.message = {"POST", message.target, forwarded_fields(message, name), message.body};
    plan.options.response_time = whole_answer_time;
    plan.options.cancel = &cancel;
    // A generation has no effect but its answer, of which nothing was sent.
    plan.idempotent = true;
    plan.cancelled = [&resources, name](const chosen_endpoint& engine) {
        cancel_stream(resources.own, engine.address, name);
    };
    return plan;
}

asio::awaitable<void> whole_completion(path_resources& resources, const caller_exchange& exchange,
                                       const completion_request& wanted)
{
    http::cancellation cancel;
    const auto watch = exchange.writer.watch_peer([&] { cancel.request(); });
    engine_stages stages{resources, exchange, wanted.model};
    const auto plan = plan_of(resources, exchange, stages, cancel);
    auto answer = co_await exchange_with_retries(resources, exchange.context, plan);
    const auto outcome = is_not_started(answer.reply) ? base::verdict::not_run : base::verdict::ran;
    answer.reply.fields.add(verdict_field, base::to_string(outcome));
    co_await exchange.writer.send(std::move(answer.reply));
    report_answered(resources.counters, exchange.context, answer.endpoint);
}

} // namespace

asio::awaitable<void> resumable_completion(path_resources resources, caller_exchange exchange)
{
    auto wanted = parse_completion(exchange.message.body);
    if (!wanted.streamed) {
        co_return co_await whole_completion(resources, exchange, wanted);
    }
    resumable_stream stream{resources, exchange, std::move(wanted)};
    co_await stream.run();
}

} // namespace cicadaport::entry
