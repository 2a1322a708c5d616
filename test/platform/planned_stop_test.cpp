// Planned stops of a host, with callers that keep their connections.
#include "platform/relay_fixture.h"

namespace cicadaport::platform {
namespace {

using namespace testing;

class planned_stop_test : public host_test {
protected:
    // A replica whose streams pause for `pause` after their first event.
    static scripted_server::answer_function streams_that_pause(std::chrono::milliseconds pause)
    {
        return [pause](const received_request& each) { return pausing_stream(each, 1, 3, pause); };
    }

    // Begins a planned stop and waits until the host has taken note of it.
    void begin_stop()
    {
        process->stop();
        ASSERT_TRUE(eventually([this] { return ready() == 503; }));
    }

    // Waits until the host accepts no connections, and for the time in which the first requests of
    // those that it has accepted may arrive.
    void wait_for_close()
    {
        EXPECT_TRUE(eventually([this] {
            try {
                caller{settings.caller_address};
                return false;
            }
            catch (const boost::system::system_error&) {
                return true;
            }
        }));
        std::this_thread::sleep_for(2 * serving::planned_stop::first_request_time);
    }

    void wait_for_end()
    {
        thread.join();
        process.reset();
    }
};

// Regression: requests that followed such a stream were taken seconds after the signal, and cut.
TEST_F(planned_stop_test, a_stream_that_began_before_the_stop_is_the_last_of_its_connection)
{
    scripted_server replica{streams_that_pause(600ms)};
    list_replica("i-1", replica.address());
    settings.grace_time = 6s;
    start();
    caller kept{settings.caller_address};
    kept.send(request("POST", "/stream/x", "r1", "", "a"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    // The head of the answer is sent before the stop.
    std::this_thread::sleep_for(200ms);
    begin_stop();
    const auto first = kept.receive();
    EXPECT_TRUE(first.complete);
    EXPECT_EQ(first.field("Connection"), "");
    std::string problem;
    try {
        const auto late = kept.ask(request("POST", "/stream/x", "r2", "", "b"));
        problem = "status " + std::to_string(late.status);
        EXPECT_EQ(late.status, 0U) << "the connection must have been closed";
    }
    catch (const boost::system::system_error&) {
        // The connection was closed before the request was written.
    }
    EXPECT_EQ(replica.requests().size(), 1U) << problem;
    wait_for_end();
}

TEST_F(planned_stop_test, a_request_that_waits_behind_a_stream_is_answered)
{
    scripted_server replica{[](const received_request& each) {
        return each.path() == "/stream/x" ? pausing_stream(each, 1, 3, 600ms)
                                          : signed_answer(each, "x");
    }};
    list_replica("i-1", replica.address());
    settings.grace_time = 6s;
    start();
    caller kept{settings.caller_address};
    kept.send(request("POST", "/stream/x", "r1", "", "a") + request("GET", "/safe/x", "r2"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    begin_stop();
    EXPECT_TRUE(kept.receive().complete);
    const auto second = kept.receive();
    EXPECT_TRUE(second.complete);
    EXPECT_EQ(second.field("Request-Id"), "r2");
    EXPECT_EQ(second.field("Connection"), "close");
    wait_for_end();
}

// Regression: a request that had been read behind such an answer was dropped without an answer.
TEST_F(planned_stop_test, a_request_that_waits_behind_an_answer_that_begins_later_is_answered)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = signed_answer(each, "x");
        reply.delay = 600ms;
        return reply;
    }};
    list_replica("i-1", replica.address());
    settings.grace_time = 8s;
    start();
    caller kept{settings.caller_address};
    kept.send(request("POST", "/once/x", "r1", "", "a") + request("GET", "/safe/x", "r2"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    begin_stop();
    const auto first = kept.receive();
    EXPECT_EQ(first.status, 200U);
    EXPECT_EQ(first.field("Connection"), "");
    const auto second = kept.receive();
    EXPECT_EQ(second.status, 200U);
    EXPECT_EQ(second.field("Request-Id"), "r2");
    EXPECT_EQ(second.field("Connection"), "close");
    wait_for_end();
}

// Regression: such a request was read and dropped, and the connection ended in an orderly way.
TEST_F(planned_stop_test, a_request_that_crosses_an_answer_that_closes_is_reset)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = pausing_stream(each, 1, 3, 600ms);
        reply.delay = 500ms;
        return reply;
    }};
    list_replica("i-1", replica.address());
    settings.grace_time = 6s;
    start();
    caller kept{settings.caller_address};
    kept.send(request("POST", "/stream/x", "r1", "", "a"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    begin_stop();
    std::this_thread::sleep_for(800ms);
    kept.send(request("GET", "/safe/x", "r2"));
    const auto first = kept.receive();
    EXPECT_TRUE(first.complete);
    EXPECT_EQ(first.body, events(1, 3));
    EXPECT_EQ(first.field("Connection"), "close");
    EXPECT_TRUE(kept.ends_with_reset());
    EXPECT_EQ(replica.requests().size(), 1U);
    wait_for_end();
}

// Guards against an answer that is the last of its connection running on for nobody.
TEST_F(planned_stop_test, a_caller_that_leaves_with_a_request_that_is_left_unread_is_noticed)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = pausing_stream(each, 1, 3, 3s);
        reply.delay = 500ms;
        return reply;
    }};
    list_replica("i-1", replica.address());
    settings.grace_time = 6s;
    start();
    caller leaving{settings.caller_address};
    leaving.send(request("POST", "/stream/x", "r1", "", "a"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    begin_stop();
    std::this_thread::sleep_for(800ms);
    leaving.send(request("GET", "/safe/x", "r2"));
    std::this_thread::sleep_for(50ms);
    leaving.end_sending();
    const auto left = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([&] { return replica.abandoned() == 1; }));
    EXPECT_LT(std::chrono::steady_clock::now() - left, 1s);
    wait_for_end();
}

// Regression: all but the first of these requests were dropped without an answer.
TEST_F(planned_stop_test, requests_that_wait_at_the_end_of_the_stop_are_refused_unsent)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = signed_answer(each, "late");
        reply.delay = 20s;
        return reply;
    }};
    list_replica("i-1", replica.address());
    settings.grace_time = 2s;
    start();
    caller waiting{settings.caller_address};
    waiting.send(request("POST", "/once/x", "r1", "", "a") +
                 request("POST", "/once/x", "r2", "", "b") + request("GET", "/safe/x", "r3"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    begin_stop();
    EXPECT_EQ(waiting.receive().status, 504U) << "it may have run";
    for (const auto* const id : {"r2", "r3"}) {
        const auto refused = waiting.receive();
        EXPECT_EQ(refused.status, 503U);
        EXPECT_EQ(refused.field("Request-Id"), id);
        EXPECT_FALSE(refused.field("Retry-After").empty());
    }
    EXPECT_EQ(replica.requests().size(), 1U);
    wait_for_end();
}

// Regression: such a request was sent to a replica and cut when the host ended.
TEST_F(planned_stop_test, a_late_request_that_may_outlast_the_host_is_refused_unsent)
{
    scripted_server replica{streams_that_pause(5s)};
    list_replica("i-1", replica.address());
    settings.grace_time = 4s;
    start();
    caller slow{settings.caller_address};
    const auto bytes = request("POST", "/stream/x", "r1", "", "body");
    slow.send(bytes.substr(0, bytes.size() - 1));
    begin_stop();
    wait_for_close();
    slow.send(bytes.substr(bytes.size() - 1));
    const auto answer = slow.receive();
    EXPECT_EQ(answer.status, 503U);
    EXPECT_TRUE(answer.complete);
    EXPECT_FALSE(answer.field("Retry-After").empty());
    EXPECT_EQ(answer.field("Connection"), "close");
    EXPECT_TRUE(replica.requests().empty());
    wait_for_end();
}

// Guards against requests that may not be repeated being passed on late in the grace time and cut.
TEST_F(planned_stop_test, a_late_request_that_may_not_be_repeated_is_refused_unsent_or_answered)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = signed_answer(each, "late");
        reply.delay = 20s;
        return reply;
    }};
    list_replica("i-1", replica.address());
    settings.grace_time = 5s;
    start();
    caller patient{settings.caller_address};
    caller hasty{settings.caller_address};
    const auto may_outlast = request("POST", "/once/x", "r1", "", "body");
    auto ends_before = request("POST", "/once/x", "r2", "", "body");
    const std::string deadline = "Deadline-Ms: 5000";
    ends_before.replace(ends_before.find(deadline), deadline.size(), "Deadline-Ms: 500");
    patient.send(may_outlast.substr(0, may_outlast.size() - 1));
    hasty.send(ends_before.substr(0, ends_before.size() - 1));
    begin_stop();
    wait_for_close();
    patient.send(may_outlast.substr(may_outlast.size() - 1));
    hasty.send(ends_before.substr(ends_before.size() - 1));
    const auto refused = patient.receive();
    EXPECT_EQ(refused.status, 503U);
    EXPECT_TRUE(refused.complete);
    const auto answered = hasty.receive();
    EXPECT_EQ(answered.status, 504U) << "it may have run";
    EXPECT_TRUE(answered.complete);
    EXPECT_EQ(replica.requests().size(), 1U);
    wait_for_end();
}

