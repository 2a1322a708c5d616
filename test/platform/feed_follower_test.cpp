// A host follows one of the store's lists, and other hosts read the same list.
#include "stand_ins.h"

#include "platform/wire.h"

#include "cicadaport/serving/feed_follower.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using serving::feed_entry;
using serving::shared_page;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr auto longest_wait = 8s;
const std::string topic = "keyed.servers";

// Simulates the other hosts and records the pages that are announced to them.
class other_hosts final : public serving::gossip_sender {
public:
    void announce_work_start(std::uint64_t, const serving::engine_work&) override {}
    void announce_work_end(std::uint64_t, bool, double) override {}
    void announce_page(const shared_page& page) override { announced.push_back(page); }
    std::size_t peer_count() const noexcept override { return 5; }
    std::uint64_t cell_count() const noexcept override { return 1; }
    bool is_in_cell(std::uint32_t) const noexcept override { return true; }
    void announce_stage_change(std::uint32_t, serving::engine_stage, std::chrono::milliseconds,
                               std::uint64_t) override
    {
    }
    serving::fleet_place place_for(std::uint32_t, bool) const override { return {}; }
    void announce_limit(const serving::limit_statement&) override {}
    void announce_crashes(std::span<const serving::engine_crash>) override {}
    void announce_survivals(std::span<const serving::segment_survival>) override {}
    void announce_trials(std::span<const serving::segment_id>) override {}
    void announce_reachability() override {}
    std::vector<http::address> relay_hosts() const override { return {}; }
    void announce_streams(std::span<const serving::begun_stream>) override {}
    std::size_t rank_among_known_hosts() const override { return 0; }
    std::optional<serving::time_point> heard_since() const override { return {}; }

    std::vector<shared_page> announced;
};

class feed_follower_test : public ::testing::Test {
protected:
    feed_follower_test()
    {
        host.gossip = &others;
        const auto apply = [this](const std::vector<feed_entry>& entries) {
            for (const auto& each : entries) {
                applied_keys.push_back(each.key);
            }
            return entries;
        };
        follower = std::make_unique<serving::feed_follower>(
            host, store.address(), serving::feed::endpoints,
            serving::feed_times::within(interval, 2s, 3s),
            serving::feed_follower::callbacks{[apply](const std::vector<feed_entry>& entries,
                                                      serving::list_state) { apply(entries); },
                                              apply});
    }

    // Runs the event loop until `done`.
    template <typename Done>
    bool run_until(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + longest_wait;
        while (!done() && std::chrono::steady_clock::now() < limit) {
            context.run_for(2ms);
        }
        return done();
    }

    void start()
    {
        follower->start();
        ASSERT_TRUE(run_until([this] { return follower->has_read(); }));
    }

    // Starts with three records. The store then loses two of them and gets others, i-5 to i-7,
    // before the follower calls it again.
    void start_before_return()
    {
        for (const auto* key : {"i-1", "i-2", "i-3"}) {
            store.put(topic, key, "x");
        }
        start();
        store.lose_records(topic, 2);
        for (const auto* key : {"i-5", "i-6", "i-7"}) {
            store.put(topic, key, "x");
        }
    }

    bool has_applied(const std::string& key) const
    {
        return std::find(applied_keys.begin(), applied_keys.end(), key) != applied_keys.end();
    }

    // Returns a page that another host has just read.
    shared_page page(std::uint64_t from, std::uint64_t to, const std::vector<std::string>& keys)
    {
        shared_page out;
        out.of = serving::feed::endpoints;
        out.from = from;
        out.to = to;
        out.list_end = to;
        for (const auto& key : keys) {
            out.entries.emplace_back(key, "x", from++);
        }
        out.read_at = host.timers.now();
        return out;
    }

    static constexpr std::chrono::milliseconds interval{800};
    testing::standin_store store;
    boost::asio::io_context context;
    wire adapter{store.address()};
    serving::host_state host{context, adapter, "z", {}};
    other_hosts others;
    std::unique_ptr<serving::feed_follower> follower;
    std::vector<std::string> applied_keys;
};

TEST_F(feed_follower_test, announces_what_it_reads_to_other_hosts)
{
    start();
    store.put(topic, "a", "x");
    ASSERT_TRUE(run_until([this] { return !applied_keys.empty(); }));
    ASSERT_FALSE(others.announced.empty());
    EXPECT_EQ(others.announced.back().to, 1U);
    ASSERT_EQ(others.announced.back().entries.size(), 1U);
    EXPECT_EQ(others.announced.back().entries[0].key, "a");
}

