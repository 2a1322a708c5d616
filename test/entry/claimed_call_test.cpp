#include "safeguard_off.h"
#include "service_fixture.h"

#include <future>

namespace cicadaport::entry {
namespace {

using base::safeguard;
using base::safeguard_off;
using std::chrono::milliseconds;

// A log that can refuse appends, reads or both.
class partial_outage_log {
public:
    explicit partial_outage_log(boost::asio::io_context& context) : m_log{context} {}

    // POST /v1/deaf?appends=refused&reads=refused
    boost::asio::awaitable<void> handle(const http::request& message, http::response_writer& writer)
    {
        const http::target_view target{message.target};
        if (target.path() == "/v1/deaf") {
            m_reads_refused = target.parameter("reads") == "refused";
            m_appends_refused = target.parameter("appends") == "refused";
            co_return co_await writer.send({200, {}, "ok\n"});
        }
        const bool is_append = message.method == "POST" && target.path() != "/v1/faults";
        if ((is_append && m_appends_refused) || (message.method == "GET" && m_reads_refused)) {
            co_return co_await writer.send({503, {}, "outage\n"});
        }
        co_await m_log.handle(message, writer);
    }

private:
    standins::log_service m_log;
    bool m_appends_refused = false;
    bool m_reads_refused = false;
};

// Returns a configuration whose route POST /confirm has a timeout of `limit_ms`.
std::string with_call_timeout(std::string configuration, const std::string& limit_ms)
{
    const std::string route = "path: /confirm\n";
    configuration.insert(configuration.find(route) + route.size(),
                         "        timeout_ms: " + limit_ms + "\n");
    return configuration;
}

class claimed_call_test : public testing::Test {
protected:
    service m_service;
    handler_server<partial_outage_log> m_log;
    std::string m_configuration =
        with_call_timeout(test_configuration({}, {m_service.address()}), "2000");

