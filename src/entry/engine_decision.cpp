#include "internal/engine_decision.h"

#include "cicadaport/entry/errors.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace cicadaport::entry {
namespace {

using base::verdict;
using clock = std::chrono::steady_clock;
using routing::seconds;
using settings::placement_policy;

constexpr std::chrono::milliseconds shortest_retry{500};
constexpr std::chrono::milliseconds longest_retry{5'000};
constexpr double whole_percent = 100;

// The candidates that the filter lets through.
std::vector<routing::candidate> allowed_of(std::span<const routing::candidate> all,
                                           const endpoint_filter& filter)
{
    std::vector<routing::candidate> out;
    for (const auto& each : all) {
        if (filter.allows(each.endpoint->name)) {
            out.push_back(each);
        }
    }
    return out;
}

routing::placement_choice choose_by(placement_policy policy,
                                    const routing::placement_question& question, worker& own)
{
    switch (policy) {
    case placement_policy::predicted:
        return routing::predicted_completion{}.choose(question, own.random);
    case placement_policy::two_random_choices:
        return routing::two_random_choices{}.choose(question, own.random);
    case placement_policy::random:
        return routing::random_choice{}.choose(question, own.random);
    case placement_policy::round_robin:
        return own.turn.choose(question, own.random);
    case placement_policy::least_outstanding:
        return routing::least_outstanding{}.choose(question, own.random);
    case placement_policy::cache_only:
        return routing::cache_only{}.choose(question, own.random);
    }
    return {};
}

// Chooses among all, and among those allowed only if the first choice is not:
// the filter is costly and mostly lets everything through.
routing::placement_choice choose_allowed(placement_policy policy,
                                         routing::placement_question question,
                                         const endpoint_filter& filter, worker& own,
                                         std::vector<routing::candidate>& allowed)
{
    auto choice = choose_by(policy, question, own);
    if (choice.chosen == nullptr || filter.allows(choice.chosen->endpoint->name)) {
        return choice;
    }
    allowed = allowed_of(question.among, filter);
    question.among = allowed;
    return choose_by(policy, question, own);
}

[[noreturn]] void refuse(admission::refusal_reason reason, std::chrono::milliseconds retry,
                         const engine_request& wanted, const routing::predicted_times& predicted)
{
    spdlog::info("request_refused id={} account={} reason=\"{}\" predicted_first_token_s={:.3f} "
                 "predicted_completion_s={:.3f}",
                 wanted.context.id, wanted.context.account, admission::to_string(reason),
                 predicted.first_token.count(), predicted.completion.count());
    throw request_failure{failure_kind::overloaded, verdict::not_run,
                          std::string{admission::to_string(reason)}, retry};
}

// The deadline of the most urgent priority.
seconds urgent_deadline(const configuration::document& document)
{
    const auto& all = document.priorities;
    const auto most = std::min_element(
        all.begin(), all.end(), [](const auto& a, const auto& b) { return a.rank < b.rank; });
    return most == all.end() ? seconds{0} : seconds{most->deadline};
}

// The time of one engine that a request takes in a full batch.
seconds work_of(const routing::engine_speed& speed, const routing::request_needs& needs)
{
    const auto step_part = speed.step_base / speed.most_running;
    return needs.prompt_tokens * speed.per_prefill_token +
           needs.output_tokens * (speed.per_decode_token + step_part);
}

void admit(const routing::view& view, const engine_request& wanted,
           const routing::placement_question& question, const routing::placement_choice& choice,
           worker& own, clock::time_point now)
{
    const auto* priority = view.document().find_priority(wanted.context.priority);
    admission::admission_question asked;
    asked.rank = priority == nullptr ? 0 : priority->rank;
    asked.least_share = priority == nullptr ? 0 : priority->least_share_percent / whole_percent;
    asked.deadline = wanted.context.deadline - now;
    asked.urgent_deadline = urgent_deadline(view.document());
    asked.predicted = choice.predicted;
    auto urgent = question;
    urgent.needs.ahead_part = own.decisions->part_ahead(0);
    asked.urgent_first_token = routing::predict_at(urgent, *choice.chosen).first_token;
    asked.work = work_of(question.speed, question.needs);
    if (const auto reason = own.admission.decide(asked, now)) {
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
            choice.predicted.completion - asked.deadline);
        const auto base = std::clamp(late, shortest_retry, longest_retry);
        refuse(*reason, admission::spread_retry(base, own.random), wanted, choice.predicted);
    }
}

// Counts the request against its account; returns whether it was counted.
bool count_account(const routing::view& view, const engine_request& wanted,
                   const routing::request_needs& needs, worker& own, clock::time_point now)
{
    const auto* account = view.find_account(wanted.context.account);
    if (account == nullptr) {
        return false;
    }
    const auto processes = own.decisions->entry_processes.load(std::memory_order_relaxed);
    const auto refused =
        own.decisions->limits.start(*account, needs.prompt_tokens + needs.output_tokens,
                                    admission::process_share(processes), now);
    if (refused) {
        const auto base = std::max(refused->retry_after, shortest_retry);
        refuse(refused->reason, admission::spread_retry(base, own.random), wanted, {});
    }
    return true;
}

} // namespace

