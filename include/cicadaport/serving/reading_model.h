// How long an engine takes to read a prompt, learned from what engines have shown.
//
// The load that this answers: deployments whose engines differ in speed, in what
// each prompt costs besides its length, and in what pairs of tokens cost. A model
// that knows only a factor takes what each prompt costs for slowness, learns it
// from short prompts, and predicts long ones at several times their time: they are
// then put behind or refused, though they would have been in time.
//
// The time is a sum of three terms: one for each prompt, one for each token and
// one for each pair of a token and one before it. They are fitted by least squares
// of relative errors, newer observations counting more; before any they have the
// values that were given.
//
// Pure. Not thread safe.
#pragma once

#include "cicadaport/serving/engine_queue.h"

#include <array>

namespace cicadaport::serving {

class reading_model {
public:
    struct terms {
        fine_milliseconds each_prompt{5};
        fine_milliseconds each_thousand_tokens{15.6};
        fine_milliseconds each_million_pairs{0.647};
    };

    // What observations usually differ by from the model, as a part of the time.
    static constexpr double usual_error = 0.15;
    // An observation that differs by more than so many of these counts less.
    static constexpr double usual_errors = 2;
    // What is left of the weight of earlier observations after one more.
    static constexpr double memory = 0.99;
    // How far the terms may be from what was given before anything was observed.
    static constexpr terms uncertainty{fine_milliseconds{30}, fine_milliseconds{8},
                                       fine_milliseconds{0.3}};

    explicit reading_model(terms first) : m_first{first}, m_current{first} {}

    // Returns how long an engine that does nothing else reads so many tokens, with so
    // many pairs of a token and one before it.
    fine_milliseconds time(double tokens, double pairs) const noexcept;

    // Notes what an engine that did nothing else took.
    void learn(double tokens, double pairs, fine_milliseconds observed);

    const terms& current() const noexcept { return m_current; }

private:
    static constexpr std::size_t count = 3;
    using vector = std::array<double, count>;
    using matrix = std::array<vector, count>;

    void solve();

    terms m_first;
    terms m_current;
    // Sums of the observations, each weighted by its error.
    matrix m_products{};
    vector m_results{};
};

} // namespace cicadaport::serving
