#include "path_fixture.h"
#include "raw_endpoint.h"
#include "safeguard_off.h"

#include <future>

namespace cicadaport::entry {
namespace {

using base::safeguard;
using base::safeguard_off;
using std::chrono::milliseconds;

http::request stock_call(const std::string& id)
{
    auto out = caller_request("GET", "/stock", "");
    out.fields.add(request_id_field, id);
    return out;
}

// Returns the configuration with this response timeout for the route GET /stock.
std::string with_stock_timeout(std::string configuration, const std::string& limit_ms)
{
    const std::string route = "path: /stock\n";
    configuration.insert(configuration.find(route) + route.size(),
                         "        timeout_ms: " + limit_ms + "\n");
    return configuration;
}

// Answers each request with its id and immediately sends a second response.
void answer_twice(raw_endpoint::socket& connection)
{
    std::string ahead;
    for (;;) {
        const auto id = read_request(connection, ahead);
        send_text(connection, response_text(id) + response_text("of nobody"));
    }
}

TEST(endpoint_connection_test, a_surplus_response_is_discarded)
{
    const raw_endpoint duplicating{answer_twice};
    const served_gateway gateway{test_configuration({}, {duplicating.address()})};
    for (const auto* id : {"a", "b", "c", "d"}) {
        EXPECT_EQ(exchange(gateway.address(), stock_call(id)).body, id);
    }
}

TEST(endpoint_connection_test,
     without_clean_connections_a_surplus_response_reaches_the_next_request)
{
    const safeguard_off without{safeguard::clean_connection};
    const raw_endpoint duplicating{answer_twice};
    const served_gateway gateway{test_configuration({}, {duplicating.address()})};
    EXPECT_EQ(exchange(gateway.address(), stock_call("a")).body, "a");
    EXPECT_EQ(exchange(gateway.address(), stock_call("b")).body, "of nobody");
}

TEST(endpoint_connection_test, an_unsolicited_response_is_discarded)
{
    std::promise<void> sent;
    const raw_endpoint unsolicited{[&, first = true](raw_endpoint::socket& connection) mutable {
        std::string ahead;
        send_text(connection, response_text(read_request(connection, ahead)));
        if (std::exchange(first, false)) {
            // The response was received and the connection is idle.
            std::this_thread::sleep_for(milliseconds{100});
            send_text(connection, response_text("of nobody"));
            sent.set_value();
        }
        send_text(connection, response_text(read_request(connection, ahead)));
    }};
    const served_gateway gateway{test_configuration({}, {unsolicited.address()})};
    EXPECT_EQ(exchange(gateway.address(), stock_call("a")).body, "a");
    sent.get_future().wait();
    EXPECT_EQ(exchange(gateway.address(), stock_call("b")).body, "b");
}

TEST(endpoint_connection_test, a_late_response_is_discarded)
{
    std::atomic<bool> first{true};
    const raw_endpoint slow{[&](raw_endpoint::socket& connection) {
        std::string ahead;
        for (;;) {
            const auto id = read_request(connection, ahead);
            if (first.exchange(false)) {
                std::this_thread::sleep_for(milliseconds{400});
            }
            send_text(connection, response_text(id));
        }
    }};
    const served_gateway gateway{
        with_stock_timeout(test_configuration({}, {slow.address()}), "100")};
    for (const auto* id : {"a", "b", "c", "d"}) {
        EXPECT_EQ(exchange(gateway.address(), stock_call(id)).body, id);
    }
}

// Reads the first bytes of a request and resets the connection.
void reset_amid_request(raw_endpoint::socket& connection)
{
    std::array<char, 64> some{};
    boost::asio::read(connection, boost::asio::buffer(some));
    connection.set_option(boost::asio::socket_base::linger{true, 0});
    connection.close();
}

http::request large_call()
{
    constexpr std::size_t more_than_buffers_hold = 4'000'000;
    return caller_request("POST", "/confirm", std::string(more_than_buffers_hold, 'x'));
}

TEST(endpoint_connection_test, a_partly_sent_call_may_have_run_and_is_not_retried)
{
    const raw_endpoint resetting{reset_amid_request};
    const served_gateway gateway{
        test_configuration({}, {resetting.address(), resetting.address()})};
    const auto reply = exchange(gateway.address(), large_call());
    EXPECT_EQ(reply.status, 502U);
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
    EXPECT_EQ(resetting.connections(), 1U);
}

TEST(endpoint_connection_test, without_the_verdict_a_partly_sent_call_is_retried)
{
    const safeguard_off without{safeguard::verdict};
    const raw_endpoint resetting{reset_amid_request};
    const served_gateway gateway{
        test_configuration({}, {resetting.address(), resetting.address()})};
    EXPECT_EQ(exchange(gateway.address(), large_call()).fields.find(verdict_field), "not_run");
    EXPECT_EQ(resetting.connections(), 2U);
}

// Answers one request and closes the connection after reading the next.
void close_on_the_second(raw_endpoint::socket& connection)
{
    std::string ahead;
    send_text(connection, response_text(read_request(connection, ahead)));
    read_request(connection, ahead);
    connection.close();
}

TEST(endpoint_connection_test, a_non_idempotent_call_uses_a_fresh_connection)
{
    const raw_endpoint closing{close_on_the_second};
    const served_gateway gateway{test_configuration({}, {closing.address()})};
    EXPECT_EQ(exchange(gateway.address(), stock_call("a")).status, 200U);
    EXPECT_EQ(exchange(gateway.address(), caller_request("POST", "/confirm", "")).status, 200U);
}

TEST(endpoint_connection_test, without_a_fresh_connection_a_non_idempotent_call_fails)
{
    const safeguard_off without{safeguard::fresh_connection};
    const raw_endpoint closing{close_on_the_second};
    const served_gateway gateway{test_configuration({}, {closing.address()})};
    EXPECT_EQ(exchange(gateway.address(), stock_call("a")).status, 200U);
    const auto reply = exchange(gateway.address(), caller_request("POST", "/confirm", ""));
    EXPECT_EQ(reply.status, 502U);
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
}

TEST(endpoint_connection_test, a_verdict_header_from_an_endpoint_is_ignored)
{
    const raw_endpoint claiming{[](raw_endpoint::socket& connection) {
        std::string ahead;
        read_request(connection, ahead);
        send_text(connection, response_text("done", "200 OK", "Cicadaport-Verdict: not_run\r\n"));
    }};
    const served_gateway gateway{test_configuration({}, {claiming.address()})};
    const auto reply = exchange(gateway.address(), caller_request("POST", "/confirm", ""));
    EXPECT_EQ(reply.body, "done");
    EXPECT_EQ(reply.fields.find(verdict_field), "ran");
}

TEST(endpoint_connection_test, a_rejection_after_a_lost_response_may_have_run)
{
    std::atomic<bool> first{true};
    const raw_endpoint losing{[&](raw_endpoint::socket& connection) {
        std::string ahead;
        read_request(connection, ahead);
        if (!first.exchange(false)) {
            send_text(connection,
                      response_text("no", "400 Bad Request", "X-Not-Started: true\r\n"));
        }
    }};
    const served_gateway gateway{test_configuration({}, {losing.address()})};
    const auto reply = exchange(gateway.address(), stock_call("a"));
    EXPECT_EQ(reply.status, 400U);
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
}

} // namespace
} // namespace cicadaport::entry
