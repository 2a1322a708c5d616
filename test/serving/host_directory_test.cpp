#include "cicadaport/serving/host_directory.h"

#include <gmock/gmock.h>

#include <map>
#include <set>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::SizeIs;
using ::testing::UnorderedElementsAre;

const time_point start{std::chrono::hours{1}};
constexpr std::uint32_t own_zone = 1;
constexpr std::uint32_t other_zone = 2;
constexpr host_number own_number = 7;

peer_address at(std::uint32_t ip)
{
    return {ip, 7380};
}

host_directory empty_directory()
{
    return {at(1), own_number, own_zone};
}

// Returns the directory of the first of `count` hosts, a quarter in each zone.
host_directory directory_of(std::uint32_t count)
{
    auto out = empty_directory();
    for (std::uint32_t each = 2; each <= count; ++each) {
        out.record_message(at(each), 1'000 + each, 1 + each % 4, start);
    }
    return out;
}

TEST(host_directory_test, sends_directly_to_hosts_of_small_zones)
{
    auto directory = empty_directory();
    directory.record_message(at(2), 12, own_zone, start);
    directory.record_message(at(3), 13, other_zone, start);
    directory.record_message(at(4), 14, other_zone, start);
    const auto routes = directory.routes_for_work();
    EXPECT_THAT(routes.direct, UnorderedElementsAre(at(2), at(3), at(4)));
    EXPECT_THAT(routes.relays, IsEmpty());
}

TEST(host_directory_test, hosts_that_know_each_other_have_different_ranks)
{
    constexpr std::uint32_t count = 6;
    const auto later = start + host_directory::settling_time;
    std::set<std::size_t> ranks;
    for (std::uint32_t own = 1; own <= count; ++own) {
        host_directory directory{at(own), 1'000 + own, own_zone, start};
        for (std::uint32_t other = 1; other <= count; ++other) {
            if (other != own) {
                directory.record_message(at(other), 1'000 + other, own_zone, start);
            }
        }
        ranks.insert(directory.rank_among_known(later));
        EXPECT_EQ(directory.rank_among_known(later - 1ms), host_directory::max_hosts - 1)
            << "it may not know the others yet";
    }
    EXPECT_THAT(ranks, ElementsAre(0, 1, 2, 3, 4, 5));
}

TEST(host_directory_test, requests_are_relayed_to_hosts_with_a_path_that_were_heard_lately)
{
    auto directory = empty_directory();
    directory.record_message(at(2), 12, own_zone, start);
    directory.record_message(at(3), 13, own_zone, start);
    directory.record_message(at(4), 14, other_zone, start);
    directory.record_reachability(at(2), false);
    const auto hosts = directory.hosts_with_paths(start + 1s);
    EXPECT_THAT(hosts.own_zone, ElementsAre(at(3)));
    EXPECT_THAT(hosts.other_zones, ElementsAre(at(4)));
    directory.record_reachability(at(2), true);
    EXPECT_THAT(directory.hosts_with_paths(start + 1s).own_zone, ElementsAre(at(2), at(3)));
    EXPECT_THAT(directory.hosts_with_paths(start + 3s).own_zone, IsEmpty());
}

TEST(host_directory_test, uses_one_relay_in_each_other_zone)
{
    const auto directory = directory_of(60);
    const auto routes = directory.routes_for_work();
    EXPECT_THAT(routes.direct, SizeIs(15)) << "all others of the own zone";
    EXPECT_THAT(routes.relays, SizeIs(3));
    EXPECT_EQ(directory.routes_for_work().relays, routes.relays)
        << "announcements on two routes could arrive out of order";
}

TEST(host_directory_test, heartbeats_use_different_relays_in_turn)
{
    const auto directory = directory_of(60);
    std::set<std::vector<peer_address>> seen;
    for (std::uint64_t turn = 0; turn < 20; ++turn) {
        seen.insert(directory.routes_for_heartbeat(turn).relays);
    }
    EXPECT_GT(seen.size(), 10U);
}

TEST(host_directory_test, removes_a_silent_host_and_returns_its_number)
{
    auto directory = empty_directory();
    directory.record_message(at(2), 12, own_zone, start);
    directory.record_message(at(3), 13, other_zone, start);
    EXPECT_THAT(directory.forget_silent(start + host_directory::silence_timeout), IsEmpty());
    EXPECT_THAT(directory.forget_silent(start + host_directory::silence_timeout + 1ms),
                ElementsAre(12));
    EXPECT_THAT(directory.forget_silent(start + host_directory::other_zone_silence_timeout + 1ms),
                ElementsAre(13));
    EXPECT_EQ(directory.size(), 0U);
}

TEST(host_directory_test, returns_the_process_replaced_at_an_address)
{
    auto directory = empty_directory();
    EXPECT_EQ(directory.record_message(at(2), 12, own_zone, start), 0U);
    EXPECT_EQ(directory.record_message(at(2), 12, own_zone, start), 0U);
    EXPECT_EQ(directory.record_message(at(2), 13, own_zone, start), 12U);
}

TEST(host_directory_test, a_mentioned_host_is_unconfirmed_until_its_first_message)
{
    auto directory = empty_directory();
    directory.record_mention(at(2), start);
    EXPECT_THAT(directory.unconfirmed_hosts(), ElementsAre(at(2)));
    directory.record_message(at(2), 12, own_zone, start);
    directory.record_mention(at(2), start);
    EXPECT_THAT(directory.unconfirmed_hosts(), IsEmpty());
}

TEST(host_directory_test, does_not_list_itself_as_a_peer)
{
    auto directory = empty_directory();
    directory.record_mention(at(1), start);
    directory.record_message(at(9), own_number, own_zone, start);
    EXPECT_THAT(directory.unconfirmed_hosts(), IsEmpty());
    EXPECT_EQ(directory.size(), 0U);
}

TEST(host_directory_test, a_fleet_of_a_hundred_hosts_is_one_cell)
{
    const auto directory = directory_of(100);
    EXPECT_EQ(directory.cell_count(), 1U);
    EXPECT_TRUE(directory.is_in_cell(4'711));
}

TEST(host_directory_test, a_fleet_of_410_hosts_has_cells_of_at_most_a_hundred_on_average)
{
    const auto directory = directory_of(410);
    EXPECT_EQ(directory.cell_count(), 8U);
    const auto routes = directory.routes_for_work();
    EXPECT_LT(routes.direct.size(), 30U) << "a cell has about 13 hosts in a zone";
    EXPECT_GT(directory.routes_for_heartbeat(1).direct.size(), 90U);
    std::size_t engines = 0;
    for (std::uint32_t engine = 0; engine < 720; ++engine) {
        engines += directory.is_in_cell(engine) ? 1 : 0;
    }
    EXPECT_NEAR(static_cast<double>(engines), 90, 35);
}

TEST(host_directory_test, hosts_agree_on_an_order_that_differs_from_replica_to_replica)
{
    constexpr std::uint32_t hosts = 20;
    std::set<std::size_t> first_ranks;
    for (std::uint32_t replica = 1; replica <= 10; ++replica) {
        std::set<std::size_t> ranks;
        for (std::uint32_t own = 1; own <= hosts; ++own) {
            host_directory directory{at(own), own, own_zone};
            for (std::uint32_t other = 1; other <= hosts; ++other) {
                directory.record_message(at(other), other, own_zone, start);
            }
            const auto place = directory.place_for(replica, false, start);
            EXPECT_EQ(place.hosts, hosts);
            ranks.insert(place.rank);
            if (own == 1) {
                first_ranks.insert(place.rank);
            }
        }
        EXPECT_THAT(ranks, SizeIs(hosts)) << "each rank occurs once";
    }
    EXPECT_GT(first_ranks.size(), 4U);
}

TEST(host_directory_test, a_host_that_falls_silent_is_counted_for_a_while)
{
    auto directory = directory_of(6);
    directory.forget_silent(start + 10s);
    EXPECT_EQ(directory.size(), 0U);
    EXPECT_EQ(directory.place_for(1, false, start + 10s).hosts, 6U);
    directory.forget_silent(start + 31s);
    EXPECT_EQ(directory.place_for(1, false, start + 31s).hosts, 1U);
}

// Guards against two hosts that both regard themselves as the first to act.
TEST(host_directory_test, all_hosts_compute_the_same_order_for_a_subject)
{
    constexpr std::uint32_t count = 20;
    constexpr std::uint32_t subject = 5;
    std::set<std::size_t> ranks;
    std::map<std::size_t, peer_address> by_rank;
    std::vector<duty_order> orders;
    for (std::uint32_t own = 1; own <= count; ++own) {
        host_directory directory{at(own), own, own_zone, start - 1min};
        for (std::uint32_t other = 1; other <= count; ++other) {
            directory.record_message(at(other), other, own_zone, start);
        }
        orders.push_back(directory.order_of_hosts(subject, 3, true, start));
        ranks.insert(orders.back().own_rank);
        by_rank[orders.back().own_rank] = at(own);
    }
    EXPECT_THAT(ranks, SizeIs(count));
    for (const auto& each : orders) {
        std::set<peer_address> expected;
        for (std::size_t rank = 0; rank < 3; ++rank) {
            if (rank != each.own_rank) {
                expected.insert(by_rank[rank]);
            }
        }
        std::set<peer_address> first;
        for (const auto& host : each.first) {
            first.insert(host.at);
        }
        EXPECT_EQ(first, expected);
    }
}

TEST(host_directory_test, a_host_that_has_not_settled_or_may_not_act_has_the_last_rank)
{
    constexpr auto last = std::numeric_limits<std::size_t>::max();
    host_directory directory{at(1), own_number, own_zone, start};
    EXPECT_EQ(directory.order_of_hosts(5, 3, true, start + 1s).own_rank, last);
    EXPECT_EQ(directory.order_of_hosts(5, 3, false, start + 5s).own_rank, last);
    EXPECT_EQ(directory.order_of_hosts(5, 3, true, start + 5s).own_rank, 0U);
}

// Guards against a stopping host that keeps a duty to itself.
TEST(host_directory_test, hosts_that_stop_are_left_out_of_the_order)
{
    host_directory directory{at(1), own_number, own_zone, start - 1min};
    for (std::uint32_t other = 2; other <= 9; ++other) {
        directory.record_message(at(other), other, own_zone, start);
        directory.record_reachability(at(other), false);
    }
    const auto order = directory.order_of_hosts(5, 3, true, start);
    EXPECT_EQ(order.own_rank, 0U);
    EXPECT_THAT(order.first, IsEmpty());
}

} // namespace
} // namespace cicadaport::serving
