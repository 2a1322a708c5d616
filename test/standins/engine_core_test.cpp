#include "cicadaport/standins/engine_core.h"

#include <gtest/gtest.h>

namespace cicadaport::standins {
namespace {

std::shared_ptr<engine_job> make_job(std::size_t prompt_words, std::uint32_t output)
{
    auto job = std::make_shared<engine_job>();
    for (std::size_t i = 0; i < prompt_words; ++i) {
        job->prompt.push_back("word" + std::to_string(i));
    }
    job->output_tokens = output;
    return job;
}

TEST(engine_core_test, makes_every_token_of_an_answer)
{
    engine_core core{{}};
    const auto job = make_job(100, 5);
    core.submit(job);
    while (core.step().count() > 0) {
    }
    EXPECT_EQ(job->produced, 5U);
}

TEST(engine_core_test, a_long_prompt_slows_the_answers_beside_it)
{
    engine_core core{{}};
    core.submit(make_job(10, 50));
    core.step();
    const auto alone = core.step();
    core.submit(make_job(2'000, 1));
    EXPECT_GT(core.step(), alone * 2);
}

TEST(engine_core_test, a_cached_prefix_is_not_computed_again)
{
    engine_core core{{}};
    core.submit(make_job(1'600, 1));
    while (core.step().count() > 0) {
    }
    const auto again = make_job(1'600, 1);
    core.submit(again);
    EXPECT_LE(again->prefill_left, cache_block_tokens);
}

TEST(engine_core_test, the_same_prompt_gets_the_same_answer_on_every_engine)
{
    EXPECT_EQ(engine_core::answer_token({"a", "b"}, 3), engine_core::answer_token({"a", "b"}, 3));
    EXPECT_NE(engine_core::answer_token({"a", "b"}, 3), engine_core::answer_token({"a", "c"}, 3));
}

} // namespace
} // namespace cicadaport::standins
