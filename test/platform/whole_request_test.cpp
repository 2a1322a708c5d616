// Requests that arrive whole, beside changes of the configuration and while the host is late.
#include "host_fixture.h"

#include "cicadaport/serving/caller_connection.h"

#include <csignal>

namespace cicadaport::platform {
namespace {

using namespace testing;

constexpr std::size_t long_field_size = 200'000;
const std::string wide_limits =
    R"("max-header-bytes":400000,"header-timeout-ms":400,"idle-timeout-ms":60000)";

class whole_request_test : public host_test {
protected:
    // Starts a host whose event loop can be delayed.
    void start_delayable()
    {
        list_replica("i-1", replica.address());
        process = std::make_unique<serving::host_process>(
            [this] {
                const std::chrono::milliseconds delay = loop_delay.exchange(0ms);
                is_delayed = delay > 0ms;
                std::this_thread::sleep_for(delay);
                return settings;
            },
            *wire_adapter);
        thread = std::thread{[this] { process->run(); }};
        ASSERT_TRUE(eventually([this] { return ready() == 200; }));
    }

    // The event loop runs nothing else for `time` from when the call returns.
    void delay_loop(std::chrono::milliseconds time)
    {
        is_delayed = false;
        loop_delay = time;
        std::raise(SIGHUP);
        ASSERT_TRUE(eventually([this] { return is_delayed.load(); }));
    }