// Guards against requests that other hosts relay being cut at the end of the stop: the grace time
// of the host that took them from their callers is another one.
TEST_F(planned_stop_test, a_relayed_request_that_may_outlast_the_host_is_refused_unsent)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    settings.grace_time = 5s;
    settings.accept_time_after_stop = 2s;
    start();
    begin_stop();
    const std::string attempts = "Attempts-Left: 1\r\n";
    caller other_host{settings.peers.own};
    const auto refused = other_host.ask(request("POST", "/once/x", "r1", attempts, "body"));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_FALSE(refused.field("Retry-After").empty());
    EXPECT_EQ(refused.field("Connection"), "close");
    EXPECT_TRUE(replica.requests().empty());
    auto ends_before = request("POST", "/once/x", "r2", attempts, "body");
    const std::string deadline = "Deadline-Ms: 5000";
    ends_before.replace(ends_before.find(deadline), deadline.size(), "Deadline-Ms: 500");
    EXPECT_EQ(caller{settings.peers.own}.ask(ends_before).status, 200U);
    EXPECT_EQ(ask(request("POST", "/once/x", "r3", "", "body")).status, 200U)
        << "callers may have been sent here by the balancer";
    wait_for_end();
}

TEST_F(planned_stop_test, a_late_request_that_ends_before_the_host_is_served)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    settings.grace_time = 20s;
    start();
    caller slow{settings.caller_address};
    const auto bytes = request("POST", "/once/x", "r1", "", "body");
    slow.send(bytes.substr(0, bytes.size() - 1));
    begin_stop();
    wait_for_close();
    slow.send(bytes.substr(bytes.size() - 1));
    EXPECT_EQ(slow.receive().status, 200U);
    wait_for_end();
}

