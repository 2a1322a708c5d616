// Hosts exchange gossip in datagrams, on loopback addresses.
#include "stand_ins.h"

#include "platform/wire.h"

#include "cicadaport/serving/peer_gossip.h"

#include "news.pb.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using namespace cicadaport::serving;

constexpr auto longest_wait = 8s;

std::uint16_t free_port(boost::asio::io_context& context)
{
    const boost::asio::ip::udp::socket probe{context,
                                             {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return probe.local_endpoint().port();
}

// One host of the test's fleet, with the pages that it has received.
struct gossip_host {
    gossip_host(boost::asio::io_context& context, const wire_format& format, int number,
                const std::string& zone, std::uint16_t port)
        : state{context, format, zone, {}}, gossip{state, settings_of(number, port),
                                                   [this](const shared_page& page) {
                                                       pages.push_back(page);
                                                   }}
    {
    }

    static peer_settings settings_of(int number, std::uint16_t port)
    {
        return {{"127.0.0." + std::to_string(number), port}, {"127.0.0.1"}};
    }

    host_state state;
    std::vector<shared_page> pages;
    peer_gossip gossip;
};

class peer_gossip_test : public ::testing::Test {
protected:
    // Starts hosts, half of them in each of two zones, and waits until each of them knows all
    // others.
    void start(int count)
    {
        const auto port = free_port(context);
        for (int number = 1; number <= count; ++number) {
            hosts.push_back(std::make_unique<gossip_host>(context, adapter, number,
                                                          number % 2 == 0 ? "even" : "odd", port));
            hosts.back()->gossip.start();
        }
        ASSERT_TRUE(run_until([&] {
            return std::all_of(hosts.begin(), hosts.end(), [&](const auto& each) {
                return each->gossip.peer_count() + 1 == hosts.size();
            });
        }));
    }

    template <typename Done>
    bool run_until(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + longest_wait;
        while (!done() && std::chrono::steady_clock::now() < limit) {
            context.run_for(2ms);
        }
        return done();
    }

    boost::asio::io_context context;
    platform::wire adapter{http::address{"127.0.0.1", 1}};
    std::vector<std::unique_ptr<gossip_host>> hosts;
};

TEST_F(peer_gossip_test, all_hosts_find_each_other_from_one_seed)
{
    start(12);
}

TEST_F(peer_gossip_test, work_is_announced_to_all_hosts_directly_or_through_a_relay)
{
    start(12);
    engine_work work;
    work.engine = 7;
    work.prefill_time = work.nominal_prefill_time = 250ms;
    const auto id = hosts[0]->state.begin_work(work);
    const auto all_wait = [&](fractional_milliseconds least) {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto& each) {
            return each->state.fleet.wait(7, 0, clock::now()) >= least;
        });
    };
    EXPECT_TRUE(run_until([&] { return all_wait(50ms); }));
    hosts[0]->state.end_work(id);
    EXPECT_TRUE(run_until([&] {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto& each) {
            return each->state.fleet.wait(7, 0, clock::now()) == 0ms;
        });
    }));
}

TEST_F(peer_gossip_test, a_page_that_needs_several_datagrams_is_sent_in_contiguous_parts)
{
    start(2);
    shared_page page;
    page.of = feed::endpoints;
    page.from = 10;
    page.to = page.list_end = 20;
    page.read_at = clock::now();
    page.entries = {{"a", std::string(800, 'x'), 12},
                    {"b", std::nullopt, 15},
                    {"c", std::string(800, 'x'), 17}};
    hosts[0]->gossip.announce_page(page);
    auto& announced = hosts[1]->pages;
    ASSERT_TRUE(run_until([&] { return announced.size() == 2; }));
    EXPECT_EQ(announced[0].from, 10U);
    EXPECT_EQ(announced[0].to, 17U);
    ASSERT_EQ(announced[0].entries.size(), 2U);
    EXPECT_EQ(announced[0].entries[1].value, std::nullopt);
    EXPECT_EQ(announced[1].from, 17U);
    EXPECT_EQ(announced[1].to, 20U);
}

