#include "cicadaport/scenario/answer.h"

#include <gtest/gtest.h>

namespace cicadaport::scenario {
namespace {

TEST(answer_test, a_stream_with_every_token_and_the_final_event_is_whole)
{
    EXPECT_EQ(
        missing_from_stream("id: 1.d.s.e\ndata: a\n\nid: 2.d.s.e\ndata: b\n\ndata: [DONE]\n\n", 2),
        "");
}

TEST(answer_test, a_stream_without_the_final_event_is_not_whole)
{
    EXPECT_NE(missing_from_stream("id: 1.d.s.e\ndata: a\n\nid: 2.d.s.e\ndata: b\n\n", 2), "");
}

TEST(answer_test, a_token_that_comes_twice_is_found)
{
    EXPECT_NE(
        missing_from_stream("id: 1.d.s.e\ndata: a\n\nid: 1.d.s.e\ndata: a\n\ndata: [DONE]\n\n", 2),
        "");
}

TEST(answer_test, a_missing_token_is_found)
{
    EXPECT_NE(
        missing_from_stream("id: 1.d.s.e\ndata: a\n\nid: 3.d.s.e\ndata: c\n\ndata: [DONE]\n\n", 3),
        "");
}

TEST(answer_test, an_id_that_only_begins_like_the_next_is_found)
{
    EXPECT_NE(missing_from_stream("id: 11.d.s.e\ndata: a\n\ndata: [DONE]\n\n", 1), "");
    EXPECT_NE(missing_from_stream("id: x1\ndata: a\n\ndata: [DONE]\n\n", 1), "");
}

TEST(answer_test, a_stream_has_run_only_once_it_is_whole)
{
    const std::string part = "id: 1.d.s.e\ndata: a\n\n";
    const std::string whole = part + "data: [DONE]\n\n";
    EXPECT_EQ(verdict_of({200, "may_have_run", whole, ""}, 1, true), "ran");
    EXPECT_EQ(verdict_of({200, "may_have_run", part, ""}, 1, true), "may_have_run");
    EXPECT_EQ(verdict_of({200, "not_run", whole, ""}, 1, true), "not_run");
    EXPECT_EQ(verdict_of({200, "may_have_run", "{}", ""}, 1, false), "may_have_run");
}

TEST(answer_test, an_event_cut_short_is_found)
{
    EXPECT_NE(missing_from_stream("id: 1.d.s.e\ndata: a\n\nid: 2.d.s.e\nda", 2), "");
}

TEST(answer_test, text_after_the_final_event_is_found)
{
    EXPECT_NE(
        missing_from_stream("id: 1.d.s.e\ndata: a\n\ndata: [DONE]\n\nid: 1.d.s.e\ndata: a\n\n", 1),
        "");
}

TEST(answer_test, an_answer_that_was_cut_is_not_whole)
{
    EXPECT_NE(missing_from({200, "ran", "{}", "connection reset"}, 0, false), "");
}

} // namespace
} // namespace cicadaport::scenario
