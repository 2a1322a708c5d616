// Hosts order engines to change their stage while the store returns from an older copy.
#include "host_fixture.h"

#include <set>

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

class stage_order_test : public fleet_test {
protected:
    struct order {
        std::string engine;
        std::uint64_t token = 0;
        std::string holder;
    };

    // Lists engines that all answer prompts, so that some are ordered to do prefills.
    stage_order_test()
    {
        for (int number = 1; number <= 6; ++number) {
            const auto id = "d-" + std::to_string(number);
            engines.push_back(std::make_unique<scripted_server>(
                [this, id](const received_request& each) { return answer(id, each); }));
            list_replica(id, engines.back()->address(), "e", R"(,"stage":"decode")");
        }
    }

    scripted_response answer(const std::string& id, const received_request& each)
    {
        if (is_status_request(each)) {
            return make_response(200, "", R"({"stage":"decode","busy":false,"sequence":0})");
        }
        if (each.path() == "/-/order") {
            const auto body = nlohmann::json::parse(each.body);
            const std::lock_guard lock{mutex};
            orders.push_back({id, body["fencing-token"], body["holder"]});
            return make_response(202, "", "");
        }
        return not_executed(each);
    }

    std::vector<order> received()
    {
        const std::lock_guard lock{mutex};
        return orders;
    }

    const std::string topic{"keyed.engine-orders"};
    std::vector<std::unique_ptr<scripted_server>> engines;

private:
    std::mutex mutex;
    std::vector<order> orders;
};

// Regression: another host announced an order at the offset of the lost announcement, and the
// engine got the same token from two holders.
TEST_F(stage_order_test, no_host_orders_an_engine_whose_announced_order_was_lost_by_the_store)
{
    start_fleet();
    ASSERT_TRUE(eventually([this] { return received().size() == 2; }));
    store.state_epoch("1");
    // All hosts have learned the epoch.
    std::this_thread::sleep_for(1s);
    const auto first = received();
    for (const auto& each : first) {
        EXPECT_EQ(store.newest(topic, each.engine),
                  "prefill " + std::to_string(each.token) + " " + each.holder);
        EXPECT_LE(each.token, store.appended(topic));
    }
    store.lose_records(topic, store.appended(topic));
    store.state_epoch("2");
    std::this_thread::sleep_for(9s);
    EXPECT_EQ(received().size(), first.size());
    EXPECT_EQ(store.appended(topic), 0U);
    ASSERT_TRUE(eventually([&] { return received().size() > first.size(); }));
    EXPECT_GT(received().back().token, 2ULL << 32U);
}

TEST_F(stage_order_test, an_order_that_hosts_heard_of_is_not_repeated_without_an_epoch)
{
    start_fleet();
    ASSERT_TRUE(eventually([this] { return received().size() == 2; }));
    std::this_thread::sleep_for(500ms);
    store.lose_records(topic, store.appended(topic));
    std::this_thread::sleep_for(9s);
    std::set<std::string> ordered;
    for (const auto& each : received()) {
        EXPECT_TRUE(ordered.insert(each.engine).second) << each.engine << ' ' << each.token;
    }
}

} // namespace
} // namespace cicadaport::platform::testing
