#include "cicadaport/http/server.h"

#include "cicadaport/http/client.h"

#include <gtest/gtest.h>

#include <thread>

namespace cicadaport::http {
namespace {

namespace asio = boost::asio;

// A server with one worker and a handler given by the test.
class server_test : public testing::Test {
protected:
    server_test()
        : m_server{m_pool,
                   "127.0.0.1",
                   0,
                   {},
                   [this](std::size_t, const request& message, response_writer& writer) {
                       return answer(message, writer);
                   }},
          m_thread{[this] { m_pool.run(); }}
    {
    }

    ~server_test() override { m_pool.stop(); }

    static asio::awaitable<void> answer(const request& message, response_writer& writer)
    {
        if (message.target == "/cut") {
            co_await writer.begin_stream({});
            co_await writer.write("half");
            co_return;
        }
        response reply{200, {}, message.body};
        co_await writer.send(std::move(reply));
    }

    // Runs one exchange on a separate event loop and rethrows its error.
    response exchange(request message)
    {
        asio::io_context context;
        client sender{context};
        std::exception_ptr failure;
        response got;
        const address to{"127.0.0.1", m_server.port()};
        asio::co_spawn(context, sender.exchange(to, std::move(message)),
                       [&](std::exception_ptr error, response reply) {
                           failure = error;
                           got = std::move(reply);
                       });
        context.run();
        if (failure) {
            std::rethrow_exception(failure);
        }
        return got;
    }

    base::io_pool m_pool{1};
    server m_server;
    std::jthread m_thread;
};

TEST_F(server_test, answers_a_request)
{
    EXPECT_EQ(exchange({"POST", "/echo", {}, "hello"}).body, "hello");
}

TEST_F(server_test, an_incomplete_response_is_reported_as_cut_short)
{
    EXPECT_THROW(exchange({"GET", "/cut", {}, {}}), exchange_error);
}

TEST_F(server_test, a_body_over_the_limit_is_rejected)
{
    constexpr std::size_t too_much = 5U * 1024 * 1024;
    try {
        EXPECT_EQ(exchange({"POST", "/echo", {}, std::string(too_much, 'x')}).status, 413U);
    }
    catch (const exchange_error& error) {
        // The connection may close before the whole body was sent.
        EXPECT_EQ(error.outcome(), base::verdict::may_have_run);
    }
}

TEST(client_test, a_refused_connection_means_not_run)
{
    asio::io_context context;
    client sender{context};
    std::exception_ptr failure;
    const address nobody{"127.0.0.1", 1};
    asio::co_spawn(context, sender.exchange(nobody, {"GET", "/", {}, {}}),
                   [&](std::exception_ptr error, const response&) { failure = error; });
    context.run();
    ASSERT_TRUE(failure);
    try {
        std::rethrow_exception(failure);
    }
    catch (const exchange_error& error) {
        EXPECT_EQ(error.outcome(), base::verdict::not_run);
    }
}

} // namespace
} // namespace cicadaport::http
