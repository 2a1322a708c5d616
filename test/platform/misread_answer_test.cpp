// Tests of answers that must not be taken for other ones than those that were sent.
#include "relay_fixture.h"

namespace cicadaport::platform {
namespace {

using testing::events;
using testing::eventually;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;

using end = scripted_response::then;

std::string own_head(const received_request& to, const std::string& status, const std::string& more)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + to.field("Request-Id") +
           "\r\nResponse-Seal: s\r\n" + more + "\r\n";
}

// A replica that answers long requests before they have arrived, and ends the connection.
class early_answer_test : public testing::relaying_host_test {
protected:
    // More than the kernel takes while the replica reads nothing.
    static constexpr std::size_t long_bytes = 16'000'000;

    testing::caller::answer ask_route(const std::string& route, const std::string& framing,
                                      const std::string& body, end after)
    {
        replica = std::make_unique<scripted_server>([=, this](const received_request& each) {
            return scripted_response{own_head(each, status, framing) + body, after};
        });
        replica->answer_early();
        list_replica("i-1", replica->address());
        publish(2, 2, 0, R"("max-body-bytes":)" + std::to_string(long_bytes));
        start();
        return ask(request("POST", "/" + route + "/x", "r1", "", std::string(long_bytes, 'q')));
    }

    std::string status = "200 OK";
    std::unique_ptr<scripted_server> replica;
};

// Regression: a part of an answer without a length was passed on as the whole one when its replica
// reset the connection while the request was being sent.
TEST_F(early_answer_test, without_a_length_that_is_reset_is_not_whole)
{
    EXPECT_EQ(ask_route("once", "", "part", end::reset).status, 502U);
}

TEST_F(early_answer_test, without_a_length_that_is_reset_is_not_whole_on_a_safe_route)
{
    EXPECT_EQ(ask_route("safe", "", "part", end::reset).status, 502U);
}

TEST_F(early_answer_test, with_events_but_without_a_length_that_is_reset_is_incomplete)
{
    EXPECT_FALSE(ask_route("stream", "", events(1, 3), end::reset).complete);
}

TEST_F(early_answer_test, that_is_reset_is_incomplete_as_a_resumable_stream)
{
    EXPECT_FALSE(ask_route("going", "", events(1, 3), end::reset).complete);
}

TEST_F(early_answer_test, without_a_length_that_ends_in_an_orderly_way_is_whole)
{
    const auto answer = ask_route("once", "", "whole", end::read_on);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "whole");
}

TEST_F(early_answer_test, with_events_that_end_in_an_orderly_way_is_complete)
{
    EXPECT_TRUE(ask_route("stream", "", events(1, 3), end::read_on).complete);
}

// Regression: a part of an answer without a length was passed on as the whole one when its replica
// ended it in an orderly way and reset the connection before it had received the whole request.
TEST_F(early_answer_test, that_ends_before_the_request_was_received_is_not_whole)
{
    EXPECT_EQ(ask_route("once", "", "part", end::shutdown).status, 502U);
}

TEST_F(early_answer_test, that_ends_before_the_request_was_received_is_not_whole_on_a_safe_route)
{
    EXPECT_EQ(ask_route("safe", "", "part", end::shutdown).status, 502U);
}

TEST_F(early_answer_test, with_events_that_end_before_the_request_was_received_is_incomplete)
{
    EXPECT_FALSE(ask_route("stream", "", events(1, 3), end::shutdown).complete);
}

TEST_F(early_answer_test, that_ends_before_the_request_was_received_is_no_whole_resumable_stream)
{
    EXPECT_FALSE(ask_route("going", "", events(1, 3), end::shutdown).complete);
}

TEST_F(early_answer_test, with_a_length_is_whole_although_its_request_was_not_received)
{
    const auto answer = ask_route("once", "Content-Length: 5\r\n", "whole", end::shutdown);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "whole");
}

TEST_F(early_answer_test, of_a_failure_is_passed_on_although_its_request_was_not_received)
{
    status = "413 X";
    const auto answer = ask_route("once", "", "too large", end::shutdown);
    EXPECT_EQ(answer.status, 413U);
    EXPECT_EQ(answer.body, "too large");
}

TEST_F(early_answer_test, from_another_host_that_ends_before_the_request_was_received_is_not_whole)
{
    scripted_server other{[](const received_request& each) {
        return scripted_response{own_head(each, "200 OK", "") + "part", end::shutdown};
    }};
    publish(2, 2, 0, R"("max-body-bytes":)" + std::to_string(long_bytes));
    start_relaying({&other});
    other.answer_early();
    greet({&other});
    const auto before = other.requests().size();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", std::string(long_bytes, 'q'))).status, 502U);
    EXPECT_GT(other.requests().size(), before) << "it was relayed";
}

TEST_F(early_answer_test, with_a_length_is_whole_although_the_connection_is_reset)
{
    const auto answer = ask_route("once", "Content-Length: 5\r\n", "whole", end::reset);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "whole");
}

