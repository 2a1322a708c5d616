// A host process that changes the number of replicas, before stand-ins of the store and of the
// platform's interface for duties.
#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::received_request;

class scaling_test : public testing::host_test {
protected:
    static constexpr int replicas = 8;

    void SetUp() override
    {
        host_test::SetUp();
        store.put(std::string{testing::configuration_topic}, "config",
                  R"({"version":2,"routes":[],"services":[{"name":"e","engine":{"slots":4},)"
                  R"("scale":{"min":1,"max":20,"boot-s":0.1,"spot-price":0.2,)"
                  R"("zone-prices":{"z":1.0}}}]})");
        for (int number = 0; number < replicas; ++number) {
            list_engine("o" + std::to_string(number), number, "", "ready");
        }
        serving::duty_settings duties;
        duties.address = platform.address();
        duties.scales = true;
        settings.duties = duties;
    }

    void TearDown() override { stop_host(); }

    void list_engine(const std::string& id, int number, const std::string& more,
                     const std::string& state)
    {
        const auto stage = number % 2 == 0 ? R"(,"stage":"decode")" : R"(,"stage":"prefill")";
        list_replica(id, store.address(), "e", stage + more, state, state == "ready" ? 1 : 2);
    }

    // Carries out an order as the platform does.
    testing::scripted_response carry_out(const received_request& order)
    {
        const auto body = nlohmann::json::parse(order.body);
        const auto desired = body.at("desired").get<int>();
        if (body.contains("spot")) {
            for (int number = 0; number < desired; ++number) {
                list_engine("r" + std::to_string(number), number, R"(,"spot":true)", "ready");
            }
        }
        else {
            for (int number = desired; number < replicas; ++number) {
                list_engine("o" + std::to_string(number), number, "", "draining");
            }
        }
        return testing::make_response(200, "", "{}");
    }

    std::size_t orders(bool is_reclaimable) const
    {
        return platform.count([&](const received_request& each) {
            return each.path() == "/scale" &&
                   (each.body.find("\"spot\":true") != std::string::npos) == is_reclaimable &&
                   !each.field("Fencing-Token").empty() && each.field("Duty-Holder") == "host-1";
        });
    }

    testing::scripted_server platform{
        [this](const received_request& each) { return carry_out(each); }};
};

// Scaling is paid for by the exchange of kinds: each part of its path must work in a real host.
TEST_F(scaling_test, a_host_exchanges_ordinary_replicas_for_reclaimable_ones)
{
    start();
    EXPECT_TRUE(testing::eventually([this] { return orders(true) > 0; }));
    EXPECT_TRUE(testing::eventually([this] { return orders(false) > 0; }));
    EXPECT_NE(store.newest("keyed.duties", "scale/e/z"), "") << "orders are recorded";
}

// An operator stops scaling by the settings.
TEST_F(scaling_test, a_host_without_the_duty_orders_nothing)
{
    settings.duties->scales = false;
    start();
    std::this_thread::sleep_for(serving::host_directory::settling_time + 1s);
    EXPECT_EQ(orders(true) + orders(false), 0U);
}

} // namespace
} // namespace cicadaport::platform
