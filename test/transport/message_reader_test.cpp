#include "cicadaport/transport/message_reader.h"

#include <gtest/gtest.h>

namespace cicadaport::transport {
namespace {

TEST(message_reader_test, reads_a_request_that_comes_byte_by_byte)
{
    const std::string bytes = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    message_reader reader{message_kind::request, {}};
    std::string held;
    std::string body;
    for (const char each : bytes) {
        held += each;
        held.erase(0, reader.feed(held));
        body += reader.take_body();
    }
    ASSERT_TRUE(reader.complete());
    EXPECT_EQ(reader.head().method, "POST");
    EXPECT_EQ(reader.head().target, "/a?b=c");
    EXPECT_EQ(reader.head().fields.find("host"), "h");
    EXPECT_EQ(body, "xyz");
    EXPECT_TRUE(reader.keeps_connection());
}

TEST(message_reader_test, leaves_bytes_after_a_message_unread)
{
    const std::string first = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    message_reader reader{message_kind::request, {}};
    EXPECT_EQ(reader.feed(first + "GET /next HTTP/1.1\r\n\r\n"), first.size());
    EXPECT_TRUE(reader.complete());
}

TEST(message_reader_test, joins_chunks_and_keeps_trailers_out_of_the_head)
{
    message_reader reader{message_kind::response, {}};
    reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nab\r\n1\r\nc\r\n0\r\nLate: 1\r\n\r\n");
    ASSERT_TRUE(reader.complete());
    EXPECT_EQ(reader.take_body(), "abc");
    EXPECT_FALSE(reader.head().fields.find("Late"));
}

TEST(message_reader_test, takes_the_end_of_the_connection_as_end_of_a_body_without_length)
{
    message_reader reader{message_kind::response, {}};
    reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_TRUE(reader.ends_with_connection());
    EXPECT_FALSE(reader.complete());
    reader.feed_end();
    EXPECT_TRUE(reader.complete());
}

TEST(message_reader_test, does_not_take_the_end_of_the_connection_for_the_end_of_a_counted_body)
{
    message_reader reader{message_kind::response, {}};
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    reader.feed_end();
    EXPECT_FALSE(reader.complete());
    EXPECT_EQ(reader.problem(), parse_problem::malformed);
}

TEST(message_reader_test, rejects_a_request_with_two_framings)
{
    for (const std::string framing :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: identity\r\n", "Content-Length: +3\r\n", "Content-Length : 3\r\n"}) {
        message_reader reader{message_kind::request, {}};
        reader.feed("POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n");
        EXPECT_NE(reader.problem(), parse_problem::none) << framing;
    }
}

TEST(message_reader_test, reports_which_limit_a_message_exceeds)
{
    message_reader long_head{message_kind::request, {64, 8}};
    long_head.feed("GET / HTTP/1.1\r\nLong: " + std::string(100, 'x') + "\r\n\r\n");
    EXPECT_EQ(long_head.problem(), parse_problem::head_too_large);
    message_reader long_body{message_kind::request, {1'024, 8}};
    long_body.feed("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n");
    EXPECT_EQ(long_body.problem(), parse_problem::body_too_large);
}

// The bytes of a head say little about the memory that its lines take.
TEST(message_reader_test, bounds_the_lines_of_a_head_and_counts_their_memory)
{
    constexpr std::uint32_t max_lines = 4;
    const auto head = [](std::uint32_t lines) {
        std::string out = "GET / HTTP/1.1\r\n";
        for (std::uint32_t line = 0; line < lines; ++line) {
            out += "a:\r\n";
        }
        return out + "\r\n";
    };
    message_reader allowed{message_kind::request, {1'024, 8, max_lines}};
    allowed.feed(head(max_lines));
    ASSERT_TRUE(allowed.complete());
    EXPECT_GE(allowed.head().memory_bytes, max_lines * sizeof(http::field));
    message_reader refused{message_kind::request, {1'024, 8, max_lines}};
    refused.feed(head(max_lines + 1));
    EXPECT_EQ(refused.problem(), parse_problem::too_many_lines);
    EXPECT_FALSE(refused.complete());
}

// A peer that sent an endless chunk extension or trailer took all memory of the process.
TEST(message_reader_test, bounds_the_input_that_it_leaves_unread)
{
    constexpr std::uint32_t max_head_bytes = 1'024;
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string unfinished : {"3;name=", "3;name=\"", "0;name=", "0\r\nName: ",
                                         "0\r\nOne: 1\r\nTwo: ", "3\r\nabc\r\n3;name="}) {
        for (const auto kind : {message_kind::request, message_kind::response}) {
            message_reader reader{kind, {max_head_bytes, max_head_bytes}};
            std::string held = kind == message_kind::request ? "POST / HTTP/1.1\r\nHost: h\r\n"
                                                             : "HTTP/1.1 200 OK\r\n";
            held += chunked + unfinished;
            for (std::uint32_t sent = 0; sent <= 2 * max_head_bytes; ++sent) {
                held.erase(0, reader.feed(held));
                if (reader.problem() != parse_problem::none) {
                    break;
                }
                ASSERT_LE(held.size(), max_head_bytes) << unfinished;
                held += 'x';
            }
            EXPECT_EQ(reader.problem(), parse_problem::head_too_large) << unfinished;
        }
    }
}

TEST(message_reader_test, reads_a_trailer_and_a_chunk_extension_up_to_the_limit_of_the_head)
{
    message_reader reader{message_kind::response, {1'024, 1'024}};
    const std::string value(900, 'x');
    std::string held = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char each : "3;name=" + value + "\r\nabc\r\n0\r\nLate: " + value + "\r\n\r\n") {
        held += each;
        held.erase(0, reader.feed(held));
    }
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(reader.take_body(), "abc");
}

} // namespace
} // namespace cicadaport::transport