TEST_F(early_answer_test, with_chunks_is_whole_although_the_connection_is_reset)
{
    const auto answer =
        ask_route("once", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", end::reset);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "whole");
}

const std::vector<std::pair<std::string, std::string>> invalid_heads{
    {"000 X", ""},         {"099 X", ""},        {"600 X", ""},          {"999 X", ""},
    {"200 O\x01", ""},     {"200 OK", "A b: x"}, {"200 OK", "A\x01: x"}, {"200 OK", "A : x"},
    {"200 OK", "\xc3: x"}, {"200 OK", ": x"},    {"200 OK", "A"},        {"200 OK", "A: \x01"}};

scripted_response invalid_answer(const received_request& to, std::size_t which)
{
    const auto& [status, line] = invalid_heads[which];
    return {own_head(to, status, (line.empty() ? line : line + "\r\n") + "Content-Length: 4\r\n") +
            "body"};
}

class invalid_head_test : public testing::relaying_host_test {};

// Regression: answers with the status 600 and 999 were passed on.
TEST_F(invalid_head_test, is_answered_with_bad_gateway)
{
    std::atomic<std::size_t> which{0};
    scripted_server replica{
        [&](const received_request& each) { return invalid_answer(each, which); }};
    list_replica("i-1", replica.address());
    start();
    for (; which < invalid_heads.size(); ++which) {
        for (const std::string route : {"once", "safe", "stream", "going"}) {
            EXPECT_EQ(ask(request("POST", "/" + route + "/x", route, "", "q")).status, 502U)
                << invalid_heads[which].first << " " << invalid_heads[which].second;
        }
    }
}

TEST_F(invalid_head_test, from_another_host_is_answered_with_bad_gateway)
{
    std::atomic<std::size_t> which{0};
    scripted_server other{
        [&](const received_request& each) { return invalid_answer(each, which); }};
    start_relaying({&other});
    for (; which < invalid_heads.size(); ++which) {
        greet({&other});
        const auto before = other.requests().size();
        EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "q")).status, 502U)
            << invalid_heads[which].first << " " << invalid_heads[which].second;
        EXPECT_GT(other.requests().size(), before) << "it was relayed";
    }
}

TEST_F(invalid_head_test, of_an_interim_answer_is_answered_with_bad_gateway)
{
    scripted_server replica{[&](const received_request& each) {
        auto reply = signed_answer(each, "own");
        reply.bytes.insert(0, "HTTP/1.1 100 Continue\r\nA b: x\r\n\r\n");
        return reply;
    }};
    list_replica("i-1", replica.address());
    start();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "q")).status, 502U);
}

class bodiless_answer_test : public testing::host_test {};

// Regression: a 204 was passed on with a Content-Length, which RFC 9110 forbids (section 8.6).
TEST_F(bodiless_answer_test, is_passed_on_without_a_length_and_keeps_the_connection)
{
    std::atomic<unsigned> status{0};
    scripted_server replica{[&](const received_request& each) {
        return scripted_response{own_head(each, std::to_string(status) + " X", "")};
    }};
    list_replica("i-1", replica.address());
    start();
    testing::caller connection{settings.caller_address};
    for (const unsigned each : {204U, 304U, 204U}) {
        status = each;
        const auto answer = connection.ask(request("POST", "/once/x", "r", "", "q"));
        EXPECT_EQ(answer.status, each);
        EXPECT_TRUE(answer.complete);
        EXPECT_FALSE(answer.fields.find("Content-Length"));
    }
}

class large_event_test : public testing::host_test {};

// Regression: behind an event that was larger than what may wait for a caller, and ended its
// stream, the replica's connection was kept with reading paused.
TEST_F(large_event_test, that_ends_a_stream_leaves_a_connection_on_which_answers_are_read)
{
    constexpr std::size_t event_bytes = 300'000;
    scripted_server replica{[](const received_request& each) {
        return each.path() == "/once/x"
                   ? signed_answer(each, "own")
                   : stream(each, "s", "id: 1\ndata: " + std::string(event_bytes, 'x') + "\n\n",
                            end::keep);
    }};
    list_replica("i-1", replica.address());
    start();
    EXPECT_TRUE(ask(request("POST", "/stream/x", "r1", "", "q")).complete);
    EXPECT_EQ(ask(request("POST", "/once/x", "r2", "", "q")).status, 200U);
    EXPECT_EQ(replica.requests().back().earlier_on_connection, 1U) << "the connection was kept";
}

class interim_store_answer_test : public testing::host_test {};

// Regression: an interim answer of the store was taken for its answer.
TEST_F(interim_store_answer_test, is_not_taken_for_the_answer)
{
    scripted_server replica{
        [](const received_request& each) { return signed_answer(each, "own"); }};
    list_replica("i-1", replica.address());
    testing::store_proxy proxy{store};
    proxy.set(testing::store_proxy::state::interim);
    settings.store_address = proxy.address();
    wire_adapter = std::make_unique<wire>(settings.store_address);
    start();
    EXPECT_EQ(ask(request("GET", "/v1/x", "r1")).status, 200U);
    publish(2);
    EXPECT_TRUE(eventually([this] { return ask(request("GET", "/v2/x", "r2")).status == 200U; }));
}

} // namespace
} // namespace cicadaport::platform
