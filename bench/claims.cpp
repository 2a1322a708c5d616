// What a claim on the log costs: one append for each claim, or one for all
// claims of a shard that wait.
//
// Prints the added time and the appends of each way at the same offered load,
// against a log whose answers take some milliseconds.
#include "cicadaport/base/io_pool.h"
#include "cicadaport/claims/claim_store.h"
#include "cicadaport/shared_log/log_client.h"
#include "cicadaport/standins/log_service.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace {

namespace asio = boost::asio;
using namespace cicadaport;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds log_delay{5};
constexpr std::size_t offered_per_second = 400;
constexpr std::chrono::seconds run_time{4};

// What one way cost.
struct cost {
    std::vector<double> milliseconds_each;
    std::size_t failures = 0;
    std::uint64_t appends = 0;
};

void print(const std::string& metric, double value, const std::string& unit,
           const std::string& target)
{
    const nlohmann::json line{{"bench", "claims"},
                              {"metric", metric},
                              {"value", value},
                              {"unit", unit},
                              {"target", target}};
    std::cout << line.dump() << std::endl;
}

asio::awaitable<void> claim_once(claims::claim_store& store, std::string key, cost& into)
{
    const auto start = clock_type::now();
    const claims::claim_request wanted{"account", key, "request"};
    bool failed = false;
    try {
        const auto claim = co_await store.acquire(wanted, start);
        failed = claim.outcome != claims::claim_outcome::won;
    }
    catch (const shared_log::log_error&) {
        failed = true;
    }
    const std::chrono::duration<double, std::milli> took = clock_type::now() - start;
    into.milliseconds_each.push_back(took.count());
    into.failures += failed ? 1 : 0;
}

// Offers claims at random times, whether or not earlier ones have ended.
asio::awaitable<void> offer(asio::io_context& context, claims::claim_store& store, cost& into)
{
    std::mt19937_64 random{17};
    std::exponential_distribution<double> gap{static_cast<double>(offered_per_second)};
    asio::steady_timer timer{context};
    const auto start = clock_type::now();
    auto at = start;
    std::size_t offered = 0;
    while (at < start + run_time) {
        at += std::chrono::duration_cast<clock_type::duration>(
            std::chrono::duration<double>{gap(random)});
        timer.expires_at(at);
        co_await timer.async_wait(asio::use_awaitable);
        const auto key = "key-" + std::to_string(offered++);
        asio::co_spawn(context, claim_once(store, key, into), asio::detached);
    }
    constexpr milliseconds poll{5};
    while (into.milliseconds_each.size() < offered) {
        timer.expires_after(poll);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::uint64_t appends_of(const http::address& log)
{
    asio::io_context context;
    http::client client{context};
    std::uint64_t out = 0;
    asio::co_spawn(context, client.exchange(log, {"GET", "/v1/statistics", {}, {}}),
                   [&](const std::exception_ptr&, const http::response& reply) {
                       out = nlohmann::json::parse(reply.body)["appends"].get<std::uint64_t>();
                   });
    context.run();
    return out;
}

void order_delay(const http::address& log)
{
    asio::io_context context;
    http::client client{context};
    const auto target = "/v1/faults?delay_ms=" + std::to_string(log_delay.count());
    asio::co_spawn(context, client.exchange(log, {"POST", target, {}, {}}), asio::detached);
    context.run();
}

cost measure(const claims::claim_settings& settings)
{
    base::io_pool log_pool{1};
    standins::log_service service{log_pool.context(0)};
    const http::server server{
        log_pool,
        "127.0.0.1",
        0,
        {},
        [&](std::size_t, const http::request& message, http::response_writer& writer) {
            return service.handle(message, writer);
        }};
    const std::jthread log_thread{[&] { log_pool.run(); }};
    const http::address log{"127.0.0.1", server.port()};
    order_delay(log);
    cost out;
    asio::io_context context;
    claims::claim_store store{context, log, settings};
    asio::co_spawn(context, offer(context, store, out),
                   [&](const std::exception_ptr&) { context.stop(); });
    context.run();
    out.appends = appends_of(log);
    log_pool.stop();
    return out;
}

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values.empty() ? 0 : values[index];
}

void report(const std::string& way, const cost& found)
{
    constexpr double middle = 0.5;
    constexpr double high = 0.99;
    const auto count = static_cast<double>(found.milliseconds_each.size());
    print(way + "_added_p50", percentile(found.milliseconds_each, middle), "ms", "");
    print(way + "_added_p99", percentile(found.milliseconds_each, high), "ms", "");
    print(way + "_appends_per_request", static_cast<double>(found.appends) / count, "appends",
          way == "batched" ? "< 1" : "");
    print(way + "_failed", static_cast<double>(found.failures), "requests", "== 0");
}

} // namespace

int main()
{
    print("offered", static_cast<double>(offered_per_second), "requests/s", "");
    print("log_delay", static_cast<double>(log_delay.count()), "ms", "");
    claims::claim_settings single;
    single.shards = 64;
    single.max_records_per_append = 1;
    single.min_append_interval = milliseconds{0};
    report("per_request", measure(single));
    report("batched", measure(claims::claim_settings{}));
    return 0;
}
