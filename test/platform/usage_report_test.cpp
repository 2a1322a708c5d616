// Hosts that count runs and report them to a stand-in of the platform's interface for duties.
#include "stand_ins.h"

#include "platform/wire.h"

#include "cicadaport/serving/usage_director.h"

#include <gmock/gmock.h>

#include <set>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using namespace cicadaport::serving;

using interface_state = testing::standin_duty_interface::state;

constexpr auto longest_wait = 30s;
constexpr milliseconds lease{900};

// The parts of a host that perform duties, on an event loop of their own. A host whose loop does
// not run is frozen.
struct duty_host {
    duty_host(const wire_format& format, int number, std::uint16_t port, const http::address& store,
              const duty_settings& settings)
        : state{context, format, "z", {}}, gossip{state,
                                                  {{"127.0.0." + std::to_string(number), port},
                                                   {"127.0.0.1", "127.0.0.2"}},
                                                  [](const shared_page&) {}},
          client{state, store, 1, settings, "host-" + std::to_string(number)}, usage{state, gossip,
                                                                                     client,
                                                                                     settings}
    {
        gossip.start();
        usage.start();
    }

    boost::asio::io_context context;
    bool is_frozen = false;
    host_state state;
    peer_gossip gossip;
    duty_client client;
    usage_director usage;
};

class usage_report_test : public ::testing::Test {
protected:
    usage_report_test()
    {
        boost::asio::io_context context;
        const boost::asio::ip::udp::socket probe{context,
                                                 {boost::asio::ip::make_address("127.0.0.1"), 0}};
        port = probe.local_endpoint().port();
        settings.address = interface.address();
        settings.reports_usage = true;
        // As on the platform, a window is longer than a lease and the margin, and a report is due
        // two windows after the end of its window.
        settings.usage_window = 2s;
        settings.usage_due = 4s;
        settings.lease_time = lease;
    }

    void start(int number)
    {
        hosts[number] =
            std::make_unique<duty_host>(adapter, number, port, stores.address(), settings);
    }

    // Lets a host end, as if it had lost power. It must no longer be used.
    void kill(int number) { hosts.erase(number); }

    template <typename Done>
    bool run_until(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + longest_wait;
        while (!done() && std::chrono::steady_clock::now() < limit) {
            run_once();
        }
        return done();
    }

    void run_for(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            run_once();
        }
    }

    void run_once()
    {
        for (auto& [number, host] : hosts) {
            if (!host->is_frozen) {
                host->context.poll();
            }
        }
        std::this_thread::sleep_for(1ms);
    }

    // Returns the reported runs of an account in all windows.
    std::uint64_t reported(const std::string& account) const
    {
        std::uint64_t out = 0;
        for (const auto& [window, counts] : interface.reports()) {
            out += counts.value(account, std::uint64_t{0});
        }
        return out;
    }

    // Returns the host whose call came last.
    int last_holder() const
    {
        const auto calls = interface.calls();
        return calls.empty() ? 0 : std::stoi(calls.back().holder.substr(5));
    }

    std::uint16_t port = 0;
    testing::standin_store stores;
    testing::standin_duty_interface interface {
        lease
    };
    wire adapter{stores.address()};
    duty_settings settings;
    std::map<int, std::unique_ptr<duty_host>> hosts;
};

