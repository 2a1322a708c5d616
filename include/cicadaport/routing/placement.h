// Choosing an endpoint for a request.
//
// Rules are pure: they read a question about one moment and draw from the
// thread's own randomness. They take no lock and allocate nothing.
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

// Source of randomness for one thread.
using random_source = std::mt19937_64;

// Everything that a rule may look at. It must not outlive the section of
// read-copy-update in which the candidates and the loads were read.
struct placement_question {
    std::span<const candidate> among;
    const load_snapshot* loads = nullptr;
    request_needs needs;
    prefix_match prefix;
    engine_speed speed;
    // Whether a prefill engine has read the prompt already and hands its cache
    // to the endpoint that is chosen.
    bool prefilled = false;
};

// The endpoint that a rule chose and what was predicted for it.
struct placement_choice {
    const candidate* chosen = nullptr;
    predicted_times predicted;
    // The engine that reads the prompt first and hands its cache to `chosen`;
    // null if `chosen` does all of the request.
    const candidate* prefill = nullptr;
    // When the prompt is expected to have been read there, from now.
    seconds prefilled_after{0};
};

// A rule that chooses one of several endpoints, or none.
template <typename Rule>
concept placement_rule = requires(Rule rule, const placement_question& question,
                                  random_source& random)
{
    requires std::same_as<decltype(rule.choose(question, random)), placement_choice>;
};

// Returns what is predicted for a request at one candidate, corrected by how
// wrong its predictions have been.
predicted_times predict_at(const placement_question& question, const candidate& at) noexcept;

// Returns when the prompt is predicted to have been read at a prefill engine.
seconds predict_prefill_at(const placement_question& question, const candidate& at) noexcept;

// Returns whether the candidate takes prompts to read for other endpoints.
bool serves_prefills(const placement_question& question, const candidate& at) noexcept;

// Returns whether the candidate takes whole requests.
bool serves_whole_requests(const placement_question& question, const candidate& at) noexcept;

// The best predicted completion among a few endpoints taken at random and
// those that hold the most of the prompt.
//
// A few at random, not the best of all: processes with the same old picture
// would else all choose the same endpoint. Holders of the prefix compete by
// predicted time, so that affinity yields as soon as their queue costs more
// than what the cache saves.
class predicted_completion {
public:
    placement_choice choose(const placement_question& question, random_source& random) const;

    static constexpr std::size_t sampled = 4;
    static constexpr std::size_t most_holders = 4;
};

// The better predicted of one stage and two.
//
// In one stage the endpoint that `predicted_completion` chooses does all of a
// request. In two, a prefill engine reads the prompt and hands its cache to the
// endpoint that makes the answer; what waits there is worked off meanwhile. A
// prompt of which the endpoint has to read little itself stays in one stage.
class two_stage_completion {
public:
    placement_choice choose(const placement_question& question, random_source& random) const;

    // Fewer prompt tokens than this are not worth an exchange of their own.
    static constexpr double least_prefill_tokens = 256;
    // Prefill engines that are compared, beside holders of the prompt.
    static constexpr std::size_t sampled_prefills = 2;
};

// The less loaded of two endpoints taken at random.
class two_random_choices {
public:
    placement_choice choose(const placement_question& question, random_source& random) const;

    // For endpoints that report nothing, such as replicas of plain services.
    const candidate* choose(std::span<const candidate> among, random_source& random) const;
};

// Any endpoint.
class random_choice {
public:
    placement_choice choose(const placement_question& question, random_source& random) const;
};

// One endpoint after the other. One object per thread.
class round_robin {
public:
    placement_choice choose(const placement_question& question, random_source& random);

private:
    std::size_t m_next = 0;
};

// The endpoint with the fewest requests of all.
class least_outstanding {
public:
    placement_choice choose(const placement_question& question, random_source& random) const;
};

// The endpoint that holds the most of the prompt, however long its queue.
class cache_only {
public:
    placement_choice choose(const placement_question& question, random_source& random) const;
};

static_assert(placement_rule<predicted_completion>);
static_assert(placement_rule<two_stage_completion>);
static_assert(placement_rule<two_random_choices>);
static_assert(placement_rule<random_choice>);
static_assert(placement_rule<round_robin>);
static_assert(placement_rule<least_outstanding>);
static_assert(placement_rule<cache_only>);

} // namespace cicadaport::routing
