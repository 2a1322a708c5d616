#include "cicadaport/routing/estimate.h"

#include "cicadaport/routing/prefix_index.h"

#include <gtest/gtest.h>

namespace cicadaport::routing {
namespace {

const output_estimator::request_class counter{"counter", "order-assistant"};

TEST(estimate_test, counts_the_words_of_a_prompt_and_of_all_messages)
{
    EXPECT_EQ(summarize_prompt(R"({"prompt": " one two\nthree "})").tokens, 3U);
    const auto chat = summarize_prompt(
        R"({"messages": [{"role": "user", "content": "is rice left"}], "max_tokens": 7})");
    EXPECT_EQ(chat.tokens, 4U) << "the role counts as a token, as in engines";
    EXPECT_EQ(chat.max_output_tokens, 7U);
}

TEST(estimate_test, a_malformed_body_gives_an_empty_summary_without_throwing)
{
    for (const auto* body : {"", "{", "[1]", R"({"prompt": 3, "messages": ["x"]})"}) {
        EXPECT_EQ(summarize_prompt(body).tokens, 0U) << body;
    }
}

TEST(estimate_test, estimates_the_fallback_length_until_an_output_is_recorded)
{
    output_estimator outputs;
    EXPECT_EQ(outputs.estimate_output(counter, 64, 0).tokens, 64);
    for (int i = 0; i < 100; ++i) {
        outputs.record_output(counter, 20);
    }
    EXPECT_NEAR(outputs.estimate_output(counter, 64, 0).tokens, 20, 0.1);
    EXPECT_NEAR(outputs.estimate_output(counter, 64, 0).error, 0, 0.1);
    EXPECT_EQ(outputs.estimate_output({"review", "order-assistant"}, 64, 0).tokens, 64);
}

TEST(estimate_test, follows_a_class_with_growing_outputs_and_reports_the_error)
{
    output_estimator outputs;
    outputs.record_output(counter, 20);
    outputs.record_output(counter, 200);
    EXPECT_GT(outputs.estimate_output(counter, 64, 0).error, 10);
    for (int i = 0; i < 100; ++i) {
        outputs.record_output(counter, 200);
    }
    EXPECT_NEAR(outputs.estimate_output(counter, 64, 0).tokens, 200, 1);
}

TEST(estimate_test, never_estimates_more_than_max_tokens)
{
    EXPECT_EQ(output_estimator{}.estimate_output(counter, 64, 5).tokens, 5);
}

} // namespace
} // namespace cicadaport::routing
