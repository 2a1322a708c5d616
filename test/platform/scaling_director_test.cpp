// Tests of the director of scaling with the platform's formats, without a network.
#include "platform/wire.h"

#include "cicadaport/serving/scaling_director.h"

#include <gtest/gtest.h>

namespace cicadaport::platform {
namespace {

using duties::order_outcome;
using duties::replica_kind;

// Keeps orders instead of sending them.
class recording_authority final : public serving::scaling_authority {
public:
    std::size_t rank(const std::string& /*service*/) const override { return own_rank; }

    void send(const std::string& /*service*/, const duties::scaling_order& order,
              serving::time_point /*give_up_at*/, completion on_done) override
    {
        orders.push_back(order);
        pending.push_back(std::move(on_done));
    }

    std::size_t own_rank = 0;
    std::vector<duties::scaling_order> orders;
    std::vector<completion> pending;
};

class scaling_director_test : public ::testing::Test {
protected:
    scaling_director_test()
    {
        host.deployed = format.read_deployment(
            {"config", R"({"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":24},)"
                       R"("scale":{"min":1,"max":46,"boot-s":4.0,"spot-price":0.18,)"
                       R"("zone-prices":{"a":0.85,"b":1.2}}}]})"});
        host.endpoints_position.known_at = host.timers.now();
    }

    void list_replicas(const std::string& zone, bool is_reclaimable, int count)
    {
        for (int number = 0; number < count; ++number) {
            serving::endpoint_report report;
            report.id = zone + (is_reclaimable ? "r" : "o") + std::to_string(number);
            report.service = "s";
            report.availability_zone = zone;
            report.slots = 24;
            report.stage =
                number % 2 == 0 ? serving::engine_stage::prefill : serving::engine_stage::decode;
            report.is_reclaimable = is_reclaimable;
            host.endpoints.apply(report, host.timers.now());
        }
    }

    boost::asio::io_context context{1};
    wire format{http::address{"127.0.0.1", 1}};
    serving::host_state host{context, format, "a", {}};
    recording_authority authority;
    serving::scaling_director director{host, authority};
};

TEST_F(scaling_director_test, counts_replicas_by_zone_kind_and_stage_but_not_those_that_leave)
{
    list_replicas("a", false, 5);
    list_replicas("b", true, 3);
    serving::endpoint_report leaving;
    leaving.id = "br0";
    leaving.service = "s";
    leaving.leaving = true;
    host.endpoints.apply(leaving, host.timers.now());
    const auto view = make_scaling_view(host, *host.deployed->find_service("s"), host.timers.now());
    ASSERT_EQ(view.zones.size(), 2U);
    EXPECT_EQ(view.zones[0].of(replica_kind::ordinary).serving, 5U);
    EXPECT_EQ(view.zones[0].of(replica_kind::ordinary).prefill, 3U);
    EXPECT_EQ(view.zones[1].of(replica_kind::reclaimable).serving, 2U);
    EXPECT_EQ(view.zones[1].of(replica_kind::reclaimable).decode, 1U);
    EXPECT_FALSE(view.knows_demand) << "the other hosts are not heard";
}

TEST_F(scaling_director_test, the_first_host_orders_reclaimable_replicas)
{
    list_replicas("a", false, 20);
    list_replicas("b", false, 20);
    director.start();
    EXPECT_TRUE(authority.orders.empty()) << "other replicas may still register";
    constexpr std::chrono::seconds longest_wait{20};
    for (const auto begun = host.timers.now();
         authority.orders.empty() && host.timers.now() - begun < longest_wait;) {
        context.run_one_for(longest_wait);
    }
    ASSERT_EQ(authority.orders.size(), 2U);
    for (const auto& each : authority.orders) {
        EXPECT_EQ(each.kind, replica_kind::reclaimable);
    }
    authority.pending[0]({order_outcome::unavailable, 409, 7});
    authority.pending[1]({order_outcome::accepted, 200, 8});
    EXPECT_EQ(director.counts().unavailable, 1U);
    EXPECT_EQ(director.counts().accepted, 1U);
}

TEST_F(scaling_director_test, other_hosts_order_nothing)
{
    list_replicas("a", false, 20);
    list_replicas("b", false, 20);
    for (const std::size_t rank : {1U, 2U, 300U}) {
        authority.own_rank = rank;
        director.start();
        EXPECT_TRUE(authority.orders.empty());
    }
}

TEST_F(scaling_director_test, orders_nothing_from_an_old_view_of_the_list)
{
    list_replicas("a", false, 20);
    host.endpoints_position.known_at = host.timers.now() - std::chrono::seconds{6};
    director.start();
    EXPECT_TRUE(authority.orders.empty());
}

} // namespace
} // namespace cicadaport::platform
