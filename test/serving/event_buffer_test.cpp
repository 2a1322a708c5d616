#include "cicadaport/serving/event_buffer.h"
#include "cicadaport/serving/size_fairness.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cicadaport::serving {
namespace {

TEST(event_buffer_test, returns_complete_events_only)
{
    event_buffer events;
    events.feed("id: 1\ndata: a\n\nid: 2\nda");
    EXPECT_EQ(events.take_complete(), "id: 1\ndata: a\n\n");
    EXPECT_EQ(events.take_complete(), "");
    events.feed("ta: b\n\n");
    EXPECT_EQ(events.take_complete(), "id: 2\ndata: b\n\n");
    EXPECT_EQ(events.last_event_id(), "2");
    EXPECT_EQ(events.count(), 2U);
}

TEST(event_buffer_test, an_incomplete_event_is_dropped_when_the_stream_resumes)
{
    event_buffer events;
    events.feed("id: 1\ndata: a\n\nid: 2\ndata: torn");
    events.take_complete();
    events.restart();
    events.feed("id: 2\ndata: b\n\n");
    EXPECT_EQ(events.take_complete(), "id: 2\ndata: b\n\n");
}

TEST(event_buffer_test, events_that_were_returned_before_are_skipped)
{
    event_buffer events;
    events.feed("id: 9\ndata: a\n\n");
    events.take_complete();
    events.restart();
    events.feed("id: 9\ndata: a\n\nid: 10\ndata: b\n\n");
    EXPECT_EQ(events.take_complete(), "id: 10\ndata: b\n\n");
}

TEST(event_buffer_test, tells_whether_a_stream_ends_inside_an_event)
{
    event_buffer events;
    events.feed("data: x\n\ndata: end");
    EXPECT_EQ(events.take_complete(), "data: x\n\n");
    EXPECT_TRUE(events.is_inside_event());
    events.feed("\n");
    EXPECT_EQ(events.take_complete(), "");
    EXPECT_TRUE(events.is_inside_event());
    events.feed("\n\n");
    EXPECT_EQ(events.take_complete(), "data: end\n\n");
    EXPECT_FALSE(events.is_inside_event());
}

TEST(event_buffer_test, an_id_ends_with_its_line)
{
    // The id becomes a field of the request that continues the stream.
    event_buffer buffer;
    buffer.feed("id: 7\rX: y\r\ndata: a\r\n\r\n");
    buffer.take_complete();
    EXPECT_EQ(buffer.last_event_id(), "7");
}

TEST(event_buffer_test, events_may_end_with_carriage_returns)
{
    event_buffer events;
    events.feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\n");
    EXPECT_EQ(events.take_complete(), "id: 1\r\ndata: a\r\n\r\n");
    EXPECT_EQ(events.last_event_id(), "1");
    EXPECT_TRUE(events.is_inside_event());
}

// Each piece of a large event made the host search all of the event again.
TEST(event_buffer_test, searches_each_byte_of_an_unfinished_event_once)
{
    constexpr int piece_count = 400'000;
    event_buffer buffer;
    const auto begun = std::chrono::steady_clock::now();
    for (int piece = 0; piece < piece_count; ++piece) {
        buffer.feed("a\n");
        ASSERT_EQ(buffer.take_complete(), "");
    }
    buffer.feed("\n");
    EXPECT_EQ(buffer.take_complete().size(), 2U * piece_count + 1);
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds{10});
}

TEST(event_buffer_test, finds_an_end_of_an_event_that_comes_in_pieces)
{
    for (const std::string ending : {"\n\n", "\n\r\n"}) {
        event_buffer buffer;
        const auto event = "id: 1\ndata: x" + ending;
        std::string out;
        for (const char each : event + event) {
            buffer.feed({&each, 1});
            out += buffer.take_complete();
        }
        EXPECT_EQ(out, event) << "the second event has the id of the first";
    }
}

TEST(size_fairness_test, tells_the_largest_tenth_from_the_rest)
{
    size_fairness fairness;
    for (std::uint32_t size = 1; size <= 64; ++size) {
        fairness.classify("r", size);
    }
    EXPECT_EQ(fairness.classify("r", 100), size_class::largest);
    EXPECT_EQ(fairness.classify("r", 52), size_class::large);
    EXPECT_EQ(fairness.classify("r", 10), size_class::usual);
}

TEST(size_fairness_test, a_class_that_is_served_less_often_is_behind)
{
    size_fairness fairness;
    for (int request = 0; request < 20; ++request) {
        fairness.record_outcome("r", size_class::usual, true);
        fairness.record_outcome("r", size_class::largest, request % 4 == 0);
    }
    EXPECT_TRUE(fairness.is_behind("r", size_class::largest));
    EXPECT_FALSE(fairness.is_behind("r", size_class::usual));
    EXPECT_FALSE(fairness.is_behind("other", size_class::largest));
}

} // namespace
} // namespace cicadaport::serving
