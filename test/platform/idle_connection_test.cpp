// Idle connections of callers that a host closes.
#include "host_fixture.h"

#include "cicadaport/serving/caller_connection.h"

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

class idle_connection_test : public ::testing::Test {
protected:
    // Connects a caller, whose connection has been idle for as long as a closing host waits.
    void connect()
    {
        client.connect(acceptor.local_endpoint());
        connection = std::make_shared<serving::caller_connection>(host, connections, slots,
                                                                  acceptor.accept());
        connection->start();
        context.run_for(serving::caller_connection::min_idle_time + 50ms);
    }

    // Returns what the caller receives until its connection is closed, or the first bytes.
    std::string receive()
    {
        context.run_for(100ms);
        std::array<char, 1024> buffer{};
        boost::system::error_code error;
        client.non_blocking(true);
        return {buffer.data(), client.read_some(boost::asio::buffer(buffer), error)};
    }

    // Returns whether the caller's connection was reset.
    bool is_reset()
    {
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(client.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return error != 0;
    }

    boost::asio::io_context context;
    wire adapter{http::address{"127.0.0.1", 1}};
    serving::host_state host{context, adapter, "z", {}};
    serving::connection_slots slots{1};
    serving::caller_set connections;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    boost::asio::io_context client_context;
    tcp::socket client{client_context};
    std::shared_ptr<serving::caller_connection> connection;
};

// Regression: the host closed such a connection, and the request was neither answered nor refused.
TEST_F(idle_connection_test, is_not_closed_when_a_request_has_arrived_that_was_not_read_yet)
{
    connect();
    boost::asio::write(client, boost::asio::buffer(testing::request("GET", "/safe/x", "r1")));
    std::this_thread::sleep_for(20ms);
    connection->close_if_idle();
    EXPECT_TRUE(receive().starts_with("HTTP/1.1 503")) << "there is no configuration yet";
}

TEST_F(idle_connection_test, is_closed_when_nothing_has_arrived)
{
    connect();
    connection->close_if_idle();
    EXPECT_EQ(receive(), "");
    EXPECT_FALSE(connection->is_answering());
}

// Regression: the host read such a request and dropped it, and its caller could not tell.
TEST_F(idle_connection_test, is_reset_when_a_request_crosses_its_close)
{
    connect();
    connection->close_if_idle();
    boost::asio::write(client, boost::asio::buffer(testing::request("POST", "/once/x", "r1")));
    context.run_for(1'200ms);
    EXPECT_TRUE(connections.empty());
    EXPECT_TRUE(is_reset());
}

TEST_F(idle_connection_test, is_not_reset_when_its_caller_closes_it_too)
{
    connect();
    connection->close_if_idle();
    client.shutdown(tcp::socket::shutdown_send);
    EXPECT_EQ(receive(), "");
    EXPECT_TRUE(connections.empty());
    EXPECT_FALSE(is_reset());
}

} // namespace
} // namespace cicadaport::platform
