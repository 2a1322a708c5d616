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

// How a reader has judged a response.
struct response_verdict {
    bool complete = false;
    parse_problem problem = parse_problem::none;
    unsigned status = 0;
    std::string value;
    std::string body;

    bool operator==(const response_verdict&) const = default;
};

// Feeds a response in two reads, divided at `split`, or byte by byte if that is zero, and then the
// end of the connection.
response_verdict read_response(std::string_view bytes, std::size_t split)
{
    message_reader reader{message_kind::response, {}};
    response_verdict out;
    std::string held;
    while (!bytes.empty() && reader.problem() == parse_problem::none) {
        const auto size = split == 0 ? 1 : std::exchange(split, bytes.size());
        held += bytes.substr(0, size);
        bytes.remove_prefix(std::min(size, bytes.size()));
        held.erase(0, reader.feed(held));
    }
    reader.feed_end();
    out.complete = reader.complete();
    out.problem = reader.problem();
    if (out.complete) {
        out.status = reader.head().status;
        out.value = reader.head().fields.find("Name").value_or("");
        out.body = reader.take_body();
    }
    return out;
}

// Returns the verdict on a response that is whole and has one that does not depend on its reads.
response_verdict judge_response(const std::string& bytes)
{
    const auto whole = read_response(bytes, bytes.size());
    for (std::size_t split = 0; split < bytes.size(); ++split) {
        EXPECT_EQ(read_response(bytes, split), whole) << split << " of " << bytes;
    }
    return whole;
}

response_verdict judge_start_line(std::string line)
{
    line += "\r\nContent-Length: 0\r\n\r\n";
    return judge_response(line);
}

response_verdict judge_field(std::string_view line)
{
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    bytes += line;
    bytes += "\r\nContent-Length: 2\r\n\r\nok";
    return judge_response(bytes);
}

// Regression: responses with a status outside of the range of status codes were complete.
TEST(message_reader_test, rejects_each_status_outside_of_the_range_of_status_codes)
{
    constexpr unsigned statuses = 1'000;
    for (unsigned status = 0; status < statuses; ++status) {
        std::string line = "HTTP/1.1 000 X";
        for (unsigned at = 11, rest = status; rest > 0; --at, rest /= 10) {
            line[at] = static_cast<char>('0' + rest % 10);
        }
        const auto verdict = judge_start_line(line);
        const bool valid = status >= 100 && status <= 599;
        EXPECT_EQ(verdict.complete, valid) << line;
        EXPECT_EQ(verdict.problem, valid ? parse_problem::none : parse_problem::malformed);
    }
    for (const std::string line :
         {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK",
          "HTTP/1.1  200 OK", "HTTP/1.1 200", "HTTP/1.1 200 O\x01K", "HTTP/2.0 200 OK",
          "HTTP/1.1\t200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK"}) {
        EXPECT_FALSE(judge_start_line(line).complete) << line;
    }
}

TEST(message_reader_test, rejects_each_byte_that_is_not_allowed_in_a_field_name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    for (int code = 0; code < 256; ++code) {
        const auto byte = static_cast<char>(code);
        const bool valid = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
                           (byte >= 'A' && byte <= 'Z') || marks.find(byte) != marks.npos;
        for (const std::string before : {"", "Na"}) {
            for (const std::string after : {"", "me"}) {
                auto name = before;
                name += byte;
                name += after;
                // A colon ends the name, so that the byte belongs to the value.
                if (byte != ':' || before.empty()) {
                    EXPECT_EQ(judge_field(name + ": x").complete, valid) << code << " in " << name;
                }
            }
        }
    }
}

TEST(message_reader_test, rejects_a_head_whose_lines_are_not_fields)
{
    for (const std::string line :
         {"One: 1\r\n\r", "One: 1\r\n:", "One: 1\r\n: x", "One: 1\r\nName", "One: 1\r\nName : x",
          "One: 1\r\nName\t: x", "One: 1\r\nName x"}) {
        EXPECT_FALSE(judge_field(line).complete) << line;
    }
    EXPECT_FALSE(judge_field(" Name: x").complete) << "a blank before the first field";
    EXPECT_FALSE(judge_response("HTTP/1.1 200 OK\nContent-Length: 2\n\nok").complete);
}

TEST(message_reader_test, rejects_control_bytes_in_a_field_value_and_keeps_high_ones)
{
    for (int code = 0; code < 256; ++code) {
        const auto byte = static_cast<char>(code);
        const bool valid = byte == '\t' || (code >= 0x20 && code != 0x7f);
        std::string value = "a b";
        value[1] = byte;
        std::string line = "Name: ";
        line += value;
        const auto verdict = judge_field(line);
        EXPECT_EQ(verdict.complete, valid) << code;
        EXPECT_EQ(verdict.value, valid ? value : "") << code;
    }
}

TEST(message_reader_test, joins_a_folded_field_value_with_a_blank)
{
    const auto verdict = judge_field("Name: a\r\n \t b");
    EXPECT_TRUE(verdict.complete);
    EXPECT_EQ(verdict.value, "a b");
    EXPECT_EQ(verdict.body, "ok");
}

} // namespace
} // namespace cicadaport::transport
