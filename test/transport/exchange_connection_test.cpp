#include "cicadaport/transport/connection_pool.h"

#include "peer.h"

#include <gtest/gtest.h>

namespace cicadaport::transport {
namespace {

using testing::peer;
using testing::run_until;

constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

// Records the events of an exchange.
class exchange_recorder final : public answer_observer {
public:
    bool owns(const message_head& head) override
    {
        return !head.fields.find("Id") || *head.fields.find("Id") == "mine";
    }
    void on_head(message_head head) override { status = head.status; }
    void on_body(std::string_view piece) override
    {
        body += piece;
        if (on_piece) {
            on_piece();
        }
    }
    void on_complete() override { complete = true; }
    void on_failure(exchange_failure why) override { failure = why; }

    bool ended() const { return complete || failure.has_value(); }

    unsigned status = 0;
    std::string body;
    bool complete = false;
    std::optional<exchange_failure> failure;
    std::function<void()> on_piece;
};

class exchange_connection_test : public ::testing::Test {
protected:
    // Sends the request to a peer that responds with `answer` and then, depending on
    // the ending, keeps its side open, closes it in an orderly way or resets it.
    enum class ending { keep, close, reset };

    void exchange(const std::string& answer, ending how = ending::keep)
    {
        server = std::make_unique<peer>(context, [answer, how](peer::connection& from) {
            from.say(answer);
            if (how == ending::close) {
                from.socket.close();
            }
            else if (how == ending::reset) {
                from.reset();
            }
        });
        connection = std::make_shared<exchange_connection>(context, timers, message_limits{});
        connection->connect(server->address(), {});
        connection->send(std::string{request}, recorder);
        ASSERT_TRUE(run_until(context, [&] { return recorder.ended(); }));
    }

    boost::asio::io_context context;
    timer_queue timers{context};
    std::unique_ptr<peer> server;
    std::shared_ptr<exchange_connection> connection;
    exchange_recorder recorder;
};

TEST_F(exchange_connection_test, can_be_reused_after_a_complete_response)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=7\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(recorder.complete);
    EXPECT_EQ(recorder.body, "ok");
    EXPECT_TRUE(connection->is_reusable());
    EXPECT_EQ(connection->advertised_idle_timeout(), std::chrono::seconds{7});
}

TEST_F(exchange_connection_test, skips_a_response_to_another_request)
{
    exchange("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
             "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine");
    EXPECT_TRUE(recorder.complete);
    EXPECT_EQ(recorder.body, "mine");
    EXPECT_FALSE(connection->is_reusable());
}

// Regression: an interim response was taken for the response unless its observer knew better, and
// the final one was left to the next request of the connection.
TEST_F(exchange_connection_test, skips_interim_responses)
{
    exchange("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nContent-Length: 9\r\n\r\n"
             "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine");
    EXPECT_TRUE(recorder.complete);
    EXPECT_EQ(recorder.status, 200U);
    EXPECT_EQ(recorder.body, "mine");
}

TEST_F(exchange_connection_test, is_not_reused_when_bytes_follow_a_response)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    EXPECT_TRUE(recorder.complete);
    EXPECT_EQ(recorder.body, "ok");
    EXPECT_FALSE(connection->is_reusable());
}

TEST_F(exchange_connection_test, is_not_reused_when_the_peer_announces_a_close)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(recorder.complete);
    EXPECT_FALSE(connection->is_reusable());
}

TEST_F(exchange_connection_test, completes_a_response_without_length_at_an_orderly_close)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it", ending::close);
    EXPECT_TRUE(recorder.complete);
    EXPECT_EQ(recorder.body, "all of it");
}

TEST_F(exchange_connection_test, does_not_complete_a_response_without_length_after_a_reset)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it", ending::reset);
    EXPECT_FALSE(recorder.complete);
    // The head may or may not have been read before the reset arrived.
    EXPECT_NE(recorder.failure, exchange_failure::not_sent);
}

TEST_F(exchange_connection_test, reports_a_response_shorter_than_its_length_as_cut_short)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\npart", ending::close);
    EXPECT_EQ(recorder.failure, exchange_failure::cut_short);
}

// Guards against answers that are framed as whole although their head was truncated.
TEST_F(exchange_connection_test, does_not_complete_a_response_that_ends_inside_its_head)
{
    const std::string fields = "HTTP/1.1 200 OK\r\nId: mine\r\nResponse-Seal: 3e1b.07\r\n";
    const std::string earlier = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother";
    for (const std::string& head :
         {fields + "\r\n", fields + "Content-Length: 0\r\n\r\n",
          fields + "Transfer-Encoding: chunked\r\n\r\n", earlier + fields + "\r\n"}) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            for (const auto how : {ending::close, ending::reset}) {
                recorder = {};
                exchange(head.substr(0, size), how);
                EXPECT_FALSE(recorder.complete) << head.substr(0, size);
                EXPECT_EQ(recorder.status, 0U) << head.substr(0, size);
            }
        }
    }
}

