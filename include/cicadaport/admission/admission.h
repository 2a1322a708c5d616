// Whether a request is taken at all, decided at once.
//
// Pure: the times were predicted by placement, and now is passed in.
#pragma once

#include "cicadaport/routing/prediction.h"

#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace cicadaport::admission {

using clock = std::chrono::steady_clock;
using routing::seconds;

// The number of ranks that a configuration may use.
constexpr std::size_t most_ranks = 16;

// Why a request is refused.
enum class refusal_reason {
    // It would be late even if it were taken.
    deadline,
    // Taking it would make more urgent requests late.
    reserved_for_urgent,
    request_rate,
    token_rate,
    concurrency,
};

std::string_view to_string(refusal_reason reason) noexcept;

// A refusal and when to come back.
struct refusal {
    refusal_reason reason = refusal_reason::deadline;
    std::chrono::milliseconds retry_after{0};
};

// Spreads come-back times evenly over [base, 2 * base], so that refused
// callers do not return together.
std::chrono::milliseconds spread_retry(std::chrono::milliseconds base, std::mt19937_64& random);

// What admission looks at for one request.
struct admission_question {
    // 0 is the most urgent.
    std::uint32_t rank = 0;
    // Part of the capacity, from 0 to 1, that this rank is never denied in
    // favour of other ranks.
    double least_share = 0;
    // From now.
    seconds deadline{0};
    // The deadline of the most urgent rank that has requests of late.
    seconds urgent_deadline{0};
    routing::predicted_times predicted;
    // The time an engine spends on this request alone.
    seconds work{0};
};

// A rule that admits or refuses.
template <typename Rule>
concept admission_rule = requires(Rule rule, const admission_question& question,
                                  clock::time_point now)
{
    requires std::same_as<decltype(rule.decide(question, now)), std::optional<refusal_reason>>;
};

// Admits everything; the baseline.
struct admit_all {
    std::optional<refusal_reason> decide(const admission_question&, clock::time_point) const
    {
        return std::nullopt;
    }
};

// Refuses what would miss its deadline, and less urgent work first.
//
// A rank may let the engines' queues grow up to a part of the most urgent
// rank's deadline that shrinks with the rank. Beyond it only a rank that has
// had less than its least share of the recent work is admitted, so that none
// starves.
//
// Not thread safe: one object per event loop.
class deadline_admission {
public:
    // Returns why the request is refused, or nothing; an admitted request's
    // work is counted for its rank.
    std::optional<refusal_reason> decide(const admission_question& question, clock::time_point now);

    // Returns the rank's part of the recently admitted work, from 0 to 1.
    double recent_share(std::uint32_t rank) const noexcept;

    // Part of the deadline that a prediction may use up.
    static constexpr double usable_deadline = 0.85;
    // Part of the urgent deadline to which the next rank may fill the queues;
    // each further rank gets this part of what the one before it gets.
    static constexpr double headroom_per_rank = 0.5;
    // Admitted work counts half after this time.
    static constexpr seconds share_half_life{5};

private:
    void age(clock::time_point now);

    std::array<double, most_ranks> m_admitted{};
    clock::time_point m_aged_at{};
};

static_assert(admission_rule<admit_all>);
static_assert(admission_rule<deadline_admission>);

} // namespace cicadaport::admission