// Regression: such a connection counted as idle, and what was not written yet was dropped.
TEST_F(planned_stop_test, an_answer_that_a_slow_caller_has_not_read_yet_is_sent_whole)
{
    constexpr std::size_t size = 6'000'000;
    scripted_server replica{
        [](const received_request& each) { return signed_answer(each, std::string(size, 'x')); }};
    list_replica("i-1", replica.address());
    settings.grace_time = 6s;
    start();
    caller slow{settings.caller_address};
    slow.send(request("GET", "/safe/x", "r1"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    std::this_thread::sleep_for(500ms);
    begin_stop();
    wait_for_close();
    const auto answer = slow.receive();
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body.size(), size);
    wait_for_end();
}

// Regression: the connections of such requests were reset.
TEST_F(planned_stop_test, requests_without_an_answer_at_the_end_of_the_stop_get_one)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = signed_answer(each, "late");
        reply.delay = 20s;
        return reply;
    }};
    list_replica("i-1", replica.address());
    settings.grace_time = 2s;
    start();
    caller waiting{settings.caller_address};
    waiting.send(request("POST", "/once/x", "r1", "", "order"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    begin_stop();
    const auto answer = waiting.receive();
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.status, 504U) << "it may have run";
    wait_for_end();
}

// Regression: the host did not begin to end before it was killed.
TEST_F(planned_stop_test, a_host_whose_grace_time_is_shorter_than_it_accepts_connections_ends_in_it)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    settings.grace_time = 2s;
    settings.accept_time_after_stop = 60s;
    start();
    const auto begin = std::chrono::steady_clock::now();
    process->stop();
    wait_for_end();
    EXPECT_LT(std::chrono::steady_clock::now() - begin, settings.grace_time);
}

// Another host, as far as the gossip of the tested one goes.
class gossip_peer {
public:
    explicit gossip_peer(const http::address& host)
    {
        protocol::host_news greeting;
        greeting.set_sender(1);
        const auto own = m_socket.local_endpoint();
        greeting.mutable_own()->set_ip(own.address().to_v4().to_uint());
        greeting.mutable_own()->set_port(own.port());
        m_socket.send_to(boost::asio::buffer(greeting.SerializeAsString()),
                         {boost::asio::ip::make_address(host.ip), host.port});
        m_socket.non_blocking(true);
    }