TEST_F(feed_follower_test, does_not_read_what_others_have_just_read)
{
    start();
    const auto before = store.reads(topic);
    for (const auto end = host.timers.now() + 3 * interval; host.timers.now() < end;) {
        follower->apply(page(0, 0, {}));
        context.run_for(20ms);
    }
    EXPECT_EQ(store.reads(topic), before);
    follower->apply(page(0, 2, {"a", "b"}));
    EXPECT_THAT(applied_keys, ElementsAre("a", "b"));
    EXPECT_TRUE(run_until([&] { return store.reads(topic) > before; }))
        << "the other hosts have stopped announcing";
}

TEST_F(feed_follower_test, an_old_page_does_not_count_as_fresh)
{
    start();
    const auto before = store.reads(topic);
    auto old = page(0, 0, {});
    old.read_at -= 1h;
    EXPECT_TRUE(run_until([&] {
        follower->apply(old);
        return store.reads(topic) > before;
    }));
}

TEST_F(feed_follower_test, applies_only_unseen_records_of_an_announced_page)
{
    start();
    follower->apply(page(0, 2, {"a", "b"}));
    follower->apply(page(1, 3, {"b", "c"}));
    EXPECT_THAT(applied_keys, ElementsAre("a", "b", "c"));
}

TEST_F(feed_follower_test, reads_from_the_store_when_announced_records_were_missed)
{
    start();
    store.put(topic, "a", "x");
    store.put(topic, "b", "x");
    follower->apply(page(1, 2, {"b"}));
    EXPECT_THAT(applied_keys, IsEmpty());
    EXPECT_TRUE(run_until([this] { return applied_keys.size() == 2; }));
    EXPECT_THAT(applied_keys, ElementsAre("a", "b"));
}

TEST_F(feed_follower_test, a_page_with_a_lost_part_does_not_count_as_fresh)
{
    start();
    for (const auto* key : {"a", "b", "c"}) {
        store.put(topic, key, "x");
    }
    const auto before = store.reads(topic);
    auto part = page(0, 1, {"a"});
    part.list_end = 3;
    follower->apply(part);
    const auto announced = host.timers.now();
    EXPECT_TRUE(run_until([&] { return store.reads(topic) > before; }));
    EXPECT_LT(host.timers.now() - announced, interval) << "sooner than the next read in turn";
    EXPECT_TRUE(run_until([this] { return applied_keys.size() >= 3; }));
    EXPECT_THAT(applied_keys, ElementsAre("a", "b", "c"));
}

TEST_F(feed_follower_test, a_part_that_arrives_out_of_order_is_read_from_the_store)
{
    start();
    for (const auto* key : {"a", "b"}) {
        store.put(topic, key, "x");
    }
    follower->apply(page(1, 2, {"b"}));
    auto first = page(0, 1, {"a"});
    first.list_end = 2;
    follower->apply(first);
    const auto announced = host.timers.now();
    EXPECT_TRUE(run_until([this] { return applied_keys.size() >= 2; }));
    EXPECT_LT(host.timers.now() - announced, interval);
    EXPECT_THAT(applied_keys, ElementsAre("a", "b"));
}

