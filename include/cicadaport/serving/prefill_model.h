// Predicts the prefill time of a prompt from observed prefill times.
//
// Engines of different deployments differ in speed, in the fixed cost of a prompt, and in
// the cost of pairs of tokens. A model with a single factor would take a high fixed cost
// for a low speed, learn it from short prompts, and predict several times the true time
// for long ones: these would be delayed or rejected although they would have been in
// time.
//
// The time is the sum of three terms: one for each prompt, one for each token, and one
// for each pair of a token and a preceding token. The terms are fitted by weighted least
// squares of the relative errors, with newer observations weighted more. Before any
// observation they have the initial values.
//
// Pure. Not thread safe.
#pragma once

#include "cicadaport/serving/engine_queue.h"

#include <array>

namespace cicadaport::serving {

class prefill_model {
public:
    struct terms {
        fractional_milliseconds per_prompt{5};
        fractional_milliseconds per_thousand_tokens{15.6};
        fractional_milliseconds per_million_pairs{0.647};
    };

    // Expected relative error of an observation.
    static constexpr double expected_error = 0.15;
    // Multiple of the expected error above which an observation has less weight.
    static constexpr double outlier_threshold = 2;
    // Factor by which each observation reduces the weight of earlier ones.
    static constexpr double retained_weight = 0.99;
    // Prior standard deviation of the terms around their initial values.
    static constexpr terms uncertainty{fractional_milliseconds{30}, fractional_milliseconds{8},
                                       fractional_milliseconds{0.3}};

    explicit prefill_model(terms first) : m_first{first}, m_current{first} {}

    // Returns the prefill time of `tokens` tokens, with `pairs` pairs of a token and a
    // preceding token, on an engine that does nothing else.
    fractional_milliseconds time(double tokens, double pairs) const noexcept;

    // Adds an observed prefill time of an engine that did nothing else.
    void learn(double tokens, double pairs, fractional_milliseconds observed);

    const terms& current() const noexcept { return m_current; }

private:
    static constexpr std::size_t count = 3;
    using vector = std::array<double, count>;
    using matrix = std::array<vector, count>;

    void solve();

    terms m_first;
    terms m_current;
    // Weighted sums of the normal equations.
    matrix m_products{};
    vector m_results{};
};

} // namespace cicadaport::serving
