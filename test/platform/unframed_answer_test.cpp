// Tests of answers that have neither a length nor chunks and end with their connection.
#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using testing::events;
using ::testing::HasSubstr;
using ::testing::Not;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::stream;

using end = scripted_response::then;

scripted_response unframed(const received_request& to, const std::string& body, end after)
{
    return {"HTTP/1.1 200 OK\r\nRequest-Id: " + to.field("Request-Id") +
                "\r\nResponse-Seal: s\r\n\r\n" + body,
            after};
}

class unframed_answer_test : public testing::host_test {
protected:
    // Returns a host's answer to a request on the route, where each replica answers `body` and
    // ends the connection.
    testing::caller::answer ask_route(const std::string& route, const std::string& body, end after)
    {
        replica = std::make_unique<scripted_server>(
            [body, after](const received_request& each) { return unframed(each, body, after); });
        list_replica("i-1", replica->address());
        start();
        return ask(request("POST", "/" + route + "/x", "r1", "", "q"));
    }

    std::unique_ptr<scripted_server> replica;
};

TEST_F(unframed_answer_test, a_plain_answer_that_ends_with_its_connection_is_whole)
{
    const auto answer = ask_route("once", "body", end::close);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, "body");
    EXPECT_EQ(answer.field("Response-Seal"), "s");
    EXPECT_EQ(ask(request("POST", "/once/x", "r2", "", "q")).body, "body")
        << "the connection was not used again";
}

// Guards against a 200 with an empty body for an answer that ended inside its head.
TEST_F(unframed_answer_test, an_answer_that_ends_inside_its_head_is_not_answered_as_a_success)
{
    for (const auto after : {end::close, end::reset}) {
        scripted_server broken{[after](const received_request& each) {
            return scripted_response{"HTTP/1.1 200 OK\r\nRequest-Id: " + each.field("Request-Id") +
                                         "\r\nResponse-Seal: s\r\n",
                                     after};
        }};
        list_replica("i-1", broken.address());
        start();
        for (const std::string route : {"once", "safe", "stream", "going"}) {
            EXPECT_EQ(ask(request("POST", "/" + route + "/x", route, "", "q")).status, 502U)
                << route;
        }
        stop_host();
    }
}

TEST_F(unframed_answer_test, a_plain_answer_that_is_reset_is_not_whole)
{
    const auto answer = ask_route("once", "body", end::reset);
    EXPECT_EQ(answer.status, 502U);
    EXPECT_EQ(replica->requests().size(), 1U) << "it may have run";
}

TEST_F(unframed_answer_test, a_stream_that_ends_after_an_event_is_whole)
{
    const auto answer = ask_route("stream", events(1, 3), end::close);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 3));
}

TEST_F(unframed_answer_test, a_stream_that_is_reset_after_an_event_is_incomplete)
{
    const auto answer = ask_route("stream", events(1, 3), end::reset);
    EXPECT_FALSE(answer.complete);
}

TEST_F(unframed_answer_test, a_stream_that_ends_inside_an_event_is_incomplete)
{
    const auto answer = ask_route("stream", events(1, 2) + "id: 3\nda", end::close);
    EXPECT_FALSE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 2));
    EXPECT_EQ(replica->requests().size(), 1U) << "the route allows no retry";
}

TEST_F(unframed_answer_test, a_stream_that_ends_inside_its_first_event_is_not_answered_as_a_success)
{
    const auto answer = ask_route("stream", "id: 1\nda", end::close);
    EXPECT_EQ(answer.status, 502U);
}

TEST_F(unframed_answer_test, a_chunked_stream_that_ends_inside_an_event_is_incomplete)
{
    scripted_server replica_with_chunks{[](const received_request& each) {
        return stream(each, "s", events(1, 2) + "id: 3\nda", end::keep);
    }};
    list_replica("i-1", replica_with_chunks.address());
    start();
    const auto answer = ask(request("POST", "/stream/x", "r1", "", "q"));
    EXPECT_FALSE(answer.complete);
    EXPECT_THAT(answer.body, Not(HasSubstr("id: 3")));
}

TEST_F(unframed_answer_test, a_resumable_stream_that_ends_inside_an_event_continues_elsewhere)
{
    std::atomic<int> count{0};
    const auto serve = [&](const received_request& each) {
        return ++count == 1 ? unframed(each, events(1, 2) + "id: 3\nda", end::close)
                            : unframed(each, events(3, 4), end::close);
    };
    scripted_server one{serve};
    scripted_server two{serve};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    start();
    const auto answer = ask(request("POST", "/going/x", "r1", "", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

TEST_F(unframed_answer_test, a_stream_with_carriage_returns_is_whole_after_an_event)
{
    const std::string body = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    const auto answer = ask_route("stream", body, end::close);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, body);
}

} // namespace
} // namespace cicadaport::platform