TEST_F(peer_gossip_test, a_record_too_large_for_a_datagram_is_left_to_be_read_from_the_store)
{
    start(2);
    shared_page page;
    page.from = 10;
    page.to = 11;
    page.list_end = 11;
    page.read_at = clock::now();
    page.entries = {{"config", std::string(30'000, 'x'), 10}};
    hosts[0]->gossip.announce_page(page);
    auto& announced = hosts[1]->pages;
    ASSERT_TRUE(run_until([&] { return !announced.empty(); }));
    EXPECT_EQ(announced[0].to, 10U);
    EXPECT_EQ(announced[0].list_end, 11U) << "a host at offset 10 learns that a record is missing";
    EXPECT_TRUE(announced[0].entries.empty());
}

// Hosts that take up streams whose beginning they have not heard of.
class unknown_stream_test : public peer_gossip_test {
protected:
    // Starts two hosts that list one version, with the record of the versions in the store, which
    // states the epoch in which it is known to be complete.
    void start_with_one_version(std::optional<std::uint64_t> epoch = std::nullopt)
    {
        replica.id = "i-1";
        replica.service = "s";
        replica.version = "v1";
        protocol::stream_origin_record record;
        auto& listed = *record.add_versions();
        listed.set_service(number_of_service(replica.service));
        listed.set_origin(origin_of(replica));
        if (epoch) {
            record.set_epoch(*epoch);
        }
        store.put("stream-origins", "", record.SerializeAsString());
        start(2);
        auto& state = hosts[0]->state;
        state.origins.set_store(store.address());
        state.endpoints.apply(replica, clock::now());
        state.origins.note_report(replica);
        state.origins.handle_changed_list();
        state.endpoints_position.known_at = clock::now();
    }

    // Returns what the first host finds as the origin of a stream that it does not know.
    std::optional<origin_id> find_origin(const std::string& stream = "unknown")
    {
        std::optional<std::optional<origin_id>> found;
        hosts[0]->state.origins.find(services, stream, [&](auto origin) { found = origin; });
        EXPECT_TRUE(run_until([&] { return found.has_value(); }));
        return found.value_or(std::nullopt);
    }

    // Longer than a view of the list is current by itself, and than hosts are silent.
    static constexpr auto suspension = 2s;
    const std::vector<service_share> services{{"s", 1}};
    endpoint_report replica;
    testing::standin_store store;
};

// Regression: after the store had returned from an older copy, the topic of origins was read on
// from the middle of another history.
TEST_F(unknown_stream_test, is_found_in_a_topic_that_has_grown_to_its_old_length_again)
{
    start_with_one_version();
    ASSERT_EQ(find_origin(), origin_of(replica));
    const auto length = store.appended("stream-origins");
    store.lose_records("stream-origins", length);
    constexpr origin_id other_version = 77;
    protocol::stream_origin_record record;
    auto& begun = *record.add_streams();
    begun.set_stream(number_of_stream("r1"));
    begun.set_origin(other_version);
    auto& listed = *record.add_versions();
    listed.set_service(number_of_service(replica.service));
    listed.set_origin(origin_of(replica));
    store.put("stream-origins", "", record.SerializeAsString());
    for (std::size_t number = 1; number < length; ++number) {
        store.put("stream-origins", "", protocol::stream_origin_record{}.SerializeAsString());
    }
    auto& state = hosts[0]->state;
    state.origins.handle_whole_list();
    EXPECT_EQ(find_origin("r1"), other_version);
    state.endpoints_position.generation = state.store_history.generation();
    state.endpoints_position.known_at = clock::now();
    EXPECT_EQ(find_origin("unknown"), std::nullopt) << "the lost records may have listed versions";
}

TEST_F(unknown_stream_test, has_a_known_origin_for_a_host_that_starts_with_records_of_this_epoch)
{
    store.state_epoch("2");
    start_with_one_version(2);
    EXPECT_EQ(find_origin(), origin_of(replica));
}

// Regression: a host that started after the store had lost records took the rest for all of them.
TEST_F(unknown_stream_test,
       has_no_known_origin_for_a_host_that_starts_with_records_of_an_ended_epoch)
{
    store.state_epoch("2");
    start_with_one_version(1);
    EXPECT_EQ(find_origin(), std::nullopt);
}

// Regression: a list of an ended history counted as current while other hosts were heard.
TEST_F(unknown_stream_test, has_no_known_origin_while_the_list_belongs_to_an_ended_history)
{
    start_with_one_version();
    ASSERT_EQ(find_origin(), origin_of(replica));
    hosts[0]->state.endpoints_position.generation = 7;
    EXPECT_EQ(find_origin(), std::nullopt);
}

// Regression: what hosts had appended was lost with the store's records.
TEST_F(unknown_stream_test, streams_are_appended_again_in_parts_after_a_return)
{
    constexpr std::uint64_t stream_count = 2 * stream_origin_tracker::max_streams_per_append + 1;
    store.state_epoch("1");
    start_with_one_version();
    ASSERT_TRUE(run_until([&] { return hosts[0]->gossip.rank_among_known_hosts() < 2; }));
    for (std::uint64_t number = 0; number < stream_count; ++number) {
        hosts[0]->state.origins.apply_announced({number, 7});
    }
    const auto before = store.appended("stream-origins");
    ASSERT_TRUE(run_until([&] { return store.appended("stream-origins") >= before + 3; }));
    protocol::stream_origin_record last;
    ASSERT_TRUE(last.ParseFromString(store.newest("stream-origins", "")));
    EXPECT_EQ(last.epoch(), 1U);
    store.lose_records("stream-origins", store.appended("stream-origins"));
    store.state_epoch("2");
    const auto returned_at = clock::now();
    find_origin();
    ASSERT_TRUE(run_until([&] { return store.appended("stream-origins") >= 3; }));
    EXPECT_GE(clock::now() - returned_at, 2 * stream_origin_tracker::append_interval);
    ASSERT_TRUE(last.ParseFromString(store.newest("stream-origins", "")));
    EXPECT_EQ(last.streams_size(), 1);
    EXPECT_FALSE(last.has_epoch()) << "the topic does not reach back as far as streams last";
}

TEST_F(peer_gossip_test, a_host_learns_of_a_return_that_other_hosts_have_noticed)
{
    start(2);
    hosts[0]->state.orders.record_sent_order(7, 40, hosts[0]->state.timers.now());
    hosts[0]->state.record_unannounced_return(feed::orders, "test");
    EXPECT_TRUE(
        run_until([this] { return hosts[1]->state.store_history.known_since().has_value(); }));
    EXPECT_EQ(hosts[1]->state.orders.stated_token(), 40U);
}

// Regression: the first datagram after a suspension made a list current that another host might
// have read again meanwhile, with a version on which streams had begun.
TEST_F(unknown_stream_test, has_no_known_origin_after_a_suspension_until_the_list_is_read)
{
    start_with_one_version();
    ASSERT_EQ(find_origin(), origin_of(replica));
    store.refuse(503);
    std::this_thread::sleep_for(suspension);
    const auto resumed_at = clock::now();
    ASSERT_TRUE(run_until([&] {
        const auto since = hosts[0]->gossip.heard_since();
        return since && *since >= resumed_at;
    }));
    EXPECT_EQ(find_origin(), std::nullopt);
    hosts[0]->state.endpoints_position.known_at = clock::now();
    EXPECT_EQ(find_origin(), origin_of(replica));
}

TEST_F(unknown_stream_test, has_a_known_origin_while_the_store_is_down_and_other_hosts_are_heard)
{
    start_with_one_version();
    ASSERT_EQ(find_origin(), origin_of(replica));
    store.refuse(503);
    const auto until = clock::now() + suspension;
    run_until([&] { return clock::now() >= until; });
    EXPECT_EQ(find_origin(), origin_of(replica));
}

TEST_F(unknown_stream_test, has_no_known_origin_while_announced_records_of_the_list_are_missing)
{
    start_with_one_version();
    ASSERT_EQ(find_origin(), origin_of(replica));
    store.refuse(503);
    hosts[0]->state.endpoints_position.announced_end = 1;
    const auto until = clock::now() + suspension;
    run_until([&] { return clock::now() >= until; });
    EXPECT_EQ(find_origin(), std::nullopt);
}

} // namespace
} // namespace cicadaport::platform
