#include "cicadaport/scenario/tcp_relay.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace cicadaport::scenario {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class tcp_relay_test : public testing::Test {
protected:
    tcp::socket connect()
    {
        tcp::socket out{m_context};
        out.connect({asio::ip::address_v4::loopback(), m_relay.port()});
        return out;
    }

    asio::io_context m_context;
    tcp::acceptor m_server{m_context, {asio::ip::address_v4::loopback(), 0}};
    tcp_relay m_relay{{"127.0.0.1", 0}, {"127.0.0.1", m_server.local_endpoint().port()}};
};

TEST_F(tcp_relay_test, passes_bytes_both_ways)
{
    auto near = connect();
    auto far = m_server.accept();
    std::array<char, 4> bytes{};
    asio::write(near, asio::buffer("ping", bytes.size()));
    asio::read(far, asio::buffer(bytes));
    EXPECT_EQ((std::string{bytes.data(), bytes.size()}), "ping");
    asio::write(far, asio::buffer("pong", bytes.size()));
    asio::read(near, asio::buffer(bytes));
    EXPECT_EQ((std::string{bytes.data(), bytes.size()}), "pong");
}

TEST_F(tcp_relay_test, closes_open_connections_when_it_is_cut)
{
    auto near = connect();
    auto far = m_server.accept();
    m_relay.set_cut(true);
    char byte = 0;
    boost::system::error_code error;
    near.read_some(asio::buffer(&byte, 1), error);
    EXPECT_TRUE(error);
    far.read_some(asio::buffer(&byte, 1), error);
    EXPECT_TRUE(error);
}

TEST_F(tcp_relay_test, closes_new_connections_while_it_is_cut_and_none_after)
{
    m_relay.set_cut(true);
    auto refused = connect();
    char byte = 0;
    boost::system::error_code error;
    refused.read_some(asio::buffer(&byte, 1), error);
    EXPECT_TRUE(error);
    m_relay.set_cut(false);
    auto near = connect();
    auto far = m_server.accept();
    asio::write(near, asio::buffer("x", 1));
    EXPECT_EQ(far.read_some(asio::buffer(&byte, 1)), 1);
}

} // namespace
} // namespace cicadaport::scenario
