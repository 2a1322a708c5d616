#include "cicadaport/scenario/answer.h"

#include <gtest/gtest.h>

namespace cicadaport::scenario {
namespace {

TEST(answer_test, a_stream_with_every_token_and_the_final_event_is_whole)
{
    EXPECT_EQ(missing_from_stream("id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", 2), "");
}

TEST(answer_test, a_stream_without_the_final_event_is_not_whole)
{
    EXPECT_NE(missing_from_stream("id: 0\ndata: a\n\nid: 1\ndata: b\n\n", 2), "");
}

TEST(answer_test, a_token_that_comes_twice_is_found)
{
    EXPECT_NE(missing_from_stream("id: 0\ndata: a\n\nid: 0\ndata: a\n\ndata: [DONE]\n\n", 2), "");
}

TEST(answer_test, a_missing_token_is_found)
{
    EXPECT_NE(missing_from_stream("id: 0\ndata: a\n\nid: 2\ndata: c\n\ndata: [DONE]\n\n", 3), "");
}

TEST(answer_test, an_event_cut_short_is_found)
{
    EXPECT_NE(missing_from_stream("id: 0\ndata: a\n\nid: 1\nda", 2), "");
}

TEST(answer_test, text_after_the_final_event_is_found)
{
    EXPECT_NE(missing_from_stream("id: 0\ndata: a\n\ndata: [DONE]\n\nid: 0\ndata: a\n\n", 1), "");
}

TEST(answer_test, an_answer_that_was_cut_is_not_whole)
{
    EXPECT_NE(missing_from({200, "ran", "{}", "connection reset"}, 0, false), "");
}

} // namespace
} // namespace cicadaport::scenario