chosen_endpoint decide_engine(const routing::view& view, const engine_request& wanted,
                              const endpoint_filter& filter, worker& own)
{
    const std::string model{wanted.model};
    auto& state = *own.decisions;
    const auto now = clock::now();
    const auto prompt = routing::summarize_prompt(wanted.body);
    engine_expectation expected;
    expected.account = wanted.context.account;
    expected.output_class = {wanted.context.priority, model};
    const auto output = state.outputs.expect(
        expected.output_class, view.document().find_model(model)->expected_output_tokens,
        prompt.most_output_tokens);
    const base::rcu_reader guard;
    routing::placement_question question;
    question.among = view.candidates(model);
    question.loads = &state.loads.read(guard);
    const auto* priority = view.document().find_priority(wanted.context.priority);
    expected.rank = priority == nullptr ? 0 : priority->rank;
    question.needs = {static_cast<double>(prompt.tokens), output.tokens,
                      state.part_ahead(expected.rank)};
    question.prefix = state.prefixes.find(prompt.blocks);
    std::vector<routing::candidate> allowed;
    const auto choice = choose_allowed(state.policy, question, filter, own, allowed);
    const std::uint32_t cached =
        choice.chosen == nullptr ? 0 : question.prefix.tokens_at(choice.chosen->load->index);
    const auto to_prefill = prompt.tokens - std::min(cached, prompt.tokens);
    if (filter.is_first_try()) {
        state.offered.note(model, to_prefill, output.tokens);
    }
    if (choice.chosen == nullptr) {
        throw request_failure{failure_kind::no_endpoint, verdict::not_run,
                              "no engine serves '" + model + "' now",
                              spread_retry_time(own.random)};
    }
    if (filter.is_first_try()) {
        if (state.policy == placement_policy::predicted) {
            admit(view, wanted, question, choice, own, now);
        }
        expected.counted = count_account(view, wanted, question.needs, own, now);
    }
    expected.prefill_tokens = to_prefill;
    expected.output_tokens = static_cast<std::uint64_t>(output.tokens);
    expected.predicted = choice.predicted;
    expected.decided_at = now;
    expected.work = std::chrono::duration_cast<std::chrono::microseconds>(
        work_of(question.speed, question.needs));
    const auto rank = expected.rank;
    return {choice.chosen->endpoint->name, choice.chosen->endpoint->address,
            in_flight_charge{choice.chosen->load, state, std::move(expected)}, rank};
}

void add_engine_fields(http::field_list& fields, const chosen_endpoint& chosen)
{
    if (chosen.rank > 0) {
        fields.add("X-Priority", std::to_string(chosen.rank));
    }
}

} // namespace cicadaport::entry
