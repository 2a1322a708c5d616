#include "cicadaport/entry/engine_choice.h"
#include "cicadaport/entry/paths.h"
#include "cicadaport/entry/request_end.h"
#include "internal/completion_request.h"

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::verdict;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds engine_response_time{60'000};

chosen_endpoint choose(path_resources& resources, const caller_exchange& exchange,
                       const std::string& model)
{
    const endpoint_filter filter{{}, resources.own.breakers, clock::now()};
    const engine_request wanted{exchange.context, model, exchange.message.body};
    const base::rcu_reader guard;
    return choose_engine(resources.view.read(guard), wanted, filter, resources.own);
}

asio::awaitable<void> copy_body(path_resources& resources, const caller_exchange& exchange,
                                http::response_stream& answer, in_flight_charge& charge)
{
    auto last = exchange.context.arrived;
    bool first = true;
    while (auto piece = co_await answer.next()) {
        const auto now = clock::now();
        if (std::exchange(first, false)) {
            resources.counters.record_first_token(exchange.context.priority, now - last);
        }
        else {
            resources.counters.record_token_gap(exchange.context.priority, now - last);
        }
        last = now;
        charge.record_tokens(count_events(*piece), now);
        co_await exchange.writer.write(*piece);
    }
    co_await exchange.writer.end_stream();
}

} // namespace

asio::awaitable<void> pass_through_completion(path_resources resources, caller_exchange exchange)
{
    const auto& message = exchange.message;
    auto engine = choose(resources, exchange, parse_completion(message.body).model);
    http::request forwarded{"POST", message.target, forwarded_fields(message, exchange.context.id),
                            message.body};
    add_engine_fields(forwarded.fields, engine);
    http::exchange_options options;
    options.response_timeout = engine_response_time;
    bool begun = false;
    std::optional<request_failure> failure;
    try {
        auto answer =
            co_await resources.own.endpoints.open(engine.address, std::move(forwarded), options);
        auto head = answer.head();
        head.fields.set(verdict_field, base::to_string(verdict::ran));
        begun = true;
        co_await exchange.writer.begin_stream(std::move(head));
        co_await copy_body(resources, exchange, answer, engine.charge);
        engine.charge.record_response_end();
        report_answered(resources.counters, exchange.context, engine.name);
    }
    catch (const http::exchange_error& error) {
        failure = request_failure{failure_kind::endpoint_failed, error.outcome(), error.what(),
                                  random_retry_after(resources.own.random)};
    }
    if (failure && begun) {
        report_interrupted(resources.counters, exchange.context, engine.name, "cut",
                           failure->what());
    }
    else if (failure) {
        throw request_failure{*failure};
    }
}

} // namespace cicadaport::entry
