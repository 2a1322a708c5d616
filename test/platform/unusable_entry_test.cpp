// Entries under a replica's key that can't be used. Anybody may write to the list of replicas.
#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

constexpr int high_sequence = 1'000'000;

class unusable_entry_test : public host_test {
protected:
    // Writes an entry of the replica for a service that no configuration names.
    void list_for_other_service(int sequence, const std::string& more = "")
    {
        list_replica("i-1", replica.address(), "nobody", more, "ready", sequence);
    }

    unsigned ask_safe()
    {
        return ask(request("GET", "/safe/x", "r" + std::to_string(++m_requests))).status;
    }

    // Returns whether the host has read all entries, and serves requests all the while.
    bool is_served_throughout()
    {
        const auto end = std::chrono::steady_clock::now() + 1'500ms;
        while (std::chrono::steady_clock::now() < end) {
            if (ask_safe() != 200) {
                return false;
            }
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

    bool is_served_at_last()
    {
        return eventually([this] { return ask_safe() == 200; });
    }

    scripted_server replica{
        [](const received_request& each) { return signed_answer(each, "body"); }};

private:
    int m_requests = 0;
};

// Regression: the entry's sequence was taken over, and the replica's own entries counted as older
// until it started again.
TEST_F(unusable_entry_test, an_entry_for_a_service_that_is_not_named_hides_no_replica)
{
    list_replica("i-1", replica.address(), "s", "", "ready", 1);
    start();
    ASSERT_TRUE(is_served_at_last());
    list_for_other_service(high_sequence);
    EXPECT_TRUE(is_served_throughout());
    list_replica("i-1", replica.address(), "s", "", "ready", 2);
    list_for_other_service(high_sequence + 1);
    EXPECT_TRUE(is_served_throughout());
}

TEST_F(unusable_entry_test, an_entry_that_the_whole_list_holds_hides_no_later_one_of_the_replica)
{
    list_for_other_service(high_sequence);
    start();
    list_replica("i-1", replica.address(), "s", "", "ready", 1);
    EXPECT_TRUE(is_served_at_last());
}

TEST_F(unusable_entry_test, an_entry_that_was_read_before_the_configuration_hides_no_replica)
{
    store.lose_records(std::string{configuration_topic}, 1);
    list_for_other_service(high_sequence);
    start_host();
    std::this_thread::sleep_for(300ms);
    publish(1);
    list_replica("i-1", replica.address(), "s", "", "ready", 1);
    EXPECT_TRUE(eventually([this] { return ready() == 200; }));
    EXPECT_TRUE(is_served_at_last());
}

TEST_F(unusable_entry_test,
       entries_with_a_lower_sequence_or_bytes_that_are_no_entry_hide_no_replica)
{
    list_replica("i-1", replica.address(), "s", "", "ready", 5);
    start();
    ASSERT_TRUE(is_served_at_last());
    list_for_other_service(1);
    store.put(std::string{replicas_topic}, "i-1", "{}");
    store.put(std::string{replicas_topic}, "i-1", "\xff");
    EXPECT_TRUE(is_served_throughout());
}

TEST_F(unusable_entry_test, a_replica_is_used_once_a_configuration_names_its_service)
{
    list_for_other_service(1);
    start();
    EXPECT_EQ(ask_safe(), 503U);
    publish(2);
    auto named = store.newest(std::string{configuration_topic}, "config");
    for (const auto& [from, to] :
         {std::pair{R"("version":2)", R"("version":3)"},
          std::pair{R"("services":[)", R"("services":[{"name":"nobody"},)"},
          std::pair{R"("service":"s")", R"("service":"nobody")"}}) {
        named.replace(named.find(from), std::string_view{from}.size(), to);
    }
    store.put(std::string{configuration_topic}, "config", named);
    EXPECT_TRUE(is_served_at_last());
}

TEST_F(unusable_entry_test, a_removed_key_removes_the_replica_whatever_else_was_written)
{
    list_replica("i-1", replica.address(), "s", "", "ready", 1);
    start();
    ASSERT_TRUE(is_served_at_last());
    list_for_other_service(high_sequence);
    store.put(std::string{replicas_topic}, "i-1", "");
    EXPECT_TRUE(eventually([this] { return ask_safe() == 503; }));
}

} // namespace
} // namespace cicadaport::platform::testing
