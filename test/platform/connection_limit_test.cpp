// Callers that hold as many connections as they can.
#include "host_fixture.h"

#include "cicadaport/serving/connection_slots.h"

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::caller;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;

class connection_limit_test : public testing::host_test {
protected:
    void SetUp() override
    {
        host_test::SetUp();
        settings.max_descriptors = 200;
        max_connections = serving::connection_shares::of(*settings.max_descriptors).callers;
        list_replica("i-1", replica.address());
        start();
    }

    void TearDown() override
    {
        held.clear();
        host_test::TearDown();
    }

    // Opens connections of which each sends `bytes`.
    void open(std::size_t count, const std::string& bytes)
    {
        for (std::size_t number = 0; number < count; ++number) {
            held.push_back(std::make_unique<caller>(settings.caller_address));
            held.back()->send(bytes);
        }
    }

    std::size_t max_connections = 0;
    std::chrono::milliseconds run_time{0};
    scripted_server replica{[this](const received_request& each) {
        std::this_thread::sleep_for(run_time);
        return signed_answer(each, "own");
    }};
    std::vector<std::unique_ptr<caller>> held;
};

const std::string half_a_head = "GET /safe/x HTTP/1.1\r\nHost: h.exa";

// Callers with half a head took all descriptors, and nobody was served.
TEST_F(connection_limit_test, callers_with_half_a_request_make_room_for_others)
{
    caller sound{settings.caller_address};
    EXPECT_EQ(sound.ask(request("GET", "/safe/x", "r1")).body, "own");
    open(400, half_a_head);
    EXPECT_EQ(ask(request("GET", "/safe/x", "r2")).body, "own") << "a caller that connects now";
    EXPECT_EQ(sound.ask(request("GET", "/safe/x", "r3")).body, "own") << "an idle connection";
    EXPECT_EQ(ready(), 200U);
    const auto first = held.front()->receive();
    EXPECT_EQ(first.status, 503U);
    EXPECT_NE(first.field("Retry-After"), "");
}

TEST_F(connection_limit_test, idle_connections_make_room_for_a_caller_that_connects)
{
    open(max_connections, request("GET", "/safe/x", "r1"));
    for (const auto& each : held) {
        ASSERT_EQ(each->receive().body, "own");
    }
    EXPECT_EQ(ask(request("GET", "/safe/x", "r2")).body, "own");
    EXPECT_FALSE(held.front()->receive().complete) << "closed without an answer";
    EXPECT_EQ(held.back()->ask(request("GET", "/safe/x", "r3")).body, "own");
}

TEST_F(connection_limit_test, a_caller_is_refused_while_all_others_are_being_answered)
{
    run_time = 1s;
    open(max_connections, request("GET", "/safe/x", "r1"));
    ASSERT_EQ(ready(), 200U);
    std::this_thread::sleep_for(200ms);
    const auto refused = ask(request("GET", "/safe/x", "r2"));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_NE(refused.field("Retry-After"), "");
    EXPECT_EQ(refused.field("Connection"), "close");
}

} // namespace
} // namespace cicadaport::platform