    // Reads what has arrived. Returns whether the newest greeting asks for no relayed requests;
    // empty if no greeting has arrived.
    std::optional<bool> is_told_to_relay_nothing()
    {
        std::array<char, 2'000> buffer{};
        boost::system::error_code error;
        while (!error) {
            const auto size = m_socket.receive(boost::asio::buffer(buffer), 0, error);
            protocol::host_news news;
            if (!error && news.ParseFromArray(buffer.data(), static_cast<int>(size)) &&
                news.has_own()) {
                m_newest = news.cut_off();
            }
        }
        return m_newest;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::udp::socket m_socket{m_context,
                                          {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::optional<bool> m_newest;
};

// Guards against requests being relayed to a host that is known to be stopping.
TEST_F(planned_stop_test, other_hosts_are_told_to_relay_no_more_requests)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    settings.grace_time = 4s;
    settings.accept_time_after_stop = 2s;
    start();
    gossip_peer other{settings.peers.own};
    ASSERT_TRUE(eventually([&] { return other.is_told_to_relay_nothing() == false; }));
    begin_stop();
    EXPECT_TRUE(eventually([&] { return other.is_told_to_relay_nothing() == true; }));
    wait_for_end();
}

TEST_F(planned_stop_test, a_silent_stream_is_cut_at_the_end_while_another_replica_is_asked)
{
    settings.attempts.ratio = 2;
    const auto silent = [](const received_request& each) {
        return is_status_request(each) || !each.field("Last-Event-Id").empty()
                   ? scripted_response{}
                   : pausing_stream(each, 2, 4, 1min);
    };
    scripted_server one{silent};
    scripted_server two{silent};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    settings.grace_time = 3s;
    start();
    caller waiting{settings.caller_address};
    waiting.send(request("POST", "/going/x", "r1", "", "q"));
    ASSERT_TRUE(eventually([&] { return one.requests().size() + two.requests().size() == 1; }));
    begin_stop();
    const auto answer = waiting.receive();
    EXPECT_FALSE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 2));
    const auto runs = [](const scripted_server& at) {
        return at.count([](const received_request& each) { return !is_status_request(each); });
    };
    EXPECT_EQ(runs(one), 1U);
    EXPECT_EQ(runs(two), 1U);
    wait_for_end();
}

TEST_F(planned_stop_test, an_answer_that_is_read_after_the_end_does_not_look_complete)
{
    constexpr std::size_t size = 7'900'000;
    scripted_server replica{
        [](const received_request& each) { return signed_answer(each, std::string(size, 'x')); }};
    list_replica("i-1", replica.address());
    settings.grace_time = 2s;
    start();
    caller slow{settings.caller_address};
    slow.send(request("GET", "/safe/x", "r1"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    std::this_thread::sleep_for(500ms);
    begin_stop();
    wait_for_end();
    const auto answer = slow.receive();
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.complete, answer.body.size() == size);
}

// A host that relays requests, beside fakes of hosts that are stopping.
class relay_to_stopping_host_test : public relaying_host_test {
protected:
    void SetUp() override
    {
        relaying_host_test::SetUp();
        settings.attempts.ratio = 2;
    }

    // Refuses a request as a host does that is stopping.
    static scripted_response refused_by_stop(const received_request& each)
    {
        return make_response(503,
                             "Request-Id: " + each.field("Request-Id") +
                                 "\r\nRetry-After: 0.05\r\nConnection: close\r\n",
                             "the host is stopping");
    }

    // Starts the host beside three others that all serve requests, but break off streams. The one
    // that is first asked for anything else is stopping.
    void start_beside_one_that_stops()
    {
        const auto serve = [this](const received_request& each) {
            if (each.path().starts_with("/safe/")) {
                return signed_answer(each, "x");
            }
            if (each.path().starts_with("/going/") && each.field("Last-Event-Id").empty()) {
                return stream(each, "s", events(1, 2), scripted_response::then::reset);
            }
            if (!m_has_refused.exchange(true)) {
                return refused_by_stop(each);
            }
            return each.path().starts_with("/going/")
                       ? stream(each, "s", events(3, 4), scripted_response::then::keep)
                       : signed_answer(each, "x");
        };
        one.set_answer(serve);
        two.set_answer(serve);
        three.set_answer(serve);
        start_relaying({&one, &two, &three});
        greet({&one, &two, &three});
    }

    scripted_server one{refused_by_stop};
    scripted_server two{refused_by_stop};
    scripted_server three{refused_by_stop};

private:
    std::atomic<bool> m_has_refused{false};
};

// Regression: the caller got the refusal although other hosts could take the request.
TEST_F(relay_to_stopping_host_test, a_request_that_it_refuses_goes_to_another_host)
{
    start_beside_one_that_stops();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "q")).status, 200U);
}

// Regression: the stream was cut although other hosts could continue it.
TEST_F(relay_to_stopping_host_test, a_stream_that_it_does_not_continue_goes_to_another_host)
{
    publish(2, 4);
    start_beside_one_that_stops();
    const auto answer = ask(request("POST", "/going/x", "r1", "", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

TEST_F(relay_to_stopping_host_test, a_request_that_all_hosts_refuse_is_refused)
{
    const auto serve = [](const received_request& each) {
        return each.path().starts_with("/safe/") ? signed_answer(each, "x") : refused_by_stop(each);
    };
    one.set_answer(serve);
    two.set_answer(serve);
    start_relaying({&one, &two});
    greet({&one, &two});
    const auto answer = ask(request("POST", "/once/x", "r1", "", "q"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_FALSE(answer.field("Retry-After").empty());
    for (const auto* each : {&one, &two}) {
        EXPECT_EQ(each->count([](const received_request& seen) {
            return seen.field("Request-Id") == "r1";
        }),
                  1U);
    }
}

} // namespace
} // namespace cicadaport::platform