TEST_F(exchange_connection_test, reports_a_request_without_a_response_as_unanswered)
{
    exchange("", ending::close);
    EXPECT_EQ(recorder.failure, exchange_failure::unanswered);
}

TEST_F(exchange_connection_test, fails_on_bytes_that_are_not_http)
{
    exchange("garbage garbage\r\n\r\n");
    EXPECT_FALSE(recorder.complete);
    EXPECT_NE(recorder.failure, exchange_failure::not_sent);
}

TEST_F(exchange_connection_test, reports_not_sent_when_nobody_listens)
{
    http::address nobody;
    {
        const peer gone{context, [](peer::connection&) {}};
        nobody = gone.address();
    }
    connection = std::make_shared<exchange_connection>(context, timers, message_limits{});
    connection->connect(nobody, {});
    connection->send(std::string{request}, recorder);
    ASSERT_TRUE(run_until(context, [&] { return recorder.ended(); }));
    EXPECT_EQ(recorder.failure, exchange_failure::not_sent);
}

TEST_F(exchange_connection_test, closes_the_connection_when_abandoned)
{
    server = std::make_unique<peer>(context, [](peer::connection&) {});
    connection = std::make_shared<exchange_connection>(context, timers, message_limits{});
    connection->connect(server->address(), {});
    connection->send(std::string{request}, recorder);
    ASSERT_TRUE(run_until(context, [&] {
        return !server->connections.empty() && !server->connections[0]->received.empty();
    }));
    connection->abandon();
    EXPECT_TRUE(run_until(context, [&] { return server->connections[0]->ended; }));
    EXPECT_FALSE(recorder.ended()) << "an abandoned exchange tells nothing";
}

// Regression: a connection whose reading was paused at the end of a response kept it paused, and
// the next response was never read.
TEST_F(exchange_connection_test, reads_the_next_response_after_one_that_ended_while_paused)
{
    recorder.on_piece = [this] { connection->pause_reading(); };
    exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(connection->is_reusable());
    exchange_recorder next;
    connection->send(std::string{request}, next);
    EXPECT_TRUE(run_until(context, [&] { return next.complete; }));
    server->connections[0]->socket.close();
    EXPECT_TRUE(run_until(context, [&] { return !connection->is_open(); }));
}

TEST_F(exchange_connection_test, an_idle_connection_is_dropped_when_bytes_arrive_on_it)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(connection->is_reusable());
    server->connections[0]->say("HTTP/1.1 200 OK\r\n\r\n");
    EXPECT_TRUE(run_until(context, [&] { return !connection->is_open(); }));
}

TEST_F(exchange_connection_test, the_pool_gives_a_kept_connection_to_the_next_request)
{
    server = std::make_unique<peer>(context, [](peer::connection& from) {
        from.say("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n");
    });
    connection_pool pool{context, timers, {}, {}};
    auto first = pool.take(server->address(), reuse_rule::any);
    first->send(std::string{request}, recorder);
    ASSERT_TRUE(run_until(context, [&] { return recorder.ended(); }));
    pool.give_back(server->address(), first);
    EXPECT_EQ(pool.take(server->address(), reuse_rule::certain), first);
    EXPECT_EQ(pool.opened(), 1U);
}