    std::size_t runs() const { return run_count(m_service.address()); }
    // Waits until the log has accepted `count` appends and their authors read on.
    void wait_for_appends(std::uint64_t count) const
    {
        const auto appends = [&] {
            const auto reply = exchange(m_log.address(), {"GET", "/v1/statistics", {}, {}});
            return nlohmann::json::parse(reply.body)["appends"].get<std::uint64_t>();
        };
        const auto until = std::chrono::steady_clock::now() + milliseconds{1'000};
        while (appends() < count && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(milliseconds{5});
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    void set_log_faults(const std::string& parameters) const
    {
        exchange(m_log.address(), {"POST", "/v1/deaf?" + parameters, {}, {}});
    }
};

// One entry process with its own view of the claims.
struct entry_process {
    entry_process(const std::string& configuration, const http::address& log,
                  claims::claim_settings settings = {})
        : claims{log, settings}, gateway{configuration, settings::completion_path::resumable,
                                         claims.get()}
    {
    }
    http::address address() const { return gateway.address(); }

    served_claims claims;
    served_gateway gateway;
};

claims::claim_settings short_retention()
{
    claims::claim_settings out;
    out.retention = milliseconds{400};
    return out;
}

TEST_F(claimed_call_test, a_winner_that_was_paused_beyond_its_time_does_not_begin)
{
    const entry_process paused{m_configuration, m_log.address(), short_retention()};
    const entry_process other{m_configuration, m_log.address(), short_retention()};
    inject_fault(m_log.address(), "delay_ms=250");
    auto late = std::async(std::launch::async,
                           [&] { return exchange(paused.address(), keyed_call("k1")); });
    const auto reply = late.get();
    EXPECT_EQ(reply.fields.find(verdict_field), "not_run");
    EXPECT_EQ(runs(), 0U);
    inject_fault(m_log.address(), "delay_ms=0");
    EXPECT_EQ(exchange(other.address(), keyed_call("k1")).status, 200U);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(claimed_call_test, without_the_begin_time_a_paused_winner_runs_though_its_claim_lapsed)
{
    const safeguard_off without{safeguard::begin_time};
    const entry_process paused{m_configuration, m_log.address(), short_retention()};
    inject_fault(m_log.address(), "delay_ms=250");
    EXPECT_EQ(exchange(paused.address(), keyed_call("k1")).status, 200U);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(claimed_call_test, an_abandoned_claim_that_appears_later_is_released)
{
    const entry_process author{m_configuration, m_log.address()};
    const entry_process other{m_configuration, m_log.address()};
    inject_fault(m_log.address(), "lose_answers=1");
    set_log_faults("reads=refused");
    EXPECT_EQ(exchange(author.address(), keyed_call("k2")).fields.find(verdict_field), "not_run");
    EXPECT_EQ(runs(), 0U);
    inject_fault(m_log.address(), "lose_answers=0");
    set_log_faults("reads=false");
    EXPECT_EQ(exchange(other.address(), keyed_call("k2")).status, 200U);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(claimed_call_test, without_the_release_an_abandoned_key_stays_claimed)
{
    const safeguard_off without{safeguard::abandoned_release};
    const entry_process author{m_configuration, m_log.address()};
    const entry_process other{m_configuration, m_log.address()};
    inject_fault(m_log.address(), "lose_answers=1");
    set_log_faults("reads=refused");
    exchange(author.address(), keyed_call("k2"));
    inject_fault(m_log.address(), "lose_answers=0");
    set_log_faults("reads=false");
    EXPECT_EQ(exchange(other.address(), keyed_call("k2")).status, 409U);
    EXPECT_EQ(runs(), 0U);
}

TEST_F(claimed_call_test, in_an_outage_a_held_key_is_not_reported_as_not_run)
{
    const entry_process first{m_configuration, m_log.address()};
    const entry_process second{m_configuration, m_log.address()};
    inject_fault(m_service.address(), "late_ms=1500");
    auto running =
        std::async(std::launch::async, [&] { return exchange(first.address(), keyed_call("k3")); });
    while (runs() == 0) {
        std::this_thread::sleep_for(milliseconds{5});
    }
    auto waiting = std::async(std::launch::async,
                              [&] { return exchange(second.address(), keyed_call("k3")); });
    wait_for_appends(2);
    set_log_faults("appends=refused&reads=refused");
    const auto reply = waiting.get();
    EXPECT_EQ(reply.status, 409U);
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
    EXPECT_TRUE(reply.fields.find("Retry-After"));
    EXPECT_EQ(running.get().status, 200U);
}

// Makes a call during which the log fails between claim and answer, and repeats
// it through another process after the outage. Returns the second reply.
http::response repeat_after_outage(const http::address& service, const http::address& log,
                                   const http::address& first, const http::address& second)
{
    const auto set_log_faults = [&](const std::string& parameters) {
        exchange(log, {"POST", "/v1/deaf?" + parameters, {}, {}});
    };
    inject_fault(service, "late_ms=300");
    auto running =
        std::async(std::launch::async, [&] { return exchange(first, keyed_call("k4")); });
    while (run_count(service) == 0) {
        std::this_thread::sleep_for(milliseconds{5});
    }
    set_log_faults("appends=refused&reads=refused");
    EXPECT_EQ(running.get().status, 200U);
    // The log has refused to store the answer.
    std::this_thread::sleep_for(milliseconds{500});
    set_log_faults("appends=false&reads=false");
    return exchange(second, keyed_call("k4"));
}

TEST_F(claimed_call_test, an_answer_refused_by_the_log_in_an_outage_is_stored_after_it)
{
    const entry_process first{m_configuration, m_log.address()};
    const entry_process second{m_configuration, m_log.address()};
    const auto reply = repeat_after_outage(m_service.address(), m_log.address(), first.address(),
                                           second.address());
    EXPECT_EQ(reply.status, 200U);
    EXPECT_EQ(reply.fields.find("Cicadaport-Replayed"), "true");
    EXPECT_EQ(runs(), 1U);
}

TEST_F(claimed_call_test, without_a_kept_answer_a_repeated_call_does_not_get_it_after_an_outage)
{
    const safeguard_off without{safeguard::kept_answer};
    const entry_process first{m_configuration, m_log.address()};
    const entry_process second{m_configuration, m_log.address()};
    const auto reply = repeat_after_outage(m_service.address(), m_log.address(), first.address(),
                                           second.address());
    EXPECT_EQ(reply.status, 409U);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(claimed_call_test, a_key_whose_winner_died_before_the_answer_is_not_run_again)
{
    auto dying = std::make_unique<entry_process>(m_configuration, m_log.address());
    const entry_process other{m_configuration, m_log.address()};
    inject_fault(m_service.address(), "late_ms=300");
    auto running = std::async(std::launch::async, [to = dying->address()] {
        try {
            exchange(to, keyed_call("k5"));
        }
        catch (const http::exchange_error&) {
            // The process of the winner has ended.
        }
    });
    while (runs() == 0) {
        std::this_thread::sleep_for(milliseconds{5});
    }
    dying.reset();
    running.get();
    const auto reply = exchange(other.address(), keyed_call("k5"));
    EXPECT_EQ(reply.status, 409U);
    EXPECT_EQ(reply.fields.find(verdict_field), "may_have_run");
    EXPECT_EQ(runs(), 1U);
}

} // namespace
} // namespace cicadaport::entry
