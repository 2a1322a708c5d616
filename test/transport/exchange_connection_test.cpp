#include "cicadaport/transport/connection_pool.h"

#include "peer.h"

#include <gtest/gtest.h>

namespace cicadaport::transport {
namespace {

using testing::peer;
using testing::run_until;

constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

// Records the events of an exchange.
class listener final : public answer_observer {
public:
    bool owns(const message_head& head) override
    {
        return !head.fields.find("Id") || *head.fields.find("Id") == "mine";
    }
    void on_head(message_head head) override { status = head.status; }
    void on_body(std::string_view piece) override { body += piece; }
    void on_complete() override { complete = true; }
    void on_failure(exchange_failure why) override { failure = why; }

    bool ended() const { return complete || failure.has_value(); }

    unsigned status = 0;
    std::string body;
    bool complete = false;
    std::optional<exchange_failure> failure;
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
        connection->send(std::string{request}, heard);
        ASSERT_TRUE(run_until(context, [&] { return heard.ended(); }));
    }

    boost::asio::io_context context;
    timer_queue timers{context};
    std::unique_ptr<peer> server;
    std::shared_ptr<exchange_connection> connection;
    listener heard;
};

TEST_F(exchange_connection_test, can_be_used_again_after_a_whole_answer)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=7\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(heard.complete);
    EXPECT_EQ(heard.body, "ok");
    EXPECT_TRUE(connection->is_reusable());
    EXPECT_EQ(connection->advertised_idle_timeout(), std::chrono::seconds{7});
}

TEST_F(exchange_connection_test, passes_over_an_answer_to_another_request)
{
    exchange("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
             "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine");
    EXPECT_TRUE(heard.complete);
    EXPECT_EQ(heard.body, "mine");
    EXPECT_FALSE(connection->is_reusable());
}

TEST_F(exchange_connection_test, is_not_used_again_when_bytes_follow_an_answer)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    EXPECT_TRUE(heard.complete);
    EXPECT_EQ(heard.body, "ok");
    EXPECT_FALSE(connection->is_reusable());
}

TEST_F(exchange_connection_test, is_not_used_again_when_the_peer_says_that_it_closes)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(heard.complete);
    EXPECT_FALSE(connection->is_reusable());
}

TEST_F(exchange_connection_test, takes_an_answer_without_length_as_whole_at_an_orderly_end)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it", ending::close);
    EXPECT_TRUE(heard.complete);
    EXPECT_EQ(heard.body, "all of it");
}

TEST_F(exchange_connection_test, takes_an_answer_without_length_as_cut_after_a_reset)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it", ending::reset);
    EXPECT_FALSE(heard.complete);
    // The head may or may not have been read before the reset arrived.
    EXPECT_NE(heard.failure, exchange_failure::not_sent);
}

TEST_F(exchange_connection_test, says_that_a_counted_answer_was_cut_short)
{
    exchange("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\npart", ending::close);
    EXPECT_EQ(heard.failure, exchange_failure::cut_short);
}

TEST_F(exchange_connection_test, says_that_a_request_without_an_answer_may_have_run)
{
    exchange("", ending::close);
    EXPECT_EQ(heard.failure, exchange_failure::unanswered);
}

TEST_F(exchange_connection_test, says_that_bytes_which_are_no_answer_cut_it_short)
{
    exchange("garbage garbage\r\n\r\n");
    EXPECT_FALSE(heard.complete);
    EXPECT_NE(heard.failure, exchange_failure::not_sent);
}

TEST_F(exchange_connection_test, says_that_nothing_was_sent_when_nobody_listens)
{
    http::address nobody;
    {
        const peer gone{context, [](peer::connection&) {}};
        nobody = gone.address();
    }
    connection = std::make_shared<exchange_connection>(context, timers, message_limits{});
    connection->connect(nobody, {});
    connection->send(std::string{request}, heard);
    ASSERT_TRUE(run_until(context, [&] { return heard.ended(); }));
    EXPECT_EQ(heard.failure, exchange_failure::not_sent);
}

TEST_F(exchange_connection_test, ends_its_connection_when_it_is_abandoned)
{
    server = std::make_unique<peer>(context, [](peer::connection&) {});
    connection = std::make_shared<exchange_connection>(context, timers, message_limits{});
    connection->connect(server->address(), {});
    connection->send(std::string{request}, heard);
    ASSERT_TRUE(run_until(context, [&] {
        return !server->connections.empty() && !server->connections[0]->received.empty();
    }));
    connection->abandon();
    EXPECT_TRUE(run_until(context, [&] { return server->connections[0]->ended; }));
    EXPECT_FALSE(heard.ended()) << "an abandoned exchange tells nothing";
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
    first->send(std::string{request}, heard);
    ASSERT_TRUE(run_until(context, [&] { return heard.ended(); }));
    pool.give_back(server->address(), first);
    EXPECT_EQ(pool.take(server->address(), reuse_rule::certain), first);
    EXPECT_EQ(pool.opened(), 1U);
}

TEST_F(exchange_connection_test, the_pool_does_not_trust_a_peer_that_states_no_idle_time)
{
    server = std::make_unique<peer>(context, [](peer::connection& from) {
        from.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    connection_pool pool{context, timers, {}, {}};
    auto first = pool.take(server->address(), reuse_rule::any);
    first->send(std::string{request}, heard);
    ASSERT_TRUE(run_until(context, [&] { return heard.ended(); }));
    pool.give_back(server->address(), first);
    const auto later = std::chrono::steady_clock::now() +
                       connection_pool::assumed_certain_idle_timeout +
                       std::chrono::milliseconds{20};
    run_until(context, [&] { return std::chrono::steady_clock::now() > later; });
    EXPECT_NE(pool.take(server->address(), reuse_rule::certain), first);
    EXPECT_EQ(pool.take(server->address(), reuse_rule::any), first);
}

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

TEST(timer_queue_test, calls_in_the_order_of_time_and_not_what_was_cancelled)
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

} // namespace
} // namespace cicadaport::transport
