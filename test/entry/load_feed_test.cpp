#include "cicadaport/entry/load_feed.h"

#include "cicadaport/entry/engine_subset.h"
#include "path_fixture.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

#include <algorithm>
#include <optional>
#include <set>

namespace cicadaport::entry {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t large_fleet = 40;
constexpr std::uint32_t peer_requests = 50;
// Requests in each report of the fake engine; its reports are 5 s old.
constexpr double reported_requests = 3;

// Answers for any number of engines and counts its load reports; does not answer
// while `silent` is set.
class fake_engine {
public:
    explicit fake_engine(boost::asio::io_context& /*context*/, std::atomic<std::size_t>& reports,
                         std::atomic<bool>& silent)
        : m_reports{reports}, m_silent{silent}
    {
    }

    boost::asio::awaitable<void> handle(const http::request& message, http::response_writer& writer)
    {
        if (m_silent) {
            co_return;
        }
        if (message.target.starts_with("/v1/cache_events")) {
            co_return co_await writer.send(http::json_response(200, R"({"events": []})"));
        }
        const auto steps = ++m_reports;
        const nlohmann::json load{{"role", "mixed"},    {"model", "m"},   {"changing", false},
                                  {"waiting", 1},       {"running", 2},   {"prefill_tokens", 30},
                                  {"decode_tokens", 4}, {"steps", steps}, {"age_ms", 5'000}};
        co_await writer.send(http::json_response(200, load.dump()));
    }

private:
    std::atomic<std::size_t>& m_reports;
    std::atomic<bool>& m_silent;
};

class load_feed_test : public testing::Test {
protected:
    // Starts the feed with this many engines. Those named in `m_unreliable` have the
    // address of a separate fake engine.
    void start(std::size_t engines)
    {
        auto document = std::make_shared<configuration::document>();
        document->models.emplace_back().name = "m";
        for (std::size_t i = 0; i < engines; ++i) {
            auto& endpoint = document->endpoints.emplace_back();
            endpoint.name = "engine-" + std::to_string(i);
            endpoint.serves = "m";
            endpoint.address = m_unreliable.contains(endpoint.name) ? m_unreliable_engine.address()
                                                                    : m_engine.address();
        }
        m_document = document;
        exclude_engines({});
        m_feed.emplace(m_pool.context(0), m_view, m_loads, m_decisions, m_processes,
                       load_feed::identity{"entry-1", "zone-1"},
                       [this](const std::vector<std::string>& names) { exclude_engines(names); });
        boost::asio::co_spawn(m_pool.context(0), m_feed->run(), boost::asio::detached);
        m_thread = std::jthread{[this] { m_pool.run(); }};
    }

    void TearDown() override
    {
        m_pool.stop();
        m_thread.join();
    }

    void exclude_engines(const std::vector<std::string>& names)
    {
        m_view.replace(std::make_unique<routing::view>(m_document, 1, names, m_loads));
    }

    // Returns the engines that can take work.
    std::vector<std::string> serving()
    {
        const base::rcu_reader guard;
        std::vector<std::string> out;
        for (const auto& each : m_view.read(guard).candidates("m")) {
            if (m_decisions.loads.read(guard).at(each.load->index).serving) {
                out.push_back(each.endpoint->name);
            }
        }
        return out;
    }

    // Reports work at `endpoint` from another entry process.
    void report_peer_work(const std::string& id, const std::string& endpoint)
    {
        protocol::process_status status;
        status.set_id(id);
        status.set_kind("entry");
        auto& work = *status.add_work();
        work.set_endpoint(endpoint);
        work.set_requests(peer_requests);
        m_processes.note(status, relay::process_table::clock::now());
    }

    double others_at(const std::string& name)
    {
        const base::rcu_reader guard;
        return m_decisions.loads.read(guard).at(m_loads.get(name)->index).others.requests;
    }

    bool is_serving(const std::string& name) { return std::ranges::count(serving(), name) > 0; }

    // Returns the first engine in the process's order.
    static std::string first_used(std::size_t engines)
    {
        std::vector<std::pair<std::uint64_t, std::string>> order;
        for (std::size_t i = 0; i < engines; ++i) {
            const auto name = "engine-" + std::to_string(i);
            order.emplace_back(subset_order("entry-1", name), name);
        }
        return std::ranges::min(order).second;
    }

    template <typename Done>
    bool wait_until(Done done, std::chrono::seconds limit)
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!done() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(20ms);
        }
        return done();
    }

