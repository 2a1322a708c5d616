// The store returns from an older copy of its data while hosts serve requests.
#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

class store_return_test : public fleet_test {
protected:
    store_return_test()
    {
        settings.max_apply_delay = 2s;
        settings.max_leaving_delay = 2s;
        list_replica("i-1", replica.address());
    }

    // Starts hosts that know versions 1 to 4 of the configuration.
    void start_with_four_versions()
    {
        for (const int version : {2, 3, 4}) {
            publish(version);
        }
        start_fleet();
        ASSERT_TRUE(all_serve(4));
    }

    // The store is away for a moment and returns without its last `lost` versions.
    void return_without(std::size_t lost)
    {
        store.refuse(503);
        std::this_thread::sleep_for(1s);
        store.lose_records(std::string{configuration_topic}, lost);
    }

    unsigned status_of(const running_host& host, const std::string& route)
    {
        const auto id = "r" + std::to_string(++m_requests);
        return caller{host.settings.caller_address}
            .ask(request("GET", "/" + route + "/x", id))
            .status;
    }

    // Returns whether all hosts serve the route that only `version` has, within the time in which
    // an acknowledged version has to be in force.
    bool all_serve(int version)
    {
        const auto limit = std::chrono::steady_clock::now() + settings.max_apply_delay;
        const auto route = "v" + std::to_string(version);
        return std::all_of(fleet.begin(), fleet.end(), [&](const running_host& each) {
            while (status_of(each, route) != 200) {
                if (std::chrono::steady_clock::now() > limit) {
                    return false;
                }
                std::this_thread::sleep_for(20ms);
            }
            return true;
        });
    }

    scripted_server replica{
        [](const received_request& each) { return signed_answer(each, "body"); }};

private:
    int m_requests = 0;
};

// Regression: hosts took the end of the returned list for the end that they knew, and refused
// requests on routes of acknowledged versions until the next write.
TEST_F(store_return_test, versions_of_a_list_that_has_grown_to_its_old_length_are_in_force)
{
    start_with_four_versions();
    return_without(2);
    publish(5);
    publish(6);
    store.refuse(0);
    EXPECT_TRUE(all_serve(6));
    return_without(1);
    publish(7);
    store.refuse(0);
    EXPECT_TRUE(all_serve(7));
}

TEST_F(store_return_test, versions_of_a_list_that_has_grown_beyond_its_old_length_are_in_force)
{
    start_with_four_versions();
    return_without(3);
    for (const int version : {5, 6, 7, 8}) {
        publish(version);
    }
    store.refuse(0);
    EXPECT_TRUE(all_serve(8));
}

// Regression: a list that ended before what a host had read counted as read to its end.
TEST_F(store_return_test, a_shorter_list_is_read_although_the_store_answers_reads_beyond_its_end)
{
    store.allow_reads_beyond_end(true);
    start_with_four_versions();
    return_without(3);
    publish(5);
    store.refuse(0);
    EXPECT_TRUE(all_serve(5));
}

TEST_F(store_return_test, a_return_is_noticed_by_the_epoch_without_an_interruption)
{
    store.state_epoch("1");
    start_with_four_versions();
    store.lose_records(std::string{configuration_topic}, 2);
    publish(5);
    publish(6);
    store.state_epoch("2");
    EXPECT_TRUE(all_serve(6));
}

TEST_F(store_return_test, an_epoch_that_goes_back_or_is_no_number_interrupts_nothing)
{
    store.state_epoch("3");
    start_with_four_versions();
    for (const auto* text : {"2", "x", "-1", "99999999999999999999", ""}) {
        store.state_epoch(text);
        std::this_thread::sleep_for(100ms);
        EXPECT_EQ(status_of(fleet.front(), "v4"), 200U) << text;
    }
    store.state_epoch("3");
    publish(5);
    EXPECT_TRUE(all_serve(5));
}

TEST_F(store_return_test, the_configuration_does_not_go_back_to_the_version_of_the_copy)
{
    start_with_four_versions();
    return_without(2);
    store.refuse(0);
    const auto end = std::chrono::steady_clock::now() + 1s;
    while (std::chrono::steady_clock::now() < end) {
        for (const auto& each : fleet) {
            ASSERT_EQ(status_of(each, "v4"), 200U);
            ASSERT_THAT(status_of(each, "v2"), ::testing::AnyOf(404U, 503U));
        }
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_TRUE(eventually([this] { return status_of(fleet.front(), "v2") == 404; }));
    publish(4);
    publish(5);
    EXPECT_TRUE(all_serve(5));
}

// Regression: a version that was lost with the copy was missing in a list that had just been read,
// so requests on its routes were refused for good.
TEST_F(store_return_test, requests_without_a_route_are_rejected_until_versions_are_written_again)
{
    store.state_epoch("1");
    start_with_four_versions();
    store.lose_records(std::string{configuration_topic}, 1);
    store.state_epoch("2");
    EXPECT_TRUE(eventually([this] { return status_of(fleet.front(), "v9") == 503; }));
    EXPECT_TRUE(eventually([this] { return status_of(fleet.front(), "v9") == 404; }));
}

TEST_F(store_return_test, a_replica_whose_entry_was_lost_is_used_until_it_can_have_written_it_again)
{
    start_with_four_versions();
    store.state_epoch("1");
    std::this_thread::sleep_for(1s);
    store.lose_records(std::string{replicas_topic}, 1);
    store.state_epoch("2");
    const auto returned = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < returned + 2s) {
        for (const auto& each : fleet) {
            ASSERT_EQ(status_of(each, "safe"), 200U);
        }
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_TRUE(eventually([this] {
        return std::all_of(fleet.begin(), fleet.end(),
                           [this](const auto& each) { return status_of(each, "safe") == 503; });
    })) << "an entry that is still missing is gone";
}

TEST_F(store_return_test, a_replica_that_takes_the_place_of_a_lost_entry_is_used)
{
    start_with_four_versions();
    scripted_server other{[](const received_request& each) { return signed_answer(each, "2"); }};
    store.refuse(503);
    std::this_thread::sleep_for(1s);
    store.lose_records(std::string{replicas_topic}, 1);
    list_replica("i-2", other.address());
    store.refuse(0);
    EXPECT_TRUE(eventually([&] {
        for (const auto& each : fleet) {
            status_of(each, "safe");
        }
        return other.count([](const received_request&) { return true; }) > 0;
    }));
}

} // namespace
} // namespace cicadaport::platform::testing
