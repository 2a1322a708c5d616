// Tests of hosts whose ports are in use for a while when they start.
#include "host_fixture.h"

#include <gtest/gtest.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using testing::eventually;
using testing::received_request;
using testing::request;
using testing::scripted_server;
using testing::signed_answer;

class port_in_use_test : public testing::host_test {
protected:
    // Binds the address with a socket that other processes can't share.
    template <typename Protocol>
    typename Protocol::socket occupy(const http::address& at)
    {
        typename Protocol::socket out{context};
        out.open(Protocol::v4());
        out.bind({boost::asio::ip::make_address(at.ip), at.port});
        return out;
    }

    boost::asio::io_context context;
};

// A host whose port was in use when it started ended.
TEST_F(port_in_use_test, a_host_serves_once_the_port_of_its_callers_is_free)
{
    scripted_server replica{
        [](const received_request& each) { return signed_answer(each, "own"); }};
    list_replica("i-1", replica.address());
    auto occupant = occupy<tcp>(settings.caller_address);
    start_host();
    ASSERT_TRUE(eventually([this] { return ready() == 503; }));
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(ready(), 503U) << "callers can't connect";
    occupant.close();
    ASSERT_TRUE(eventually([this] { return ready() == 200; }));
    EXPECT_EQ(ask(request("GET", "/safe/x", "r1")).body, "own");
}

TEST_F(port_in_use_test, a_host_that_waits_for_its_port_can_be_stopped)
{
    const auto occupant = occupy<tcp>(settings.caller_address);
    start_host();
    ASSERT_TRUE(eventually([this] { return ready() == 503; }));
    const auto asked = std::chrono::steady_clock::now();
    stop_host();
    EXPECT_LT(std::chrono::steady_clock::now() - asked, settings.grace_time);
}

// A host whose port for other hosts was in use when it started never heard them.
TEST_F(port_in_use_test, a_host_hears_others_once_its_port_is_free)
{
    std::optional<udp::socket> occupant = occupy<udp>(settings.peers.own);
    auto occupant_of_relays = occupy<tcp>(settings.peers.own);
    start();
    occupant_of_relays.close();
    occupant.reset();
    EXPECT_TRUE(eventually([this] {
        boost::system::error_code error;
        tcp::socket relay{context};
        relay.connect(
            {boost::asio::ip::make_address(settings.peers.own.ip), settings.peers.own.port}, error);
        return !error;
    }));
    EXPECT_TRUE(eventually([this] {
        boost::system::error_code error;
        udp::socket probe{context};
        probe.open(udp::v4());
        probe.bind({boost::asio::ip::make_address(settings.peers.own.ip), settings.peers.own.port},
                   error);
        return error == boost::asio::error::address_in_use;
    })) << "the host has bound its port";
}

} // namespace
} // namespace cicadaport::platform
