// Callers that leave while further requests of theirs wait.
#include "host_fixture.h"

namespace cicadaport::platform {
namespace {

using namespace testing;

class leaving_caller_test : public host_test {
protected:
    static constexpr int waiting_requests = 10;
    // All that wait together are more than the host reads ahead.
    static constexpr std::size_t body_bytes = 12'000;

    // Starts the host and sends it requests at once, and waits until it reads no further ones.
    void send_ahead(caller& leaving, const std::string& route)
    {
        std::string all;
        for (int number = 0; number < waiting_requests; ++number) {
            all += request("POST", "/" + route + "/x", "r" + std::to_string(number), "",
                           std::string(body_bytes, 'q'));
        }
        leaving.send(all);
        ASSERT_TRUE(eventually([this] { return replica.requests().size() == 1; }));
        std::this_thread::sleep_for(100ms);
    }

    void SetUp() override
    {
        host_test::SetUp();
        list_replica("i-1", replica.address());
        start();
    }

    // Expects that the request in progress is given up, and that no other one is begun.
    void expect_nothing_begun()
    {
        EXPECT_TRUE(eventually([this] { return replica.abandoned() == 1; }));
        std::this_thread::sleep_for(2 * pause);
        EXPECT_EQ(replica.requests().size(), 1U);
    }

    static constexpr auto pause = 1'500ms;
    scripted_server replica{
        [](const received_request& each) { return pausing_stream(each, 1, 3, pause); }};
};

// Regression: the end of a connection was not noticed while reading from it was paused, so the
// requests that waited were begun for nobody.
TEST_F(leaving_caller_test, requests_that_wait_behind_a_stream_are_not_begun)
{
    caller leaving{settings.caller_address};
    send_ahead(leaving, "stream");
    leaving.end_sending();
    expect_nothing_begun();
}

TEST_F(leaving_caller_test, requests_that_wait_on_a_connection_that_is_reset_are_not_begun)
{
    caller leaving{settings.caller_address};
    send_ahead(leaving, "going");
    leaving.reset();
    expect_nothing_begun();
}

TEST_F(leaving_caller_test, requests_that_wait_behind_a_plain_one_are_not_begun)
{
    replica.set_answer([](const received_request& each) {
        auto reply = signed_answer(each, "x");
        reply.delay = 1'500ms;
        return reply;
    });
    caller leaving{settings.caller_address};
    send_ahead(leaving, "safe");
    leaving.end_sending();
    expect_nothing_begun();
}

TEST_F(leaving_caller_test, requests_that_wait_are_all_answered_if_their_caller_stays)
{
    replica.set_answer([](const received_request& each) {
        auto reply = signed_answer(each, "x");
        reply.delay = 150ms;
        return reply;
    });
    caller patient{settings.caller_address};
    send_ahead(patient, "safe");
    for (int number = 0; number < waiting_requests; ++number) {
        const auto answer = patient.receive();
        EXPECT_EQ(answer.status, 200U);
        EXPECT_EQ(answer.field("Request-Id"), "r" + std::to_string(number));
    }
}

} // namespace
} // namespace cicadaport::platform
