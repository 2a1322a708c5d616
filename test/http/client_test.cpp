// Tests of the client against a server that sends exactly the bytes that a test passes to it.
#include "cicadaport/http/client.h"
#include "cicadaport/http/server.h"

#include <boost/asio.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace cicadaport::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

enum class ending { close, reset, shutdown_and_reset, shutdown_and_read_on };

// Returns the response to one request, which is answered with `bytes` once its head has arrived and
// the connection ended; empty if the exchange failed.
std::optional<response> exchange_with(const std::string& bytes, ending how = ending::close,
                                      const std::string& body = {})
{
    constexpr int receive_buffer_bytes = 64 * 1024;
    asio::io_context context;
    tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    acceptor.set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes});
    const address to{"127.0.0.1", acceptor.local_endpoint().port()};
    const std::jthread peer{[&] {
        asio::io_context own;
        tcp::socket socket{own};
        acceptor.accept(socket);
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        if (how == ending::shutdown_and_reset || how == ending::shutdown_and_read_on) {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        if (how == ending::shutdown_and_read_on) {
            asio::read(socket, asio::dynamic_buffer(request), ignored);
        }
        if (how == ending::reset || how == ending::shutdown_and_reset) {
            socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        }
        socket.close(ignored);
    }};
    client sender{context};
    std::optional<response> out;
    asio::co_spawn(context, sender.exchange(to, {"POST", "/", {}, body}),
                   [&](const std::exception_ptr& error, response got) {
                       if (!error) {
                           out = std::move(got);
                       }
                   });
    context.run();
    return out;
}

// Regression: an interim response was taken for the response.
TEST(client_test, skips_interim_responses)
{
    const auto answer = exchange_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: 1\r\n\r\n"
                                      "HTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 201U);
    EXPECT_EQ(answer->body, "ok");
    EXPECT_FALSE(answer->fields.find("A"));
}

// Regression: responses with a status outside of the range of status codes were accepted.
TEST(client_test, rejects_a_head_that_is_not_valid)
{
    for (const std::string head :
         {"000 X", "099 X", "600 X", "999 X", "200 X\r\nA b: x", "200 X\r\nA : x",
          "200 X\r\nA\x01: x", "200 X\r\n: x", "200 X\r\nA: \x01", "200 X\r\n\xc3: x"}) {
        EXPECT_FALSE(exchange_with("HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n")) << head;
    }
}

TEST(client_test, takes_only_an_orderly_close_for_the_end_of_a_response_without_length)
{
    const std::string bytes = "HTTP/1.1 200 X\r\n\r\npart";
    EXPECT_FALSE(exchange_with(bytes, ending::reset));
    const auto answer = exchange_with(bytes);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "part");
}

// Regression: a part of a response without a length was taken for the whole one when its peer ended
// it in an orderly way and reset the connection before it had received the whole request.
TEST(client_test, an_end_before_the_peer_has_received_the_request_is_not_the_end_of_a_response)
{
    // More than the peer's kernel receives, and less than the client's kernel takes at once.
    const std::string body(400'000, 'x');
    const std::string bytes = "HTTP/1.1 200 X\r\n\r\nbody";
    EXPECT_FALSE(exchange_with(bytes, ending::shutdown_and_reset, body));
    EXPECT_TRUE(exchange_with(bytes, ending::shutdown_and_read_on, body));
}

// Regression: chunks behind a head that allows none were left to the next response.
TEST(client_test, a_bodiless_response_that_is_streamed_has_no_body)
{
    base::io_pool pool{1};
    server listening{
        pool,
        "127.0.0.1",
        0,
        {},
        [](std::size_t, const request& message, response_writer& writer) -> asio::awaitable<void> {
            if (message.target == "/whole") {
                co_await writer.send(response{204, {}, {}});
                co_return;
            }
            co_await writer.begin_stream(response{204, {}, {}});
            co_await writer.write("piece");
            co_await writer.end_stream();
        }};
    const std::jthread thread{[&] { pool.run(); }};
    asio::io_context context;
    tcp::socket socket{context};
    socket.connect({asio::ip::make_address("127.0.0.1"), listening.port()});
    std::string input;
    for (const std::string target : {"/", "/whole", "/"}) {
        asio::write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
        const auto size = asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n");
        const auto head = input.substr(0, size);
        input.erase(0, size);
        EXPECT_EQ(head.substr(0, 12), "HTTP/1.1 204");
        EXPECT_EQ(head.find("Content-Length"), head.npos);
        EXPECT_EQ(head.find("Transfer-Encoding"), head.npos);
    }
    pool.stop();
}

} // namespace
} // namespace cicadaport::http
