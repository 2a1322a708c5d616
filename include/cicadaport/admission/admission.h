// Admission control: admits a request or rejects it at once.
//
// The rules read no clock and make no predictions: placement provides the predicted
// times, and the present time is passed in.
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

// The number of priority ranks that a configuration may use.
constexpr std::size_t max_ranks = 16;

// The reason for a rejection.
enum class rejection_reason {
    // The request is predicted to miss its deadline.
    deadline,
    // The request would make more urgent requests miss their deadlines.
    reserved_for_urgent,
    request_rate,
    token_rate,
    concurrency,
};

std::string_view to_string(rejection_reason reason) noexcept;

// A rejection and the time after which the client may retry.
struct rejection {
    rejection_reason reason = rejection_reason::deadline;
    std::chrono::milliseconds retry_after{0};
};

// Returns a uniformly random time in [base, 2 * base], so that rejected clients do
// not retry at the same time.
std::chrono::milliseconds add_retry_jitter(std::chrono::milliseconds base, std::mt19937_64& random);

// The input of an admission rule for one request.
struct admission_query {
    // The priority rank; 0 is the most urgent.
    std::uint32_t rank = 0;
    // The minimum share of the admitted work, from 0 to 1. Below it the rank is not
    // rejected in favour of more urgent ranks.
    double min_share = 0;
    // Time from now.
    seconds deadline{0};
    // The deadline of the most urgent rank with recent requests.
    seconds urgent_deadline{0};
    routing::predicted_times predicted;
    // The predicted time to first token of a request of the most urgent rank at the
    // chosen endpoint.
    seconds urgent_first_token{0};
    // The engine time of this request alone.
    seconds work{0};
};

// A rule that admits or rejects requests.
template <typename Rule>
concept admission_rule = requires(Rule rule, const admission_query& query, clock::time_point now)
{
    requires std::same_as<decltype(rule.decide(query, now)), std::optional<rejection_reason>>;
};

// Admits every request; the baseline.
struct admit_all {
    std::optional<rejection_reason> decide(const admission_query&, clock::time_point) const
    {
        return std::nullopt;
    }
};

// Rejects requests that would miss their deadline, and sheds the less urgent ranks
// first.
//
// A rank is admitted while the predicted time to first token of the most urgent rank
// stays within a fraction of that rank's deadline. The fraction is smaller for less
// urgent ranks. Above it a rank is admitted only while it is below its minimum share
// of the recently admitted work, so that no rank starves. Queued work that engines
// schedule after urgent requests does not delay them and causes no rejection.
//
// Not thread safe: one object per event loop.
class deadline_admission {
public:
    // Returns the reason for a rejection, or nothing for an admitted request, whose
    // work is counted for its rank.
    std::optional<rejection_reason> decide(const admission_query& query, clock::time_point now);

    // Returns the rank's share of the recently admitted work, from 0 to 1.
    double recent_share(std::uint32_t rank) const noexcept;

    // The fraction of the deadline within which the completion must be predicted.
    static constexpr double usable_deadline_fraction = 0.85;
    // Rank 1 is admitted while the urgent time to first token is within this fraction
    // of the urgent deadline. Each further rank multiplies the fraction once more.
    static constexpr double headroom_ratio_per_rank = 0.5;
    // The weight of admitted work halves in this time.
    static constexpr seconds share_half_life{5};

private:
    void decay(clock::time_point now);

    std::array<double, max_ranks> m_admitted{};
    clock::time_point m_decayed_at{};
};

static_assert(admission_rule<admit_all>);
static_assert(admission_rule<deadline_admission>);

} // namespace cicadaport::admission
