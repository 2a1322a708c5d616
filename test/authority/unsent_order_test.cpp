// An order must not arrive after its sender gave up on it. The peer here stops
// reading, so that its receive window fills and bytes of the order stay in the
// sender's socket buffer.
#include "cicadaport/authority/engine_client.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <record.pb.h>

#include <array>

namespace cicadaport::authority {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t order_bytes = 30'000;
constexpr std::chrono::milliseconds limit{400};

// Listens with a small receive window and reads only after the sender gave up.
class unsent_order_test : public testing::Test {
protected:
    unsent_order_test()
    {
        constexpr int small_window = 4'096;
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size{small_window});
        m_acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        m_acceptor.listen();
    }

    http::address peer() const
    {
        http::address out;
        out.ip = "127.0.0.1";
        out.port = m_acceptor.local_endpoint().port();
        return out;
    }

    // Runs `exchange` until it gives up, then reads until the connection closes
    // and returns the number of bytes that arrived.
    std::size_t bytes_that_arrive_after(asio::awaitable<void> exchange)
    {
        asio::co_spawn(m_context, std::move(exchange), asio::detached);
        m_context.run();
        auto socket = m_acceptor.accept();
        std::array<char, 4'096> piece{};
        std::size_t total = 0;
        boost::system::error_code error;
        while (!error) {
            total += socket.read_some(asio::buffer(piece), error);
        }
        return total;
    }

    asio::awaitable<void> send_as_order()
    {
        protocol::endpoint_order order;
        order.set_order_id("a");
        order.mutable_load_model()->set_model(std::string(order_bytes, 'm'));
        m_answered = co_await m_engines.send(peer(), order, 1, limit);
    }

    asio::awaitable<void> send_as_any_request()
    {
        http::client client{m_context};
        http::request message{"POST", "/v1/orders", {}, std::string(order_bytes, 'm')};
        http::exchange_options options;
        options.fresh_connection = true;
        options.response_timeout = limit;
        try {
            co_await client.exchange(peer(), std::move(message), options);
        }
        catch (const http::exchange_error&) {
            m_answered = false;
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context};
    engine_client m_engines{m_context};
    bool m_answered = true;
};

TEST_F(unsent_order_test, a_timed_out_order_never_arrives_whole)
{
    EXPECT_LT(bytes_that_arrive_after(send_as_order()), order_bytes);
    EXPECT_FALSE(m_answered) << "the caller must wait before a different order";
}

TEST_F(unsent_order_test, without_discarding_unsent_bytes_a_request_arrives_whole)
{
    EXPECT_GE(bytes_that_arrive_after(send_as_any_request()), order_bytes);
}

} // namespace
} // namespace cicadaport::authority
