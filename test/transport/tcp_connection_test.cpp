#include "cicadaport/transport/tcp_connection.h"

#include "peer.h"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <stdexcept>

namespace cicadaport::transport {
namespace {

using testing::peer;
using testing::run_until;

// Throws whenever input arrives, and from on_end() if told to.
class throwing_observer final : public connection_observer {
public:
    void on_input() override { throw std::length_error{"too long"}; }
    void on_end(connection_end how) override
    {
        ++ends;
        last_end = how;
        if (throws_at_end) {
            throw std::runtime_error{"at the end"};
        }
    }

    bool throws_at_end = false;
    int ends = 0;
    connection_end last_end = connection_end::closed;
};

class tcp_connection_test : public ::testing::Test {
protected:
    // Connects, receives bytes and waits until the peer sees the end.
    void receive()
    {
        connection->set_observer(&observer);
        connection->connect(server.address());
        connection->write("x");
        ASSERT_TRUE(run_until(context, [&] { return observer.ends > 0; }));
        EXPECT_TRUE(run_until(context, [&] { return server.connections.front()->ended; }));
    }

    boost::asio::io_context context;
    peer server{context, [](peer::connection& from) { from.say("answer"); }};
    throwing_observer observer;
    std::shared_ptr<tcp_connection> connection = std::make_shared<tcp_connection>(context);
};

// An exception of one connection's observer ended the event loop and all other connections.
TEST_F(tcp_connection_test, ends_alone_when_its_observer_throws)
{
    EXPECT_NO_THROW(receive());
    EXPECT_EQ(observer.ends, 1);
    EXPECT_EQ(observer.last_end, connection_end::failed);
    EXPECT_FALSE(connection->is_open());
}

// The observer must not be told twice that its connection has ended.
TEST_F(tcp_connection_test, reports_its_end_once_if_that_throws_too)
{
    observer.throws_at_end = true;
    EXPECT_NO_THROW(receive());
    EXPECT_EQ(observer.ends, 1);
    EXPECT_FALSE(connection->is_open());
}

// Consumes all input and counts it.
class counting_observer final : public connection_observer {
public:
    explicit counting_observer(tcp_connection& of) : m_connection{of} {}

    void on_input() override
    {
        received += m_connection.input().size();
        m_connection.consume(m_connection.input().size());
    }
    void on_end(connection_end) override {}

    std::size_t received = 0;

private:
    tcp_connection& m_connection;
};

// Idle connections kept the memory of the largest message that they had carried.
TEST(idle_tcp_connection_test, frees_the_memory_of_large_messages)
{
    constexpr std::size_t million = 1'000'000;
    const std::string message(million, 'x');
    boost::asio::io_context context;
    peer server{context, [&](peer::connection& from) {
                    if (from.received.size() == million) {
                        boost::asio::async_write(from.socket, boost::asio::buffer(message),
                                                 [](boost::system::error_code, std::size_t) {});
                    }
                }};
    const auto connection = std::make_shared<tcp_connection>(context);
    counting_observer observer{*connection};
    connection->set_observer(&observer);
    connection->connect(server.address());
    connection->write(message);
    ASSERT_TRUE(run_until(context, [&] { return observer.received == million; }));
    EXPECT_LT(connection->buffer_capacity(), million / 10);
    connection->close();
}

// Leaves the input where it is and counts the calls.
class waiting_observer final : public connection_observer {
public:
    void on_input() override { ++calls; }
    void on_end(connection_end) override {}

    int calls = 0;
};

// Input that was left for later was reported to an owner that had closed its connection meanwhile.
TEST_F(tcp_connection_test, reports_no_input_after_it_was_closed)
{
    waiting_observer waiting;
    connection->set_observer(&waiting);
    connection->connect(server.address());
    connection->write("x");
    ASSERT_TRUE(run_until(context, [&] { return waiting.calls == 1; }));
    connection->report_input_later();
    ASSERT_TRUE(run_until(context, [&] { return waiting.calls == 2; }));
    connection->report_input_later();
    connection->close();
    context.restart();
    context.poll();
    EXPECT_EQ(waiting.calls, 2);
}

} // namespace
} // namespace cicadaport::transport
