#include "cicadaport/serving/prefill_model.h"

#include <algorithm>
#include <cmath>

namespace cicadaport::serving {
namespace {

constexpr double thousand = 1e3;
constexpr double million = 1e6;
// Lower bound of the time that a relative error is based on; shorter times are too
// imprecise.
constexpr fractional_milliseconds min_error_base{10};

} // namespace

fractional_milliseconds prefill_model::time(double tokens, double pairs) const noexcept
{
    return m_current.per_prompt + tokens / thousand * m_current.per_thousand_tokens +
           pairs / million * m_current.per_million_pairs;
}

void prefill_model::learn(double tokens, double pairs, fractional_milliseconds observed)
{
    const vector features{1, tokens / thousand, pairs / million};
    const auto predicted = time(tokens, pairs);
    const auto error = expected_error * std::max({predicted, observed, min_error_base});
    const auto errors = std::abs((observed - predicted) / error);
    const auto trust = errors > outlier_threshold ? outlier_threshold / errors : 1;
    const auto weight = trust / (error.count() * error.count());
    for (std::size_t row = 0; row < count; ++row) {
        for (std::size_t column = 0; column < count; ++column) {
            auto& product = m_products.at(row).at(column);
            product = retained_weight * product + weight * features.at(row) * features.at(column);
        }
        auto& result = m_results.at(row);
        result = retained_weight * result + weight * features.at(row) * observed.count();
    }
    solve();
}

void prefill_model::solve()
{
    const vector first{m_first.per_prompt.count(), m_first.per_thousand_tokens.count(),
                       m_first.per_million_pairs.count()};
    const vector spread{uncertainty.per_prompt.count(), uncertainty.per_thousand_tokens.count(),
                        uncertainty.per_million_pairs.count()};
    auto left = m_products;
    auto right = m_results;
    for (std::size_t row = 0; row < count; ++row) {
        const auto certainty = 1 / (spread.at(row) * spread.at(row));
        left.at(row).at(row) += certainty;
        right.at(row) += certainty * first.at(row);
    }
    // The matrix is positive definite, so elimination needs no pivoting.
    for (std::size_t step = 0; step < count; ++step) {
        for (std::size_t row = step + 1; row < count; ++row) {
            const auto factor = left.at(row).at(step) / left.at(step).at(step);
            for (std::size_t column = step; column < count; ++column) {
                left.at(row).at(column) -= factor * left.at(step).at(column);
            }
            right.at(row) -= factor * right.at(step);
        }
    }
    for (auto row = count; row-- > 0;) {
        for (auto column = row + 1; column < count; ++column) {
            right.at(row) -= left.at(row).at(column) * right.at(column);
        }
        right.at(row) /= left.at(row).at(row);
    }
    const auto at_least_zero = [](double value) {
        return fractional_milliseconds{std::max(value, 0.0)};
    };
    m_current = {at_least_zero(right[0]), at_least_zero(right[1]), at_least_zero(right[2])};
}

} // namespace cicadaport::serving