    std::set<std::string> m_unreliable;
    std::atomic<std::size_t> m_reports{0};
    std::atomic<std::size_t> m_unreliable_reports{0};
    std::atomic<bool> m_never{false};
    std::atomic<bool> m_unreliable_is_silent{false};
    handler_server<fake_engine> m_engine{m_reports, m_never};
    handler_server<fake_engine> m_unreliable_engine{m_unreliable_reports, m_unreliable_is_silent};
    std::shared_ptr<const configuration::document> m_document =
        std::make_shared<configuration::document>();
    routing::load_table m_loads;
    base::published<routing::view> m_view{
        std::make_unique<routing::view>(m_document, 0, std::vector<std::string>{}, m_loads)};
    decision_state m_decisions{settings::placement_policy::predicted};
    relay::process_table m_processes;
    base::io_pool m_pool{1};
    std::optional<load_feed> m_feed;
    std::jthread m_thread;
};

TEST_F(load_feed_test, uses_a_subset_of_a_large_fleet)
{
    start(large_fleet);
    EXPECT_TRUE(wait_until([&] { return serving().size() == max_engines; }, 10s));
}

TEST_F(load_feed_test, a_silent_engine_gets_no_work_and_another_takes_its_place)
{
    m_unreliable = {first_used(large_fleet)};
    start(large_fleet);
    ASSERT_TRUE(wait_until([&] { return is_serving(*m_unreliable.begin()); }, 10s));
    m_unreliable_is_silent = true;
    EXPECT_TRUE(wait_until([&] { return !is_serving(*m_unreliable.begin()); }, 5s));
    EXPECT_TRUE(wait_until([&] { return serving().size() == max_engines; }, 3s));
    m_unreliable_is_silent = false;
    EXPECT_TRUE(wait_until([&] { return is_serving(*m_unreliable.begin()); }, 10s))
        << "it answers again";
    EXPECT_TRUE(wait_until([&] { return serving().size() == max_engines; }, 3s));
}

TEST_F(load_feed_test, silent_engines_do_not_delay_the_reports_of_others)
{
    m_unreliable_is_silent = true;
    for (std::size_t i = 0; i < large_fleet - max_engines / 2; ++i) {
        m_unreliable.insert("engine-" + std::to_string(i));
    }
    start(large_fleet);
    const auto all_others = [&] { return serving().size() == max_engines / 2; };
    ASSERT_TRUE(wait_until(all_others, 20s));
    for (int i = 0; i < 20; ++i) {
        EXPECT_TRUE(all_others()) << "after " << i;
        std::this_thread::sleep_for(150ms);
    }
}

TEST_F(load_feed_test, peer_work_counts_if_it_is_newer_than_the_engine_report)
{
    report_peer_work("entry-2", "engine-0");
    start(1);
    EXPECT_TRUE(wait_until([&] { return others_at("engine-0") == peer_requests; }, 5s));
}

TEST_F(load_feed_test, a_partial_peer_report_is_ignored)
{
    report_peer_work("entry-2", "engine-0");
    report_peer_work("entry-3", "");
    start(1);
    EXPECT_TRUE(wait_until([&] { return others_at("engine-0") == reported_requests; }, 5s));
    std::this_thread::sleep_for(3 * load_feed::poll_interval);
    EXPECT_EQ(others_at("engine-0"), reported_requests);
}

TEST_F(load_feed_test, limits_the_rate_of_load_reports)
{
    constexpr std::chrono::seconds watched{4};
    start(max_engines);
    std::this_thread::sleep_for(watched);
    const auto most = load_feed::report_bytes_per_second / load_feed::report_bytes *
                      (static_cast<double>(watched.count()) + 1.5);
    EXPECT_LE(static_cast<double>(m_reports), most) << "the bucket starts with one second's budget";
    EXPECT_GE(static_cast<double>(m_reports), most / 3) << "engines must be polled";
}

TEST_F(load_feed_test, a_few_engines_are_polled_without_rate_limiting)
{
    constexpr std::chrono::seconds watched{3};
    start(2);
    std::this_thread::sleep_for(watched);
    EXPECT_GE(m_reports, 2U * (watched / load_feed::poll_interval) / 2U);
}

} // namespace
} // namespace cicadaport::entry
