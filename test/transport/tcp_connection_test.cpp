#include "cicadaport/transport/tcp_connection.h"

#include "peer.h"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

#include <sys/socket.h>

namespace cicadaport::transport {
namespace {

using testing::peer;
using testing::run_until;
using tcp_socket = boost::asio::ip::tcp::socket;

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

// Consumes all input and records how the connection ended.
class end_recorder final : public connection_observer {
public:
    explicit end_recorder(tcp_connection& of) : m_connection{of} {}

    void on_input() override
    {
        received += m_connection.input();
        m_connection.consume(m_connection.input().size());
    }
    void on_end(connection_end how) override
    {
        ends.push_back(how);
        m_connection.close();
    }

    std::string received;
    std::vector<connection_end> ends;

private:
    tcp_connection& m_connection;
};

class ending_connection_test : public ::testing::Test {
protected:
    // More than the kernel takes from a writer whose peer reads nothing.
    static constexpr std::size_t blocking_bytes = 32'000'000;

    // Connects and waits until the peer has received a byte.
    void connect()
    {
        connection->set_observer(&observer);
        connection->connect(server.address());
        connection->write("x");
        ASSERT_TRUE(run_until(context, [&] {
            return !server.connections.empty() && !server.connections[0]->received.empty();
        }));
    }

    connection_end wait_for_end()
    {
        EXPECT_TRUE(run_until(context, [&] { return !observer.ends.empty(); }));
        EXPECT_EQ(observer.ends.size(), 1U);
        return observer.ends.empty() ? connection_end::failed : observer.ends[0];
    }

    tcp_socket& peer_socket() { return server.connections[0]->socket; }

    boost::asio::io_context context;
    // Reads until the first byte has come, and no more.
    peer server{context, [](peer::connection& from) { from.stop_reading = true; }};
    std::shared_ptr<tcp_connection> connection = std::make_shared<tcp_connection>(context);
    end_recorder observer{*connection};
};

// Regression: a write took the report of a reset, and the end of the input then looked orderly.
TEST_F(ending_connection_test, a_reset_while_a_write_waits_is_a_failure)
{
    connect();
    connection->write(std::string(blocking_bytes, 'x'));
    run_until(context, [&, turns = 0]() mutable { return ++turns > 3; });
    ASSERT_GT(connection->unsent(), 0U);
    server.connections[0]->say("part");
    server.connections[0]->reset();
    EXPECT_EQ(wait_for_end(), connection_end::failed);
    EXPECT_EQ(observer.received, "part") << "what came before the reset is received";
}

// Regression: the same, where the end of the input is read before the write's handler has run.
TEST_F(ending_connection_test, a_reset_that_a_write_has_not_reported_yet_is_a_failure)
{
    tcp_socket socket{context};
    socket.connect(server.endpoint());
    const auto descriptor = socket.native_handle();
    connection = std::make_shared<tcp_connection>(std::move(socket));
    end_recorder recorder{*connection};
    connection->set_observer(&recorder);
    connection->start();
    connection->write("x");
    ASSERT_TRUE(run_until(context, [&] {
        return !server.connections.empty() && !server.connections[0]->received.empty();
    }));
    // The loop finds the byte first, so that its handler runs after this one and before the
    // write's.
    server.connections[0]->say("b");
    boost::asio::post(context, [&] {
        char byte = 0;
        ASSERT_EQ(::recv(descriptor, &byte, 1, 0), 1);
        server.connections[0]->reset();
        connection->write("y");
        ASSERT_GT(connection->unsent(), 0U);
    });
    EXPECT_TRUE(run_until(context, [&] { return !recorder.ends.empty(); }));
    EXPECT_EQ(recorder.ends, std::vector{connection_end::failed});
    connection->close();
}

TEST_F(ending_connection_test, an_orderly_end_while_a_write_waits_is_orderly)
{
    connect();
    connection->write(std::string(blocking_bytes, 'x'));
    server.connections[0]->say("whole");
    peer_socket().shutdown(tcp_socket::shutdown_send);
    EXPECT_EQ(wait_for_end(), connection_end::closed);
    EXPECT_EQ(observer.received, "whole");
}

TEST_F(ending_connection_test, an_orderly_end_with_a_reset_behind_it_is_orderly)
{
    connect();
    connection->write(std::string(blocking_bytes, 'x'));
    run_until(context, [&, turns = 0]() mutable { return ++turns > 3; });
    ASSERT_GT(connection->unsent(), 0U);
    server.connections[0]->say("whole");
    peer_socket().shutdown(tcp_socket::shutdown_send);
    server.connections[0]->reset();
    EXPECT_EQ(wait_for_end(), connection_end::closed);
    EXPECT_EQ(observer.received, "whole");
}

// The kernel's own time limit for unacknowledged bytes, too, is reported to the write.
TEST_F(ending_connection_test, a_peer_that_takes_nothing_for_too_long_has_failed)
{
    connection->set_observer(&observer);
    connection->connect(server.address(), {std::chrono::milliseconds{300}});
    connection->write(std::string(blocking_bytes, 'x'));
    ASSERT_TRUE(run_until(context, [&] {
        return !server.connections.empty() && !server.connections[0]->received.empty();
    }));
    server.connections[0]->say("part");
    EXPECT_EQ(wait_for_end(), connection_end::failed);
    EXPECT_EQ(observer.received, "part");
}

} // namespace
} // namespace cicadaport::transport