TEST_F(usage_report_test, the_runs_of_all_hosts_are_reported_once)
{
    for (const int number : {1, 2, 3}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 2; }));
    for (auto& [number, host] : hosts) {
        for (int run = 0; run < 10 * number; ++run) {
            host->state.usage.record_run("first", host->state.timers.now());
        }
        host->state.usage.record_run("second", host->state.timers.now());
        host->state.usage.record_run("", host->state.timers.now());
    }
    ASSERT_TRUE(run_until([&] { return reported("first") >= 60; }));
    run_for(2s);
    EXPECT_EQ(reported("first"), 60U);
    EXPECT_EQ(reported("second"), 3U);
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Guards against store calls that grow with the fleet or with time.
TEST_F(usage_report_test, in_calm_one_host_reports_with_one_append_per_window_and_without_reads)
{
    for (const int number : {1, 2, 3}) {
        start(number);
    }
    // The hosts start at the same time and settle on the first of their order within some windows.
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 4; }));
    const auto reads = [&] {
        std::uint64_t out = 0;
        for (const auto& [number, host] : hosts) {
            out += host->client.counts().reads;
        }
        return out;
    };
    const auto reads_before = reads();
    const auto appends_before = stores.appended("keyed.duties");
    const auto calls_before = interface.calls().size();
    ASSERT_TRUE(run_until([&] { return interface.calls().size() >= calls_before + 4; }));
    EXPECT_EQ(reads(), reads_before);
    const auto calls = interface.calls();
    EXPECT_EQ(stores.appended("keyed.duties") - appends_before, calls.size() - calls_before);
    std::set<std::string> holders;
    for (auto each = calls.begin() + static_cast<std::ptrdiff_t>(calls_before); each != calls.end();
         ++each) {
        holders.insert(each->holder);
    }
    EXPECT_EQ(holders.size(), 1U);
}