TEST_F(feed_follower_test, a_response_that_ends_early_is_followed_by_another_read_at_once)
{
    start();
    const std::string large(300'000, 'x');
    for (const auto* key : {"a", "b", "c", "d", "e", "f", "g"}) {
        store.put(topic, key, large);
    }
    ASSERT_TRUE(run_until([this] { return !applied_keys.empty(); }));
    ASSERT_LT(applied_keys.size(), 7U) << "one response holds all records";
    const auto first = host.timers.now();
    EXPECT_EQ(others.announced.back().list_end, 7U)
        << "the others know that there are more records";
    EXPECT_TRUE(run_until([this] { return applied_keys.size() == 7; }));
    EXPECT_LT(host.timers.now() - first, interval);
}

TEST_F(feed_follower_test, reads_twice_when_an_announced_end_is_beyond_the_end_in_the_store)
{
    start();
    const auto before = store.reads(topic);
    follower->apply(page(5, 9, {}));
    context.run_for(interval - 200ms);
    EXPECT_EQ(store.reads(topic), before + 2);
}

// Regression: a host whose own calls had all succeeded read on in the middle of a list that had
// begun anew, and kept an entry that the store had lost.
TEST_F(feed_follower_test, verifies_its_last_record_when_announced_records_were_missed)
{
    start_before_return();
    follower->apply(page(4, 5, {"i-8"}));
    EXPECT_TRUE(run_until([this] { return has_applied("i-5"); }));
}

// Regression: after a cut from the store one list was read anew only when its call from during the
// cut had timed out, though the other list's call had shown the return a second before.
TEST_F(feed_follower_test, a_return_ends_a_call_that_is_not_answered)
{
    store.put(topic, "i-1", "x");
    start();
    store.set_outage(testing::standin_store::outage::silent);
    EXPECT_TRUE(run_until([this] { return store.reads(topic) > 0; }));
    store.set_outage(testing::standin_store::outage::none);
    store.put(topic, "i-2", "x");
    host.record_unannounced_return(serving::feed::configuration, "test");
    context.run_for(150ms);
    EXPECT_TRUE(has_applied("i-2"));
}

// Regression: only the call for the other list failed while the store was away.
TEST_F(feed_follower_test, verifies_its_last_record_after_a_failed_call_for_another_list)
{
    start_before_return();
    ++host.failed_list_calls;
    EXPECT_TRUE(run_until([this] { return has_applied("i-5"); }));
}

TEST_F(feed_follower_test, records_that_are_missed_during_a_read_cast_doubt_on_its_answer)
{
    start_before_return();
    store.delay_reads(200ms);
    EXPECT_TRUE(run_until([this] { return store.reads(topic) > 0; }));
    follower->apply(page(4, 5, {"i-8"}));
    EXPECT_TRUE(run_until([this] { return has_applied("i-5"); }));
}

TEST_F(feed_follower_test, applies_each_record_once_when_it_is_announced_during_a_read)
{
    start();
    store.put(topic, "a", "x");
    store.put(topic, "b", "x");
    store.delay_reads(100ms);
    const auto before = store.reads(topic);
    ASSERT_TRUE(run_until([&] { return store.reads(topic) > before; }));
    follower->apply(page(0, 2, {"a", "b"}));
    context.run_for(200ms);
    store.put(topic, "c", "x");
    EXPECT_TRUE(run_until([this] { return applied_keys.size() >= 3; }));
    EXPECT_THAT(applied_keys, ElementsAre("a", "b", "c"));
}

// Regression: such a read was given up after the response timeout, whatever had arrived, and
// repeated forever.
TEST_F(feed_follower_test, reads_a_backlog_that_takes_longer_than_the_response_timeout)
{
    start();
    const std::string large(250'000, 'x');
    for (const auto* key : {"a", "b", "c", "d"}) {
        store.put(topic, key, large);
    }
    store.limit_rate(500'000);
    EXPECT_TRUE(run_until([this] { return applied_keys.size() == 4; }));
    EXPECT_THAT(applied_keys, ElementsAre("a", "b", "c", "d"));
}

TEST_F(feed_follower_test, gives_up_a_response_that_stalls)
{
    start();
    store.put(topic, "a", std::string(250'000, 'x'));
    store.limit_rate(2'000);
    const auto before = store.reads(topic);
    EXPECT_TRUE(run_until([&] { return store.reads(topic) >= before + 2; }));
    store.limit_rate(0);
    EXPECT_TRUE(run_until([this] { return applied_keys.size() == 1; }));
}

class configuration_follower_test : public feed_follower_test {
protected:
    configuration_follower_test()
    {
        const auto apply = [this](const std::vector<feed_entry>& entries) {
            for (const auto& each : entries) {
                applied_versions.push_back(each.value.value_or("").front());
            }
            return entries;
        };
        follower = std::make_unique<serving::feed_follower>(
            host, store.address(), serving::feed::configuration,
            serving::feed_times::within(interval, 2s, 3s),
            serving::feed_follower::callbacks{[apply](const std::vector<feed_entry>& entries,
                                                      serving::list_state) { apply(entries); },
                                              apply});
    }

    void publish(char version) { store.put("keyed.op", "config", std::string(250'000, version)); }

    std::string applied_versions;
};

// Regression: a host that was behind by many large versions read all of them, the oldest first.
TEST_F(configuration_follower_test, reads_only_the_newest_version_of_a_large_backlog)
{
    start();
    for (const char version : {'1', '2', '3', '4', '5', '6', '7', '8'}) {
        publish(version);
    }
    store.limit_rate(1'000'000);
    EXPECT_TRUE(run_until([this] { return !applied_versions.empty(); }));
    EXPECT_EQ(applied_versions, "8");
    publish('9');
    EXPECT_TRUE(run_until([this] { return applied_versions.size() > 1; }));
    EXPECT_EQ(applied_versions, "89");
}

TEST_F(configuration_follower_test, reads_a_small_backlog_with_one_call)
{
    start();
    const auto pages = host.store_calls.pages;
    for (const char version : {'1', '2', '3'}) {
        store.put("keyed.op", "config", std::string(1'000, version));
    }
    EXPECT_TRUE(run_until([this] { return !applied_versions.empty(); }));
    EXPECT_EQ(applied_versions, "123");
    EXPECT_EQ(host.store_calls.pages, pages);
}

} // namespace
} // namespace cicadaport::platform
