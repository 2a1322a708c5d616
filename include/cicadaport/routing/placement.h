// Placement: the choice of an endpoint for a request.
//
// Rules read only their arguments, a state of one moment, and the thread's
// random source. They take no lock and allocate nothing.
#pragma once

#include "cicadaport/routing/prediction.h"
#include "cicadaport/routing/prefix_index.h"
#include "cicadaport/routing/view.h"

#include <array>
#include <concepts>
#include <optional>
#include <random>
#include <span>

namespace cicadaport::routing {

// The random source of one thread.
using random_source = std::mt19937_64;

// The input of a rule. It must not outlive the read-copy-update read section in
// which the candidates and the loads were read.
struct placement_query {
    std::span<const candidate> candidates;
    const load_snapshot* loads = nullptr;
    request_needs needs;
    prefix_match prefix;
    engine_speed speed;
    // Whether a prefill engine has already prefilled the prompt, so that the
    // chosen endpoint gets its KV cache by a KV transfer.
    bool prefilled = false;
};

// The endpoint that a rule chose and its predicted times.
struct placement_choice {
    const candidate* chosen = nullptr;
    predicted_times predicted;
    // The engine that prefills the prompt and transfers its KV cache to `chosen`;
    // null if `chosen` serves the whole request.
    const candidate* prefill = nullptr;
    // The predicted time from now until the prefill there is complete.
    seconds prefilled_after{0};
};

// A rule that chooses one of the candidates, or none.
template <typename Rule>
concept placement_rule = requires(Rule rule, const placement_query& query, random_source& random)
{
    requires std::same_as<decltype(rule.choose(query, random)), placement_choice>;
};

// Returns the predicted times of a request at one candidate, multiplied by the
// correction that was learned for it.
predicted_times predict_at(const placement_query& query, const candidate& at) noexcept;

// Returns the predicted time from now until a prefill engine completes the prefill.
seconds predict_prefill_at(const placement_query& query, const candidate& at) noexcept;

// Returns whether the candidate is a prefill engine that accepts work.
bool serves_prefills(const placement_query& query, const candidate& at) noexcept;

// Returns whether the candidate accepts work and can serve whole requests.
bool serves_whole_requests(const placement_query& query, const candidate& at) noexcept;

// Chooses the earliest predicted completion from a random sample of endpoints and
// the holders of the longest prompt prefixes.
//
// A sample is used because processes with the same old load snapshot would
// otherwise all choose the same best endpoint. Prefix holders compete by predicted
// time, so that they lose as soon as their queue costs more than the cache saves.
class predicted_completion {
public:
    placement_choice choose(const placement_query& query, random_source& random) const;

    static constexpr std::size_t sample_size = 4;
    static constexpr std::size_t max_holders = 4;
};

// Chooses one or two stages, whichever has the earlier predicted completion.
//
// In one stage the endpoint that `predicted_completion` chooses serves the whole
// request. In two stages a prefill engine prefills the prompt and transfers its KV
// cache to the endpoint that decodes, which works off its queue in the meantime. A
// request stays in one stage if few prompt tokens are missing in the endpoint's cache.
class two_stage_completion {
public:
    placement_choice choose(const placement_query& query, random_source& random) const;

    // Fewer uncached prompt tokens do not justify a separate exchange.
    static constexpr double min_prefill_tokens = 256;
    // The number of prefill engines compared in addition to prefix holders.
    static constexpr std::size_t prefill_sample_size = 2;
};

// Chooses the endpoint with fewer requests out of two random ones.
class two_random_choices {
public:
    placement_choice choose(const placement_query& query, random_source& random) const;

    // For endpoints without reports, such as replicas of plain services.
    const candidate* choose(std::span<const candidate> candidates, random_source& random) const;
};

// Chooses a random endpoint.
class random_choice {
public:
    placement_choice choose(const placement_query& query, random_source& random) const;
};

// Chooses the endpoints in turn. Not thread safe: one object per thread.
class round_robin {
public:
    placement_choice choose(const placement_query& query, random_source& random);

private:
    std::size_t m_next = 0;
};

// Chooses the endpoint with the fewest requests of all candidates.
class least_outstanding {
public:
    placement_choice choose(const placement_query& query, random_source& random) const;
};

// Chooses the holder of the longest prompt prefix regardless of its queue, or a
// random endpoint if there is no holder.
class cache_only {
public:
    placement_choice choose(const placement_query& query, random_source& random) const;
};

static_assert(placement_rule<predicted_completion>);
static_assert(placement_rule<two_stage_completion>);
static_assert(placement_rule<two_random_choices>);
static_assert(placement_rule<random_choice>);
static_assert(placement_rule<round_robin>);
static_assert(placement_rule<least_outstanding>);
static_assert(placement_rule<cache_only>);

} // namespace cicadaport::routing
