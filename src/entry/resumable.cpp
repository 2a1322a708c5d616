#include "cicadaport/base/identifier.h"
#include "cicadaport/entry/paths.h"
#include "cicadaport/entry/request_end.h"
#include "internal/engine_stages.h"
#include "internal/resumable_stream.h"
#include "internal/stream_cancel.h"

namespace cicadaport::entry {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds whole_answer_timeout{60'000};

// Cancels one completion when the process stops during this object's lifetime.
// Belongs to one event loop.
class stop_canceller {
public:
    stop_canceller(worker& own, http::cancellation& cancel)
        : m_own{own}, m_number{own.next_stream_id++}
    {
        m_own.handover_callbacks[m_number] = [this, &cancel] {
            m_stopping = true;
            cancel.request();
        };
    }
    ~stop_canceller() { m_own.handover_callbacks.erase(m_number); }
    stop_canceller(const stop_canceller&) = delete;
    stop_canceller& operator=(const stop_canceller&) = delete;

    bool is_stopping() const noexcept { return m_stopping; }

private:
    worker& m_own;
    std::uint64_t m_number;
    bool m_stopping = false;
};

exchange_plan make_plan(path_resources& resources, const caller_exchange& exchange,
                        engine_stages& stages, http::cancellation& cancel)
{
    const auto& message = exchange.message;
    const auto name = stream_prefix(exchange.context.account, exchange.context.id, message.body) +
                      base::make_identifier();
    exchange_plan plan;
    plan.next = [&](attempt_sequence& tries) { return stages.next(tries, cancel); };
    plan.message = {"POST", message.target, forwarded_fields(message, name), message.body};
    plan.options.response_timeout = whole_answer_timeout;
    plan.options.cancel = &cancel;
    // A completion has no effect except its answer, and nothing of the answer was sent.
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
    const auto plan = make_plan(resources, exchange, stages, cancel);
    const stop_canceller stop{resources.own, cancel};
    endpoint_answer answer;
    try {
        answer = co_await exchange_with_retries(resources, exchange.context, plan);
    }
    catch (const request_failure& failure) {
        if (!stop.is_stopping()) {
            throw;
        }
        // Nothing of the answer was delivered, so the client can retry at once through
        // another entry process.
        throw request_failure{failure_kind::unavailable, failure.outcome(),
                              "this entry process stops", std::chrono::milliseconds{0}};
    }
    answer.reply.fields.set(verdict_field, base::to_string(answer.outcome));
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