    // Waits until a version is in force; it must have been published.
    void wait_for(int version)
    {
        ASSERT_TRUE(eventually([&] {
            return ask(request("GET", "/v" + std::to_string(version) + "/x", "v")).status == 200;
        }));
    }

    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    std::atomic<std::chrono::milliseconds> loop_delay{0ms};
    std::atomic<bool> is_delayed = false;
};

// Regression: such a request was read and dropped, and its connection closed.
TEST_F(whole_request_test, a_request_whose_rest_arrived_while_the_host_was_late_is_answered)
{
    publish(2, 2, 0, wide_limits);
    start_delayable();
    for (const bool kept : {false, true}) {
        caller connection{settings.caller_address};
        if (kept) {
            EXPECT_EQ(connection.ask(request("GET", "/safe/x", "r0")).status, 200U);
        }
        connection.send("POST /none/x HTTP/1.1\r\nHost: h.example\r\n");
        std::this_thread::sleep_for(100ms);
        delay_loop(600ms);
        connection.send("Request-Id: r1\r\nDeadline-Ms: 5000\r\nX: " +
                        std::string(long_field_size, 'x') + "\r\nContent-Length: 1\r\n\r\nq");
        EXPECT_EQ(connection.receive().status, 404U) << "kept " << kept;
    }
}

// Regression: the connection was closed without an answer, so that the caller could not know
// whether its request had run.
TEST_F(whole_request_test, a_request_whose_rest_does_not_arrive_in_time_is_refused)
{
    publish(2, 2, 0, wide_limits);
    start_delayable();
    for (const bool kept : {false, true}) {
        caller connection{settings.caller_address};
        if (kept) {
            EXPECT_EQ(connection.ask(request("GET", "/safe/x", "r0")).status, 200U);
        }
        connection.send("POST /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n");
        std::this_thread::sleep_for(600ms);
        connection.send("Content-Length: 1\r\n\r\nq");
        const auto answer = connection.receive();
        EXPECT_EQ(answer.status, 408U) << "kept " << kept;
        EXPECT_EQ(answer.field("Connection"), "close");
    }
    EXPECT_EQ(replica.count([](const auto& each) { return each.field("Request-Id") == "r1"; }), 0U);
}

// Regression: the rest was read and dropped after the connection had been closed.
TEST_F(whole_request_test, a_request_that_is_half_read_when_the_host_ends_is_refused)
{
    settings.grace_time = 2s;
    start_delayable();
    caller connection{settings.caller_address};
    connection.send("POST /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n");
    ASSERT_EQ(ask(request("GET", "/safe/x", "r0")).status, 200U);
    process->stop();
    const auto answer = connection.receive();
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(answer.field("Connection"), "close");
}

TEST_F(whole_request_test, a_request_keeps_the_limits_under_which_its_first_bytes_were_read)
{
    publish(2, 2, 0, R"("max-header-bytes":30000,"max-body-bytes":50000)");
    start_delayable();
    caller head{settings.caller_address};
    caller body{settings.caller_address};
    head.send("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX: " + std::string(5'000, 'x'));
    body.send(request("POST", "/once/x", "r2", "Content-Length: 40000\r\n") +
              std::string(20'000, 'q'));
    std::this_thread::sleep_for(100ms);
    publish(3, 2, 0, R"("max-header-bytes":1000,"max-body-bytes":1000,"header-timeout-ms":50)");
    wait_for(3);
    head.send(std::string(20'000, 'x') + "\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nq");
    body.send(std::string(20'000, 'q'));
    EXPECT_EQ(head.receive().status, 200U);
    EXPECT_EQ(body.receive().status, 200U);
}

TEST_F(whole_request_test, a_request_is_answered_when_its_route_goes_while_it_is_sent)
{
    replica.set_answer([](const received_request& each) {
        auto reply = signed_answer(each, "x");
        reply.delay = each.field("Request-Id") == "v" ? 0ms : 800ms;
        return reply;
    });
    start_delayable();
    caller connection{settings.caller_address};
    // The second request is read after the route has gone.
    connection.send(request("POST", "/v1/x", "r1", "", "q") + request("POST", "/v1/x", "r2"));
    ASSERT_TRUE(eventually([this] { return !replica.requests().empty(); }));
    publish(2);
    wait_for(2);
    EXPECT_EQ(connection.receive().status, 200U);
    EXPECT_EQ(connection.receive().status, 404U);
}

TEST_F(whole_request_test, all_requests_are_answered_beside_many_versions_and_a_late_host)
{
    start_delayable();
    std::atomic<bool> done = false;
    std::atomic<int> missing = 0;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int number = 0; number < 4; ++number) {
        callers.emplace_back([&, number] {
            caller connection{settings.caller_address};
            for (int round = 0; !done; ++round) {
                const auto id = std::to_string(number) + "-" + std::to_string(round);
                const auto all =
                    request("POST", "/once/x", id + "a", "", std::string(30'000, 'q')) +
                    request("GET", "/safe/x", id + "b");
                const auto split = all.size() * static_cast<std::size_t>(round % 10) / 10;
                connection.send(all.substr(0, split));
                std::this_thread::sleep_for(std::chrono::milliseconds{10 * (round % 10)});
                connection.send(all.substr(split));
                for (int each = 0; each < 2; ++each) {
                    const bool is_complete = connection.receive().complete;
                    ++(is_complete ? answered : missing);
                }
                if (missing > 0) {
                    return;
                }
            }
        });
    }
    for (int version = 2; version < 40; ++version) {
        publish(version, 1 + version % 3, 0,
                version % 2 == 0
                    ? R"("idle-timeout-ms":500,"header-timeout-ms":500,"max-body-bytes":40000)"
                    : R"("idle-timeout-ms":60000,"max-header-bytes":100000)");
        std::this_thread::sleep_for(50ms);
        if (version % 8 == 0) {
            delay_loop(450ms);
        }
    }
    done = true;
    for (auto& each : callers) {
        each.join();
    }
    EXPECT_EQ(missing, 0);
    EXPECT_GT(answered, 0);
}

TEST_F(whole_request_test, a_request_within_four_fifths_of_a_shorter_idle_timeout_is_answered)
{
    publish(2, 2, 0, R"("idle-timeout-ms":3000)");
    start_delayable();
    caller connection{settings.caller_address};
    EXPECT_EQ(connection.ask(request("GET", "/safe/x", "r0")).status, 200U);
    publish(3, 2, 0, R"("idle-timeout-ms":1000)");
    wait_for(3);
    for (int round = 1; round < 4; ++round) {
        std::this_thread::sleep_for(500ms);
        // Arrives in time, and is read after the connection's idle timeout.
        delay_loop(800ms);
        std::this_thread::sleep_for(250ms);
        EXPECT_EQ(connection.ask(request("POST", "/once/x", "r" + std::to_string(round))).status,
                  200U);
    }
}

} // namespace
} // namespace cicadaport::platform
