#include "cicadaport/base/safeguards.h"
#include "cicadaport/claims/claim_store.h"
#include "cicadaport/entry/engine_choice.h"
#include "cicadaport/entry/paths.h"
#include "cicadaport/entry/request_end.h"
#include "cicadaport/shared_log/log_client.h"
#include "internal/tries.h"

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::safeguard;
using base::safeguards;
using base::verdict;

namespace {

// The configuration of a call's route, copied out of the view.
struct call_rules {
    std::string service;
    bool idempotent = false;
    configuration::key_use key = configuration::key_use::none;
    std::chrono::milliseconds timeout{0};
};

constexpr std::string_view key_field = "Idempotency-Key";
constexpr std::string_view replayed_field = "Cicadaport-Replayed";
constexpr std::size_t max_key_size = 255;
// A second caller waits for the first call's answer for the call's timeout plus this.
constexpr std::chrono::milliseconds answer_slack{1'000};

call_rules find_rules(path_resources& resources, const http::request& message,
                      const std::string& path)
{
    const base::rcu_reader guard;
    const auto* found = resources.view.read(guard).find_route(message.method, path);
    if (found == nullptr) {
        throw request_failure{failure_kind::unknown_route, verdict::not_run,
                              "no route " + message.method + " " + path};
    }
    return {found->service->name, found->route->idempotent, found->route->key,
            found->route->timeout};
}

exchange_plan make_plan(path_resources& resources, const caller_exchange& exchange,
                        const call_rules& rules)
{
    const auto& message = exchange.message;
    exchange_plan plan;
    plan.next = [&resources, service = rules.service](
                    attempt_sequence& tries) -> asio::awaitable<chosen_endpoint> {
        const auto choose = [&](const endpoint_filter& filter) {
            const base::rcu_reader guard;
            return choose_replica(resources.view.read(guard), service, filter,
                                  resources.own.random);
        };
        co_return tries.next(choose);
    };
    plan.message = {message.method, message.target, forwarded_fields(message, exchange.context.id),
                    message.body};
    plan.options.response_timeout = rules.timeout;
    plan.options.fresh_connection =
        !rules.idempotent && safeguards::is_on(safeguard::fresh_connection);
    plan.idempotent = rules.idempotent;
    return plan;
}

request_failure make_failure(failure_kind kind, verdict outcome, const std::string& reason)
{
    return request_failure{kind, outcome, reason};
}

// Returns the key under which the call must be claimed, or nothing if it needs no claim.
std::optional<std::string> find_claim_key(const http::request& message, const call_rules& rules)
{
    const auto key = message.fields.find(key_field);
    if (rules.key == configuration::key_use::none || rules.idempotent) {
        return std::nullopt;
    }
    if (!key || key->empty()) {
        if (rules.key == configuration::key_use::required) {
            throw make_failure(failure_kind::key_required, verdict::not_run,
                               "this route needs an Idempotency-Key");
        }
        return std::nullopt;
    }
    if (key->size() > max_key_size) {
        throw make_failure(failure_kind::invalid_request, verdict::not_run,
                           "the Idempotency-Key is too long");
    }
    const auto made = claims::creation_time(*key);
    const auto retention = claims::claim_settings{}.retention;
    const bool too_old = made && std::chrono::system_clock::now() - *made > retention;
    if (too_old && safeguards::is_on(safeguard::key_age)) {
        throw make_failure(failure_kind::key_expired, verdict::may_have_run,
                           "the Idempotency-Key is older than keys are remembered");
    }
    return std::string{*key};
}

claims::claim_request make_claim_request(const caller_exchange& exchange, const std::string& key)
{
    const auto& message = exchange.message;
    return {exchange.context.account, key,
            message.method + " " + message.target + "\n" + message.body};
}

asio::awaitable<claims::claim_result> acquire(path_resources& resources,
                                              const claims::claim_request& wanted,
                                              std::chrono::milliseconds timeout)
{
    if (resources.claims == nullptr) {
        throw request_failure{failure_kind::claims_unavailable, verdict::not_run,
                              "this process has no log to keep claims on",
                              random_retry_after(resources.own.random)};
    }
    const auto wait_until = std::chrono::steady_clock::now() + timeout + answer_slack;
    try {
        co_return co_await resources.claims->acquire(wanted, wait_until);
    }
    catch (const shared_log::log_error& error) {
        if (!safeguards::is_on(safeguard::confirmed_claim)) {
            claims::claim_result unconfirmed;
            unconfirmed.outcome = claims::claim_outcome::won;
            unconfirmed.start_deadline = wait_until;
            co_return unconfirmed;
        }
        // Nothing was sent to an endpoint, whether or not the claim was recorded.
        throw request_failure{failure_kind::claims_unavailable, verdict::not_run, error.what(),
                              random_retry_after(resources.own.random)};
    }
}

// Runs a call whose claim was won, and records its result.
asio::awaitable<endpoint_answer>
run_claimed(path_resources& resources, const caller_exchange& exchange, const exchange_plan& plan,
            const claims::claim_request& wanted, const claims::claim_result& claim)
{
    std::optional<request_failure> failure;
    endpoint_answer answer;
    try {
        if (std::chrono::steady_clock::now() >= claim.start_deadline &&
            safeguards::is_on(safeguard::begin_time)) {
            throw make_failure(failure_kind::unavailable, verdict::not_run,
                               "this process was stopped");
        }
        answer = co_await exchange_with_retries(resources, exchange.context, plan);
    }
    catch (const request_failure& error) {
        failure = error;
    }
    const bool not_run = (failure ? failure->outcome() : answer.outcome) == verdict::not_run;
    if (not_run) {
        resources.claims->release(wanted, claim.claim_id);
    }
    else if (failure) {
        claims::claim_answer unknown;
        unknown.unknown = true;
        resources.claims->end(wanted, claim.claim_id, std::move(unknown));
    }
    else {
        const auto& reply = answer.reply;
        const std::string type{reply.fields.find("Content-Type").value_or("")};
        claims::claim_answer stored{reply.status, type, reply.body};
        resources.claims->end(wanted, claim.claim_id, std::move(stored));
    }
    if (failure) {
        throw request_failure{*failure};
    }
    co_return answer;
}

// Returns the stored answer of an earlier call with the same key.
endpoint_answer replay(const claims::claim_result& claim)
{
    if (claim.answer.omitted) {
        throw make_failure(failure_kind::key_in_use, verdict::ran,
                           "the request ran; its answer was too long to be kept");
    }
    endpoint_answer out;
    out.endpoint = "claims";
    out.reply = {claim.answer.status, {}, claim.answer.body};
    out.reply.fields.add("Content-Type", claim.answer.content_type);
    out.reply.fields.add(replayed_field, "true");
    return out;
}

asio::awaitable<endpoint_answer> claimed_call(path_resources& resources,
                                              const caller_exchange& exchange,
                                              const call_rules& rules, const exchange_plan& plan,
                                              const std::string& key)
{
    const auto wanted = make_claim_request(exchange, key);
    const auto claim = co_await acquire(resources, wanted, rules.timeout);
    switch (claim.outcome) {
    case claims::claim_outcome::won:
        co_return co_await run_claimed(resources, exchange, plan, wanted, claim);
    case claims::claim_outcome::ended:
        if (!claim.answer.unknown) {
            co_return replay(claim);
        }
        break;
    case claims::claim_outcome::other_request:
        throw make_failure(failure_kind::key_reused, verdict::not_run,
                           "the Idempotency-Key was used for another request");
    case claims::claim_outcome::held:
        break;
    }
    throw request_failure{failure_kind::key_in_use, verdict::may_have_run,
                          "a request with this key was begun; its answer is not known",
                          random_retry_after(resources.own.random)};
}

} // namespace

asio::awaitable<void> service_call(path_resources resources, caller_exchange exchange,
                                   const http::target_view& target)
{
    const auto rules = find_rules(resources, exchange.message, target.path());
    const auto plan = make_plan(resources, exchange, rules);
    const auto key = find_claim_key(exchange.message, rules);
    endpoint_answer answer;
    if (key && safeguards::is_on(safeguard::claim)) {
        answer = co_await claimed_call(resources, exchange, rules, plan, *key);
    }
    else {
        answer = co_await exchange_with_retries(resources, exchange.context, plan);
    }
    // These fields replace fields of the same name from the endpoint.
    answer.reply.fields.set(verdict_field, base::to_string(answer.outcome));
    answer.reply.fields.set(request_id_field, exchange.context.id);
    co_await exchange.writer.send(std::move(answer.reply));
    report_answered(resources.counters, exchange.context, answer.endpoint);
}

} // namespace cicadaport::entry
