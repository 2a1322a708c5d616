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

constexpr std::chrono::milliseconds min_retry_after{500};
constexpr std::chrono::milliseconds max_retry_after{5'000};
constexpr double whole_percent = 100;

// Returns the candidates that the filter allows.
std::vector<routing::candidate> allowed_candidates(std::span<const routing::candidate> all,
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
                                    const routing::placement_query& question, worker& own)
{
    switch (policy) {
    case placement_policy::predicted:
        return routing::two_stage_completion{}.choose(question, own.random);
    case placement_policy::predicted_one_stage:
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

// Returns whether the filter allows the next endpoint of the request.
bool is_allowed(const routing::placement_choice& choice, const endpoint_filter& filter)
{
    const auto* next = choice.prefill != nullptr ? choice.prefill : choice.chosen;
    return next == nullptr || filter.allows(next->endpoint->name);
}

// Chooses among all candidates first and filters them only if the choice is not
// allowed: the filter is expensive and usually allows every candidate.
routing::placement_choice choose_allowed(placement_policy policy, routing::placement_query question,
                                         const endpoint_filter& filter, worker& own,
                                         std::vector<routing::candidate>& allowed)
{
    auto choice = choose_by(policy, question, own);
    if (is_allowed(choice, filter)) {
        return choice;
    }
    allowed = allowed_candidates(question.candidates, filter);
    question.candidates = allowed;
    return choose_by(policy, question, own);
}

[[noreturn]] void reject(admission::rejection_reason reason, std::chrono::milliseconds retry,
                         const engine_request& wanted, const routing::predicted_times& predicted)
{
    spdlog::info("request_refused id={} account={} reason=\"{}\" predicted_first_token_s={:.3f} "
                 "predicted_completion_s={:.3f}",
                 wanted.context.id, wanted.context.account, admission::to_string(reason),
                 predicted.first_token.count(), predicted.completion.count());
    throw request_failure{failure_kind::overloaded, verdict::not_run,
                          std::string{admission::to_string(reason)}, retry};
}

// Returns the deadline of the most urgent priority.
seconds urgent_deadline(const configuration::document& document)
{
    const auto& all = document.priorities;
    const auto most = std::min_element(
        all.begin(), all.end(), [](const auto& a, const auto& b) { return a.rank < b.rank; });
    return most == all.end() ? seconds{0} : seconds{most->deadline};
}

// Returns the engine time of a request in a full batch.
seconds work_of(const routing::engine_speed& speed, const routing::request_needs& needs)
{
    const auto step_share = speed.step_base / speed.max_running;
    return needs.prompt_tokens * speed.per_prefill_token +
           needs.output_tokens * (speed.per_decode_token + step_share);
}

void admit(const routing::view& view, const engine_request& wanted,
           const routing::placement_query& question, const routing::placement_choice& choice,
           worker& own, clock::time_point now)
{
    const auto* priority = view.document().find_priority(wanted.context.priority);
    admission::admission_query asked;
    asked.rank = priority == nullptr ? 0 : priority->rank;
    asked.min_share = priority == nullptr ? 0 : priority->least_share_percent / whole_percent;
    asked.deadline = wanted.context.deadline - now;
    asked.urgent_deadline = urgent_deadline(view.document());
    asked.predicted = choice.predicted;
    auto urgent = question;
    urgent.needs.ahead_fraction = own.decisions->fraction_ahead(0);
    asked.urgent_first_token = routing::predict_at(urgent, *choice.chosen).first_token;
    asked.work = work_of(question.speed, question.needs);
    if (const auto reason = own.admission.decide(asked, now)) {
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
            choice.predicted.completion - asked.deadline);
        const auto base = std::clamp(late, min_retry_after, max_retry_after);
        reject(*reason, admission::add_retry_jitter(base, own.random), wanted, choice.predicted);
    }
}

// Counts the request against its account's limits, or throws `request_failure` if one
// is reached. Returns whether it was counted.
bool charge_account(const routing::view& view, const engine_request& wanted,
                    const routing::request_needs& needs, worker& own, clock::time_point now)
{
    const auto* account = view.find_account(wanted.context.account);
    if (account == nullptr) {
        return false;
    }
    const auto processes = own.decisions->entry_processes.load(std::memory_order_relaxed);
    const auto rejection =
        own.decisions->limits.try_acquire(*account, needs.prompt_tokens + needs.output_tokens,
                                          admission::process_share(processes), now);
    if (rejection) {
        const auto base = std::max(rejection->retry_after, min_retry_after);
        reject(rejection->reason, admission::add_retry_jitter(base, own.random), wanted, {});
    }
    return true;
}

// Returns the policy for this request. Placement is in one stage if the request may
// not be split or its prefill is done.
placement_policy policy_for(const engine_request& wanted, placement_policy policy)
{
    const bool whole = !wanted.may_prefill || wanted.exported != nullptr;
    return whole && policy == placement_policy::predicted ? placement_policy::predicted_one_stage
                                                          : policy;
}

// Returns the engine that still holds the exported KV cache of `wanted`, or null.
const routing::candidate* find_exporter(const routing::placement_query& question,
                                        const engine_request& wanted)
{
    if (wanted.exported == nullptr) {
        return nullptr;
    }
    const auto found =
        std::find_if(question.candidates.begin(), question.candidates.end(), [&](const auto& each) {
            return each.endpoint->name == wanted.exported->engine;
        });
    const bool is_available =
        found != question.candidates.end() && routing::serves_prefills(question, *found);
    return is_available ? &*found : nullptr;
}

// Returns the number of prompt tokens that are not in the engine's cache.
std::uint64_t uncached_tokens(const routing::placement_query& question,
                              const routing::candidate& at)
{
    const auto tokens = static_cast<std::uint64_t>(question.needs.prompt_tokens);
    const std::uint64_t cached = question.prefix.tokens_at(at.load->index);
    return tokens - std::min(cached, tokens);
}

// Returns the prefill engine of a request that `choice` splits into two stages.
chosen_endpoint prefill_endpoint(const routing::placement_query& question,
                                 const routing::placement_choice& choice, decision_state& state,
                                 engine_expectation expected)
{
    const auto& at = *choice.prefill;
    expected.prefill_tokens = uncached_tokens(question, at);
    expected.output_tokens = 0;
    expected.predicted = {choice.prefilled_after, choice.prefilled_after};
    const auto rank = expected.rank;
    return {at.endpoint->name,
            at.endpoint->address,
            in_flight_charge{at.load, state, std::move(expected)},
            rank,
            true,
            {}};
}

// Records the work that the request asks for, whether or not it is admitted.
void record_offered(const routing::placement_query& question,
                    const routing::placement_choice& choice, const std::string& model,
                    decision_state& state)
{
    const auto* prefill_engine = choice.prefill != nullptr ? choice.prefill : choice.chosen;
    const auto uncached = prefill_engine == nullptr
                              ? question.needs.prompt_tokens
                              : static_cast<double>(uncached_tokens(question, *prefill_engine));
    state.offered.note(model, uncached, question.needs.output_tokens);
}

// Returns the engine that does the decode.
chosen_endpoint decode_endpoint(const routing::placement_query& question,
                                const routing::placement_choice& choice, decision_state& state,
                                engine_expectation expected, std::string kv_source)
{
    const auto& at = *choice.chosen;
    expected.prefill_tokens = question.prefilled ? 0 : uncached_tokens(question, at);
    expected.output_tokens = static_cast<std::uint64_t>(question.needs.output_tokens);
    expected.predicted = choice.predicted;
    const auto rank = expected.rank;
    return {at.endpoint->name,
            at.endpoint->address,
            in_flight_charge{at.load, state, std::move(expected)},
            rank,
            false,
            std::move(kv_source)};
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
    const auto output = state.outputs.estimate_output(
        expected.output_class, view.document().find_model(model)->expected_output_tokens,
        prompt.max_output_tokens);
    const base::rcu_reader guard;
    routing::placement_query question;
    question.candidates = view.candidates(model);
    question.loads = &state.loads.read(guard);
    const auto* priority = view.document().find_priority(wanted.context.priority);
    expected.rank = priority == nullptr ? 0 : priority->rank;
    question.needs = {static_cast<double>(prompt.tokens), output.tokens,
                      state.fraction_ahead(expected.rank)};
    question.prefix = state.prefixes.find(prompt.blocks);
    const auto* exporter = find_exporter(question, wanted);
    question.prefilled = exporter != nullptr;
    std::vector<routing::candidate> allowed;
    const auto choice =
        choose_allowed(policy_for(wanted, state.policy), question, filter, own, allowed);
    if (filter.is_first_attempt() && wanted.exported == nullptr) {
        record_offered(question, choice, model, state);
    }
    if (choice.chosen == nullptr) {
        throw request_failure{failure_kind::no_endpoint, verdict::not_run,
                              "no engine serves '" + model + "' now",
                              random_retry_after(own.random)};
    }
    if (filter.is_first_attempt() && wanted.exported == nullptr) {
        if (state.policy == placement_policy::predicted ||
            state.policy == placement_policy::predicted_one_stage) {
            admit(view, wanted, question, choice, own, now);
        }
        expected.counted = charge_account(view, wanted, question.needs, own, now);
    }
    expected.decided_at = now;
    expected.work = std::chrono::duration_cast<std::chrono::microseconds>(
        work_of(question.speed, question.needs));
    if (choice.prefill != nullptr) {
        return prefill_endpoint(question, choice, state, std::move(expected));
    }
    auto kv_source = exporter == nullptr
                         ? std::string{}
                         : http::to_string(exporter->endpoint->address) + "/" + wanted.exported->kv;
    return decode_endpoint(question, choice, state, std::move(expected), std::move(kv_source));
}

void add_engine_fields(http::field_list& fields, const chosen_endpoint& chosen)
{
    if (chosen.rank > 0) {
        fields.add("X-Priority", std::to_string(chosen.rank));
    }
    if (!chosen.kv_source.empty()) {
        fields.add("X-Kv-Source", chosen.kv_source);
    }
}

} // namespace cicadaport::entry
