#include "cicadaport/serving/prefill_model.h"

#include <gtest/gtest.h>

#include <random>

namespace cicadaport::serving {
namespace {

// Prefill speed of one kind of engine, in the terms of a deployment's specification.
struct engine_sheet {
    double per_prompt_ms;
    double tokens_per_ms;
    double pair_ms_per_million;

    fractional_milliseconds time(double tokens, double pairs) const
    {
        return fractional_milliseconds{per_prompt_ms + tokens / tokens_per_ms +
                                       pairs / 1e6 * pair_ms_per_million};
    }
};

double pairs_of(double tokens)
{
    return tokens * tokens / 2;
}

// Feeds the model prompts with a mean of 3,700 tokens and relative errors of a tenth.
void observe(prefill_model& model, const engine_sheet& engine, int prompts, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::lognormal_distribution<double> size{7.6, 1.1};
    std::normal_distribution<double> error{1, 0.1};
    for (int prompt = 0; prompt < prompts; ++prompt) {
        const auto tokens = size(random);
        const auto pairs = pairs_of(tokens);
        model.learn(tokens, pairs, engine.time(tokens, pairs) * error(random));
    }
}

TEST(prefill_model_test, predicts_from_the_initial_terms_before_any_observation)
{
    const prefill_model model{{}};
    EXPECT_NEAR(model.time(10'000, 0).count(), 161, 1);
}

TEST(prefill_model_test, learns_engines_that_differ_in_each_term)
{
    std::mt19937_64 random{1};
    std::uniform_real_distribution<double> per_prompt{1, 100};
    std::uniform_real_distribution<double> speed{30, 120};
    std::uniform_real_distribution<double> pair{0.1, 0.9};
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const engine_sheet engine{per_prompt(random), speed(random), pair(random)};
        prefill_model model{{}};
        observe(model, engine, 100, seed);
        for (const double tokens : {300.0, 2'000.0, 10'000.0, 30'000.0}) {
            const auto expected = engine.time(tokens, pairs_of(tokens));
            EXPECT_NEAR(model.time(tokens, pairs_of(tokens)) / expected, 1, 0.25)
                << "seed " << seed << ", tokens " << tokens;
        }
    }
}

TEST(prefill_model_test, a_few_slow_engines_change_predictions_little)
{
    const engine_sheet engine{70, 54.6, 0.25};
    prefill_model model{{}};
    std::mt19937_64 random{3};
    std::lognormal_distribution<double> size{7.6, 1.1};
    for (int prompt = 0; prompt < 400; ++prompt) {
        const auto tokens = size(random);
        const auto time = engine.time(tokens, pairs_of(tokens));
        const bool slow = prompt % 8 == 0;
        model.learn(tokens, pairs_of(tokens), slow ? 5 * time : time);
    }
    const auto expected = engine.time(10'000, pairs_of(10'000));
    EXPECT_NEAR(model.time(10'000, pairs_of(10'000)) / expected, 1, 0.35);
}

TEST(prefill_model_test, follows_engines_that_are_replaced_by_others)
{
    prefill_model model{{}};
    observe(model, {70, 54.6, 0.25}, 300, 1);
    const engine_sheet faster{5, 109, 0.1};
    observe(model, faster, 400, 2);
    EXPECT_NEAR(model.time(5'000, pairs_of(5'000)) / faster.time(5'000, pairs_of(5'000)), 1, 0.25);
}

TEST(prefill_model_test, no_term_turns_negative)
{
    prefill_model model{{}};
    for (int prompt = 0; prompt < 100; ++prompt) {
        model.learn(10'000, pairs_of(10'000), fractional_milliseconds{1});
        model.learn(100, pairs_of(100), fractional_milliseconds{500});
    }
    EXPECT_GE(model.current().per_prompt.count(), 0);
    EXPECT_GE(model.current().per_thousand_tokens.count(), 0);
    EXPECT_GE(model.current().per_million_pairs.count(), 0);
}

} // namespace
} // namespace cicadaport::serving
