#include "authority/process_fixture.h"

#include <gtest/gtest.h>

namespace cicadaport::authority::testing {
namespace {

TEST(process_fixture_test, a_stopped_child_is_seen_as_stopped_and_a_killed_one_as_ended)
{
    child_process child{"cicadaport-standin-log", {}, {}, "/dev/null"};
    child.signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return child.is_stopped(); }));
    child.signal(SIGKILL);
    EXPECT_TRUE(eventually([&] { return child.has_ended(); }));
}

TEST(process_fixture_test, a_free_port_is_below_the_ephemeral_range)
{
    std::ifstream range{"/proc/sys/net/ipv4/ip_local_port_range"};
    unsigned first_outgoing = 0;
    range >> first_outgoing;
    EXPECT_LT(free_port(), first_outgoing);
}

// Regression: test programs that ran at the same time drew the same port, and one of their
// processes ended with "Address already in use".
TEST(process_fixture_test, no_two_holders_draw_from_one_range_of_ports)
{
    using cicadaport::testing::port_block;
    port_block one;
    port_block other;
    EXPECT_NE(one.first(), other.first());
    for (unsigned drawn = 0; drawn < 2 * port_block::block_size; ++drawn) {
        const unsigned port = one.next();
        EXPECT_GE(port, one.first());
        EXPECT_LT(port, one.first() + port_block::block_size);
    }
}

TEST(process_fixture_test, a_process_whose_port_is_taken_is_seen_as_ended_at_once)
{
    const auto port = free_port();
    const auto address = "127.0.0.1:" + std::to_string(port);
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor taken{
        context, {boost::asio::ip::make_address("127.0.0.1"), port}, false};
    child_process child{"cicadaport-standin-log", {"--listen", address}, {}, "/dev/null"};
    EXPECT_FALSE(becomes_ready(child, free_port()));
    EXPECT_TRUE(child.has_ended());
}

} // namespace
} // namespace cicadaport::authority::testing
