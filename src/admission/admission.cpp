#include "cicadaport/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cicadaport::admission {

std::string_view to_string(rejection_reason reason) noexcept
{
    switch (reason) {
    case rejection_reason::deadline:
        return "the deadline can't be met";
    case rejection_reason::reserved_for_urgent:
        return "the capacity left is reserved for more urgent requests";
    case rejection_reason::request_rate:
        return "the account's request rate is used up";
    case rejection_reason::token_rate:
        return "the account's token rate is used up";
    case rejection_reason::concurrency:
        return "the account has too many requests in flight";
    }
    return "refused";
}

std::chrono::milliseconds add_retry_jitter(std::chrono::milliseconds base, std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> extra{0, base.count()};
    return base + std::chrono::milliseconds{extra(random)};
}

std::optional<rejection_reason> deadline_admission::decide(const admission_query& query,
                                                           clock::time_point now)
{
    decay(now);
    const auto rank = std::min<std::size_t>(query.rank, max_ranks - 1);
    if (query.predicted.completion > usable_deadline_fraction * query.deadline) {
        return rejection_reason::deadline;
    }
    const auto headroom = std::pow(headroom_ratio_per_rank, static_cast<double>(rank));
    const bool delays_urgent =
        rank > 0 && query.urgent_first_token > headroom * query.urgent_deadline;
    const bool below_share = recent_share(query.rank) < query.min_share;
    if (delays_urgent && !below_share) {
        return rejection_reason::reserved_for_urgent;
    }
    m_admitted[rank] += query.work.count();
    return std::nullopt;
}

double deadline_admission::recent_share(std::uint32_t rank) const noexcept
{
    const auto whole = std::accumulate(m_admitted.begin(), m_admitted.end(), 0.0);
    return whole > 0 ? m_admitted[std::min<std::size_t>(rank, max_ranks - 1)] / whole : 0;
}

void deadline_admission::decay(clock::time_point now)
{
    const auto elapsed = std::max(seconds{now - m_decayed_at}, seconds{0});
    m_decayed_at = now;
    const auto decay_factor = std::exp2(-elapsed / share_half_life);
    for (auto& each : m_admitted) {
        each *= decay_factor;
    }
}

} // namespace cicadaport::admission
