#include "internal/tries.h"

#include "cicadaport/base/safeguards.h"

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::safeguard;
using base::safeguards;
using base::verdict;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t max_attempts = 3;
constexpr unsigned status_bad_request = 400;

// The result of an attempt without a final response.
struct failed_attempt {
    failed_attempt() = default;
    verdict outcome = verdict::not_run;
    std::string reason;
};

} // namespace

attempt_sequence::attempt_sequence(worker& own, const request_context& context, bool idempotent)
    : m_own{own}, m_context{context}, m_idempotent{idempotent}
{
    m_own.retries.record_first_attempt();
}

chosen_endpoint
attempt_sequence::next(const std::function<chosen_endpoint(const endpoint_filter&)>& choose)
{
    try {
        return choose_preferring_untried(choose);
    }
    catch (const request_failure& failure) {
        // An earlier attempt may have run even if this one can't start.
        throw request_failure{failure.kind(), m_worst_verdict, failure.what(),
                              failure.retry_after()};
    }
}

chosen_endpoint attempt_sequence::choose_preferring_untried(
    const std::function<chosen_endpoint(const endpoint_filter&)>& choose)
{
    const auto now = clock::now();
    if (!m_tried.empty()) {
        try {
            return choose(endpoint_filter{m_tried, m_own.breakers, now});
        }
        catch (const request_failure&) {
            // Retrying at the same endpoint helps only if the connection broke; an
            // endpoint that rejected the request would reject it again.
            if (m_last_verdict == verdict::not_run) {
                throw;
            }
            m_tried.clear();
        }
    }
    return choose(endpoint_filter{{}, m_own.breakers, now});
}

void attempt_sequence::record_success(const std::string& endpoint)
{
    m_own.breakers.get(endpoint).record_success();
}

void attempt_sequence::record_failure(const std::string& endpoint, verdict outcome,
                                      const std::string& reason)
{
    const auto now = clock::now();
    m_own.breakers.get(endpoint).record_failure(now);
    m_last_verdict = outcome;
    m_worst_verdict = std::max(m_worst_verdict, outcome);
    m_tried.push_back(endpoint);
    ++m_failures;
    const bool allowed = base::may_retry(outcome, m_idempotent) && now < m_context.deadline &&
                         m_failures < max_attempts;
    const bool unbounded = !safeguards::is_on(safeguard::retry_budget);
    if (!allowed || !(unbounded || m_own.retries.take())) {
        throw request_failure{failure_kind::endpoint_failed, m_worst_verdict, reason,
                              random_retry_after(m_own.random)};
    }
}

bool is_not_started(const http::response& reply)
{
    return reply.fields.find("X-Not-Started") == "true";
}

bool is_final_response(const http::response& reply)
{
    return !is_not_started(reply) || reply.status == status_bad_request;
}

asio::awaitable<endpoint_answer> exchange_with_retries(path_resources& resources,
                                                       const request_context& context,
                                                       const exchange_plan& plan)
{
    attempt_sequence attempts{resources.own, context, plan.idempotent};
    for (;;) {
        const auto endpoint = co_await plan.next(attempts);
        endpoint_answer answer;
        answer.endpoint = endpoint.name;
        auto message = plan.message;
        add_engine_fields(message.fields, endpoint);
        failed_attempt failure;
        bool whole = false;
        try {
            answer.reply =
                co_await resources.own.endpoints.exchange(endpoint.address, message, plan.options);
            whole = is_final_response(answer.reply);
            failure.reason = "the endpoint did not start it";
        }
        catch (const http::exchange_error& error) {
            failure.outcome =
                safeguards::is_on(safeguard::verdict) ? error.outcome() : verdict::not_run;
            failure.reason = error.what();
        }
        if (whole) {
            attempts.record_success(endpoint.name);
            answer.outcome = is_not_started(answer.reply) ? attempts.outcome() : verdict::ran;
            co_return answer;
        }
        if (plan.options.cancel != nullptr && plan.options.cancel->requested()) {
            plan.cancelled(endpoint);
            throw request_failure{failure_kind::caller_gone, failure.outcome, "the caller left"};
        }
        attempts.record_failure(endpoint.name, failure.outcome, failure.reason);
    }
}

} // namespace cicadaport::entry