TEST_F(exchange_connection_test, the_pool_limits_reuse_when_the_peer_advertises_no_idle_timeout)
{
    server = std::make_unique<peer>(context, [](peer::connection& from) {
        from.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    connection_pool pool{context, timers, {}, {}};
    auto first = pool.take(server->address(), reuse_rule::any);
    first->send(std::string{request}, recorder);
    ASSERT_TRUE(run_until(context, [&] { return recorder.ended(); }));
    pool.give_back(server->address(), first);
    const auto later = std::chrono::steady_clock::now() +
                       connection_pool::assumed_certain_idle_timeout +
                       std::chrono::milliseconds{20};
    run_until(context, [&] { return std::chrono::steady_clock::now() > later; });
    EXPECT_NE(pool.take(server->address(), reuse_rule::certain), first);
    EXPECT_EQ(pool.take(server->address(), reuse_rule::any), first);
}

// What a peer does after a response to a request that it has not read to its end.
enum class early_end {
    reset,
    // It ends its sending side in an orderly way, and resets the connection.
    end_and_reset,
    end_and_read_on,
    end_and_read_nothing,
};

struct early_response {
    std::string name;
    std::size_t request_bytes;
    std::string response;
    early_end end;
    // Time from the response to the reset.
    std::chrono::milliseconds reset_after;
    bool is_complete;
};

void PrintTo(const early_response& each, std::ostream* out)
{
    *out << each.name;
}

std::vector<early_response> early_responses()
{
    using std::chrono::milliseconds;
    const std::string success = "HTTP/1.1 200 OK\r\nId: mine\r\n";
    const std::string unframed = success + "\r\nok";
    const std::string framed = success + "Content-Length: 2\r\n\r\nok";
    const std::string failure = "HTTP/1.1 413 X\r\nId: mine\r\n\r\nok";
    std::vector<early_response> out;
    // Of the first request the process itself holds a part, of the second one only its kernel.
    for (const auto& [kind, bytes] :
         {std::pair{"blocked_", 16'000'000}, std::pair{"buffered_", 400'000}}) {
        const auto size = static_cast<std::size_t>(bytes);
        const std::string name{kind};
        for (const auto after : {milliseconds{0}, milliseconds{50}}) {
            const auto suffix = after.count() == 0 ? "" : "_later";
            out.push_back(
                {name + "reset" + suffix, size, unframed, early_end::reset, after, false});
            out.push_back({name + "end_and_reset" + suffix, size, unframed,
                           early_end::end_and_reset, after, false});
        }
        out.push_back({name + "end_and_nothing_read",
                       size,
                       unframed,
                       early_end::end_and_read_nothing,
                       {},
                       false});
        out.push_back(
            {name + "end_and_rest_read", size, unframed, early_end::end_and_read_on, {}, true});
        out.push_back({name + "length_and_end_and_reset", size, framed, early_end::end_and_reset,
                       milliseconds{50}, true});
        out.push_back({name + "failure_and_end_and_reset", size, failure, early_end::end_and_reset,
                       milliseconds{50}, true});
    }
    return out;
}

// Regression: a part of a response without a length was complete when its peer ended it in an
// orderly way before it had taken the whole request.
class early_response_test : public ::testing::TestWithParam<early_response> {
protected:
    void respond(peer::connection& to)
    {
        if (std::exchange(has_responded, true)) {
            return;
        }
        boost::system::error_code ignored;
        const auto end = GetParam().end;
        to.stop_reading = end != early_end::end_and_read_on;
        to.say(GetParam().response);
        if (end != early_end::reset) {
            to.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        }
        if (end == early_end::reset || end == early_end::end_and_reset) {
            reset = timers.call_at(timers.now() + GetParam().reset_after, [&to] { to.reset(); });
        }
    }

    boost::asio::io_context context;
    timer_queue timers{context};
    timer_queue::handle reset;
    peer server{context, [this](peer::connection& from) { respond(from); }};
    bool has_responded = false;
    exchange_recorder recorder;
};

TEST_P(early_response_test, is_complete_only_if_its_end_is_known)
{
    constexpr int receive_buffer_bytes = 64 * 1024;
    server.set_receive_buffer(receive_buffer_bytes);
    exchange_connection::times limits;
    limits.socket.peer_silence = std::chrono::milliseconds{500};
    const auto connection =
        std::make_shared<exchange_connection>(context, timers, message_limits{});
    connection->connect(server.address(), limits);
    connection->send(std::string{request} + std::string(GetParam().request_bytes, 'x'), recorder);
    ASSERT_TRUE(run_until(context, [&] { return recorder.ended(); }));
    EXPECT_EQ(recorder.complete, GetParam().is_complete);
    EXPECT_NE(recorder.failure, exchange_failure::not_sent);
    connection->abandon();
}

INSTANTIATE_TEST_SUITE_P(endings, early_response_test, ::testing::ValuesIn(early_responses()),
                         [](const auto& each) { return each.param.name; });

TEST(timer_queue_test, a_deadline_is_set_until_it_has_passed_or_is_cancelled)
{
    boost::asio::io_context context;
    timer_queue timers{context};
    timer_queue::handle none;
    EXPECT_FALSE(none.is_set());
    auto passing = timers.call_at(timer_queue::now(), [] {});
    auto cancelled = timers.call_at(timer_queue::now() + std::chrono::hours{1}, [] {});
    EXPECT_TRUE(passing.is_set());
    cancelled.cancel();
    EXPECT_FALSE(cancelled.is_set());
    context.run();
    EXPECT_FALSE(passing.is_set());
}

TEST(timer_queue_test, runs_actions_in_deadline_order_and_skips_cancelled_ones)
{
    boost::asio::io_context context;
    timer_queue timers{context};
    std::string called;
    const auto now = timer_queue::now();
    const auto late = timers.call_at(now + std::chrono::milliseconds{30}, [&] { called += 'b'; });
    const auto soon = timers.call_at(now + std::chrono::milliseconds{10}, [&] { called += 'a'; });
    auto never = timers.call_at(now + std::chrono::milliseconds{20}, [&] { called += 'x'; });
    never.cancel();
    EXPECT_TRUE(run_until(context, [&] { return called.size() == 2; }));
    EXPECT_EQ(called, "ab");
}

// Regression: the bytes of an order left after its time when the process was suspended while the
// connection was established.
TEST_F(exchange_connection_test, sends_nothing_if_the_connection_is_established_after_the_deadline)
{
    server = std::make_unique<peer>(context, [](peer::connection&) { ADD_FAILURE() << "sent"; });
    connection = std::make_shared<exchange_connection>(context, timers, message_limits{});
    connection->connect(server->address(), {});
    connection->send(std::string{request}, recorder, timer_queue::now());
    ASSERT_TRUE(run_until(context, [&] { return recorder.ended(); }));
    EXPECT_EQ(recorder.failure, exchange_failure::not_sent);
}

} // namespace
} // namespace cicadaport::transport