// Guards against a successor that loses the counts of the others, or reports a window twice.
TEST_F(usage_report_test, another_host_reports_when_the_holder_is_lost)
{
    for (const int number : {1, 2, 3}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 2; }));
    const auto holder = last_holder();
    auto& survivor =
        hosts.begin()->first != holder ? *hosts.begin()->second : *hosts.rbegin()->second;
    for (int run = 0; run < 7; ++run) {
        survivor.state.usage.record_run("first", survivor.state.timers.now());
    }
    run_for(1'200ms);
    kill(holder);
    ASSERT_TRUE(run_until([&] { return reported("first") >= 7; }));
    EXPECT_NE(last_holder(), holder);
    EXPECT_EQ(reported("first"), 7U);
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Guards against a holder that makes calls under a permit that ended while it was frozen.
TEST_F(usage_report_test, a_holder_that_was_frozen_does_not_go_on_where_it_stopped)
{
    for (const int number : {1, 2, 3}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 2; }));
    const auto holder = last_holder();
    for (int round = 0; round < 2; ++round) {
        hosts[holder]->is_frozen = true;
        const auto before = interface.reports().size();
        ASSERT_TRUE(run_until([&] { return interface.reports().size() >= before + 2; }));
        EXPECT_NE(last_holder(), holder);
        hosts[holder]->is_frozen = false;
        run_for(3s);
    }
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Guards against other counts in a report that is sent again since its answer was lost.
TEST_F(usage_report_test, a_report_whose_answer_is_lost_is_repeated_unchanged)
{
    for (const int number : {1, 2}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 2; }));
    interface.set(interface_state::losing_answers);
    auto& host = *hosts.begin()->second;
    for (int second = 0; second < 40; ++second) {
        host.state.usage.record_run("first", host.state.timers.now());
        run_for(100ms);
    }
    interface.set(interface_state::accepting);
    const auto before = interface.reports().size();
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= before + 2; }));
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Guards against a host that keeps the duty although it does not reach the platform.
TEST_F(usage_report_test, reports_go_on_after_the_platform_was_down)
{
    for (const int number : {1, 2}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 1; }));
    interface.set(interface_state::refusing);
    run_for(4s);
    interface.set(interface_state::accepting);
    const auto before = interface.reports().size();
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= before + 3; }));
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Guards against calls without a record, and against appends that are taken for granted.
TEST_F(usage_report_test, nothing_is_sent_while_the_store_loses_its_answers)
{
    for (const int number : {1, 2}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 1; }));
    stores.lose_append_answers(true);
    run_for(1s);
    const auto before = interface.calls().size();
    run_for(2s);
    EXPECT_EQ(interface.calls().size(), before);
    stores.lose_append_answers(false);
    ASSERT_TRUE(run_until([&] { return interface.calls().size() > before + 1; }));
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Guards against a fleet that reports a window again after all of its hosts have restarted.
TEST_F(usage_report_test, a_restarted_fleet_continues_from_the_last_record)
{
    start(1);
    start(2);
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 2; }));
    hosts.clear();
    const auto before = interface.reports();
    start(1);
    start(2);
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= before.size() + 2; }));
    for (const auto& [window, counts] : before) {
        EXPECT_EQ(interface.reports().at(window), counts);
    }
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Guards against counts that a stopping host takes with it.
TEST_F(usage_report_test, hosts_that_stop_in_turn_with_two_windows_open_lose_no_counts)
{
    for (const int number : {1, 2, 3}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 2; }));
    for (int window = 0; window < 2; ++window) {
        for (auto& [number, host] : hosts) {
            host->state.usage.record_run("first", host->state.timers.now());
        }
        run_for(settings.usage_window);
    }
    for (const int number : {1, 2}) {
        hosts[number]->state.usage.record_run("first", hosts[number]->state.timers.now());
        hosts[number]->usage.announce_last();
        kill(number);
        run_for(100ms);
    }
    EXPECT_TRUE(run_until([&] { return reported("first") >= 8; }));
    EXPECT_EQ(reported("first"), 8U);
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Guards against calls without a record, and against late reports, after an outage of the store.
TEST_F(usage_report_test, windows_that_were_due_while_the_store_was_down_are_dropped)
{
    for (const int number : {1, 2}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 2; }));
    const auto last = interface.reports().rbegin()->first;
    stores.refuse(503);
    // A call under a permit may still be on its way.
    run_for(lease);
    const auto before = interface.calls().size();
    run_for(settings.usage_due + 2 * settings.usage_window);
    EXPECT_EQ(interface.calls().size(), before);
    stores.refuse(0);
    ASSERT_TRUE(run_until([&] { return interface.reports().rbegin()->first > last + 3; }));
    const auto reports = interface.reports();
    EXPECT_FALSE(reports.contains(last + 2));
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Regression: the store returned without the record of a report that had been made, and another
// host reported the window with other counts, under a token that had been used.
TEST_F(usage_report_test, a_window_whose_record_the_store_has_lost_is_not_reported_again)
{
    stores.state_epoch("1");
    for (const int number : {1, 2, 3}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 3; }));
    interface.set(interface_state::silent);
    const auto before = interface.calls().size();
    ASSERT_TRUE(run_until([&] { return interface.calls().size() > before; }));
    const auto window = interface.reports().rbegin()->first;
    kill(last_holder());
    stores.lose_records("keyed.duties", 1);
    stores.state_epoch("2");
    for (auto& [number, host] : hosts) {
        host->state.usage.record_run("first", host->state.timers.now() - settings.usage_window);
    }
    interface.set(interface_state::accepting);
    ASSERT_TRUE(run_until([&] { return interface.reports().rbegin()->first > window + 1; }));
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

// Regression: hosts waited for a record that another host had announced before the store returned
// without it, and reported nothing more.
TEST_F(usage_report_test, reports_go_on_after_the_store_has_lost_an_announced_record)
{
    stores.state_epoch("1");
    for (const int number : {1, 2, 3}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 4; }));
    kill(last_holder());
    stores.lose_records("keyed.duties", stores.appended("keyed.duties"));
    stores.state_epoch("2");
    const auto before = interface.reports().size();
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= before + 2; }));
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

TEST_F(usage_report_test, a_return_without_an_epoch_is_noticed_by_the_records_of_duties)
{
    for (const int number : {1, 2}) {
        start(number);
    }
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= 3; }));
    auto& holder = *hosts[last_holder()];
    ASSERT_EQ(holder.state.store_history.generation(), 0U);
    stores.lose_records("keyed.duties", 2);
    const auto before = interface.reports().size();
    ASSERT_TRUE(run_until([&] { return interface.reports().size() >= before + 2; }));
    EXPECT_GE(holder.state.store_history.generation(), 1U);
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

} // namespace
} // namespace cicadaport::platform
