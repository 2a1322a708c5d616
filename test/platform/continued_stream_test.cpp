// A stream had begun and broke off, and the replica asked to continue it answers with something
// else than the rest of the stream. Callers must find nothing of that in their stream, and must not
// take the stream for complete.
#include "relay_fixture.h"

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::events;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;
using testing::stream;

using end = scripted_response::then;

// Looks like an event and would be forwarded if it were taken for one.
const std::string error_text = "id: 9\ndata: error\n\n";

std::string chunked(const std::string& text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

struct named_answer {
    std::string name;
    std::string status_and_fields;
    std::string body;
    end after = end::keep;
};

// Returns answers that do not continue a stream. "ID" stands for the field with the request's id.
std::vector<named_answer> other_answers()
{
    const std::string length = "Content-Length: " + std::to_string(error_text.size()) + "\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n";
    const std::string seal = "Response-Seal: s\r\n";
    std::vector<named_answer> out;
    for (const std::string status :
         {"500", "503", "404", "421", "429", "400", "504", "302", "200"}) {
        out.push_back({status, status + " X\r\nID" + length, error_text});
    }
    out.push_back({"not run", "503 X\r\nIDNot-Executed: 1\r\n" + length, error_text});
    out.push_back({"signed error", "500 X\r\nID" + seal + length, error_text});
    out.push_back({"encoded", "200 X\r\nIDContent-Encoding: gzip\r\n" + seal + length, error_text});
    out.push_back({"unframed error", "500 X\r\nID", error_text, end::close});
    out.push_back({"unframed and unsigned", "200 X\r\nID", error_text, end::close});
    out.push_back({"no id", "200 X\r\n" + seal + length, error_text, end::close});
    out.push_back({"error after 100", "100 X\r\n\r\nHTTP/1.1 500 X\r\nID" + length, error_text});
    out.push_back(
        {"error after 103", "103 X\r\nA: b\r\n\r\nHTTP/1.1 500 X\r\nID" + length, error_text});
    out.push_back({"204", "204 X\r\nID", ""});
    out.push_back({"signed 204", "204 X\r\nID" + seal, ""});
    out.push_back({"signed 205", "205 X\r\nID" + seal + "Content-Length: 0\r\n", ""});
    out.push_back({"signed 206", "206 X\r\nID" + seal + length, error_text});
    out.push_back({"signed 304", "304 X\r\nID" + seal, ""});
    out.push_back({"chunked error", "500 X\r\nID" + chunks, chunked(error_text) + "0\r\n\r\n"});
    out.push_back(
        {"broken chunked error", "500 X\r\nID" + chunks, chunked(error_text), end::reset});
    out.push_back({"short error", "500 X\r\nIDContent-Length: 99\r\n", error_text, end::close});
    // The blank line after the fields is missing.
    out.push_back({"closed inside the head", "200 X\r\nIDResponse-Seal: s", "", end::close});
    out.push_back({"closed inside the head after 100",
                   "100 X\r\n\r\nHTTP/1.1 200 X\r\nIDResponse-Seal: s", "", end::close});
    out.push_back({"reset inside the head", "200 X\r\nIDResponse-Seal: s", "", end::reset});
    out.push_back({"no answer", "", "", end::close});
    out.push_back({"no http", "X", error_text, end::close});
    return out;
}

scripted_response answer_with(const named_answer& what, const received_request& to)
{
    auto head = what.status_and_fields;
    if (const auto at = head.find("ID"); at != std::string::npos) {
        head.replace(at, 2, "Request-Id: " + to.field("Request-Id") + "\r\n");
    }
    return {head.empty() ? "" : "HTTP/1.1 " + head + "\r\n" + what.body, what.after};
}

class continued_stream_test : public testing::relaying_host_test {
protected:
    void SetUp() override
    {
        relaying_host_test::SetUp();
        settings.attempts.ratio = 2;
    }

    scripted_response serve(const received_request& each)
    {
        const std::lock_guard lock{m_mutex};
        if (each.path().starts_with("/safe/")) {
            return signed_answer(each, "own");
        }
        return each.field("Last-Event-Id").empty()
                   ? stream(each, "s", events(1, 2) + "id: 3\nda", end::reset)
                   : answer_with(m_continuation, each);
    }

    scripted_server::answer_function server()
    {
        return [this](const received_request& each) { return serve(each); };
    }

    // Asks for a stream whose continuation is answered with each of the other answers.
    void expect_broken_streams(const std::vector<const scripted_server*>& greeting = {})
    {
        int number = 0;
        for (const auto& each : other_answers()) {
            greet(greeting);
            set(each);
            const auto id = "r" + std::to_string(++number);
            const auto answer = ask(request("POST", "/going/x", id, "", "q"));
            EXPECT_EQ(answer.status, 200U) << each.name;
            EXPECT_FALSE(answer.complete) << each.name;
            EXPECT_EQ(answer.body, events(1, 2)) << each.name;
        }
    }

    // Returns the stream whose continuation is `what`.
    testing::caller::answer ask_continued_with(const named_answer& what)
    {
        set(what);
        return ask(request("POST", "/going/x", "r", "", "q"));
    }

    void start_with_replicas()
    {
        list_replica("i-1", one.address());
        list_replica("i-2", two.address());
        start();
    }

    void set(const named_answer& what)
    {
        const std::lock_guard lock{m_mutex};
        m_continuation = what;
    }

    scripted_server one{server()};
    scripted_server two{server()};

private:
    std::mutex m_mutex;
    named_answer m_continuation;
};

TEST_F(continued_stream_test, has_nothing_of_an_answer_that_does_not_continue_it)
{
    start_with_replicas();
    expect_broken_streams();
}

TEST_F(continued_stream_test, has_nothing_of_such_an_answer_when_it_is_relayed)
{
    start_relaying({&one, &two});
    expect_broken_streams({&one, &two});
}

// The other host decides whether the replica is dark.
TEST_F(continued_stream_test, stays_at_the_host_to_which_it_is_relayed_while_it_is_silent)
{
    const auto serve = [](const received_request& each) {
        if (each.path().starts_with("/safe/")) {
            return signed_answer(each, "own");
        }
        return each.field("Last-Event-Id").empty() ? testing::pausing_stream(each, 2, 4, 1'800ms)
                                                   : testing::not_executed(each);
    };
    scripted_server first{serve};
    scripted_server second{serve};
    start_relaying({&first, &second});
    greet({&first, &second});
    const auto answer = ask(request("POST", "/going/x", "r1", "", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

TEST_F(continued_stream_test, has_each_event_once_when_its_continuation_repeats_some)
{
    start_with_replicas();
    const auto text = events(1, 4);
    const auto answer = ask_continued_with(
        {"repeating",
         "200 X\r\nIDResponse-Seal: s\r\nContent-Length: " + std::to_string(text.size()) + "\r\n",
         text});
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

TEST_F(continued_stream_test, is_complete_when_nothing_was_missing)
{
    start_with_replicas();
    const auto answer =
        ask_continued_with({"empty", "200 X\r\nIDResponse-Seal: s\r\nContent-Length: 0\r\n", ""});
    EXPECT_TRUE(answer.complete) << "the replica states that no event follows";
    EXPECT_EQ(answer.body, events(1, 2));
}

TEST_F(continued_stream_test, without_events_and_body_leaves_nothing_on_the_callers_connection)
{
    scripted_server replica{[](const received_request& each) {
        return answer_with({"", "204 X\r\nIDResponse-Seal: s\r\n", ""}, each);
    }};
    list_replica("i-3", replica.address());
    start();
    testing::caller connection{settings.caller_address};
    for (const std::string id : {"r1", "r2"}) {
        const auto answer = connection.ask(request("POST", "/stream/x", id, "", "q"));
        EXPECT_EQ(answer.status, 204U);
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.field("Request-Id"), id);
    }
}

} // namespace
} // namespace cicadaport::platform
