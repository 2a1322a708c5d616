// What an entry process adds to a request, against the same stand-in called
// directly in the same run.
//
// The entry process is a child of its own, so that its memory can be read; the
// stand-in and the callers share this one.
#include "cicadaport/base/digest.h"
#include "cicadaport/entry/gateway.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace {

namespace asio = boost::asio;
using namespace cicadaport;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

const http::address engine{"127.0.0.1", 35'100};
const http::address resumable_entry{"127.0.0.1", 35'101};
const http::address pass_through_entry{"127.0.0.1", 35'102};
constexpr std::uint32_t tokens = 8;
constexpr std::size_t open_streams = 2'000;
constexpr std::size_t connections = 32;
constexpr std::chrono::seconds run_time{3};

void print(const std::string& metric, double value, const std::string& unit,
           const std::string& target)
{
    const nlohmann::json line{{"bench", "overhead"},
                              {"metric", metric},
                              {"value", value},
                              {"unit", unit},
                              {"target", target}};
    std::cout << line.dump() << std::endl;
}

std::string configuration_text()
{
    return "priorities:\n  - name: p\n    rank: 0\n    least_share_percent: 40\n"
           "    deadline_ms: 60000\nmodels:\n  - name: m\n    version: \"1\"\n"
           "    weight_bytes: 1\n    least_replicas: 1\n    expected_output_tokens: 8\n"
           "engine_roles:\n  policy: never\n  change_price_requests: 20\n"
           "  change_time_ms: 2000\ncallers:\n  - account: a\n    key_sha256: " +
           base::sha256_hex("key") +
           "\n    priority: p\nservices: []\nendpoints:\n  - name: engine-1\n    kind: engine\n"
           "    serves: m\n    address: 127.0.0.1:35100\n    availability_zone: z\n";
}

void serve_entry(const http::address& at, settings::completion_path path)
{
    spdlog::set_level(spdlog::level::err);
    base::io_pool pool{1};
    routing::load_table loads;
    const base::published<routing::view> view{std::make_unique<routing::view>(
        std::make_shared<configuration::document>(
            configuration::parse_document(configuration_text(), "bench")),
        1, std::vector<std::string>{}, loads)};
    entry::metrics counters;
    entry::gateway gateway{pool, view, counters, path};
    const http::server server{
        pool,
        at.ip,
        at.port,
        {},
        [&](std::size_t worker, const http::request& message, http::response_writer& writer) {
            return gateway.handle(worker, message, writer);
        }};
    pool.run();
}

pid_t start_entry(const http::address& at, settings::completion_path path)
{
    const auto child = ::fork();
    if (child == 0) {
        try {
            serve_entry(at, path);
        }
        catch (const std::exception& error) {
            std::cerr << error.what() << '\n';
        }
        ::_exit(0);
    }
    return child;
}

std::string token_event(std::uint32_t index)
{
    const nlohmann::json choice{{"index", 0}, {"text", "word "}};
    const nlohmann::json event{{"id", "x"}, {"choices", nlohmann::json::array({choice})}};
    return "id: " + std::to_string(index) + "\ndata: " + event.dump() + "\n\n";
}

// Streams a few tokens at once, or one and then nothing if asked to hold.
asio::awaitable<void> answer(const http::request& message, http::response_writer& writer)
{
    http::response head{200, {}, {}};
    head.fields.add("Content-Type", "text/event-stream");
    co_await writer.begin_stream(std::move(head));
    const bool hold = message.body.find("\"hold\"") != std::string::npos;
    for (std::uint32_t i = 0; i < (hold ? 1 : tokens); ++i) {
        const auto text = token_event(i);
        co_await writer.write(text);
    }
    if (hold) {
        constexpr std::chrono::seconds hold_time{14};
        asio::steady_timer timer{co_await asio::this_coro::executor, hold_time};
        co_await timer.async_wait(asio::use_awaitable);
        co_return;
    }
    co_await writer.write("data: [DONE]\n\n");
    co_await writer.end_stream();
}

http::request completion(const std::string& prompt)
{
    const nlohmann::json body{{"model", "m"}, {"prompt", prompt}, {"stream", true}};
    http::request out{"POST", "/v1/completions", {}, body.dump()};
    out.fields.add("Authorization", "Bearer key");
    return out;
}

// The times and the number of failures of one run.
struct outcome {
    std::vector<double> milliseconds_each;
    std::size_t failures = 0;
};

asio::awaitable<void> call_once(http::client& client, http::address to, outcome& into)
{
    const auto start = clock_type::now();
    try {
        const auto reply = co_await client.exchange(to, completion("short"));
        into.failures += reply.status == 200 ? 0 : 1;
    }
    catch (const http::exchange_error&) {
        ++into.failures;
    }
    const std::chrono::duration<double, std::milli> took = clock_type::now() - start;
    into.milliseconds_each.push_back(took.count());
}

asio::awaitable<void> call_until(http::client& client, http::address to,
                                 clock_type::time_point until, outcome& into)
{
    while (clock_type::now() < until) {
        co_await call_once(client, to, into);
    }
}

// Returns how many requests a second go through at most.
double saturate(const http::address& to)
{
    asio::io_context context;
    http::client client{context};
    outcome found;
    const auto until = clock_type::now() + run_time;
    for (std::size_t i = 0; i < connections; ++i) {
        asio::co_spawn(context, call_until(client, to, until, found), asio::detached);
    }
    context.run();
    if (found.failures > 0) {
        throw std::runtime_error{std::to_string(found.failures) + " requests failed"};
    }
    return static_cast<double>(found.milliseconds_each.size()) /
           std::chrono::duration<double>(run_time).count();
}

asio::awaitable<void> offer(asio::io_context& context, http::client& client, http::address to,
                            double per_second, outcome& into)
{
    asio::steady_timer timer{context};
    const auto start = clock_type::now();
    const std::chrono::duration<double> gap{1 / per_second};
    for (std::size_t sent = 0; clock_type::now() < start + run_time; ++sent) {
        const auto at = start + std::chrono::duration_cast<clock_type::duration>(
                                    gap * static_cast<double>(sent));
        timer.expires_at(at);
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(context, call_once(client, to, into), asio::detached);
    }
}

outcome offer_load(const http::address& to, double per_second)
{
    asio::io_context context;
    http::client client{context};
    outcome found;
    asio::co_spawn(context, offer(context, client, to, per_second, found), asio::detached);
    context.run();
    return found;
}

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values.empty() ? 0 : values[index];
}

double resident_kilobytes(pid_t process)
{
    std::ifstream in{"/proc/" + std::to_string(process) + "/statm"};
    double pages = 0;
    in >> pages >> pages;
    constexpr double bytes_per_kilobyte = 1'024;
    return pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / bytes_per_kilobyte;
}

asio::awaitable<void> open_one(http::client& client, std::vector<http::response_stream>& kept)
{
    http::exchange_options options;
    options.fresh_connection = true;
    try {
        auto stream = co_await client.open(resumable_entry, completion("hold"), options);
        co_await stream.next();
        kept.push_back(std::move(stream));
    }
    catch (const http::exchange_error& error) {
        std::cerr << error.what() << '\n';
    }
}

asio::awaitable<void> open_some(http::client& client, std::vector<http::response_stream>& kept,
                                std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        co_await open_one(client, kept);
    }
}

void measure_memory(pid_t entry)
{
    const auto before = resident_kilobytes(entry);
    asio::io_context context;
    http::client client{context};
    std::vector<http::response_stream> kept;
    for (std::size_t i = 0; i < connections; ++i) {
        asio::co_spawn(context, open_some(client, kept, open_streams / connections),
                       asio::detached);
    }
    context.run();
    const auto after = resident_kilobytes(entry);
    print("open_streams", static_cast<double>(kept.size()), "streams", "== 1984");
    print("memory_per_stream", (after - before) / static_cast<double>(kept.size()), "KB", "<= 32");
}

void measure_time()
{
    constexpr double middle = 0.5;
    constexpr double high = 0.99;
    const auto baseline = saturate(pass_through_entry);
    const auto full = saturate(resumable_entry);
    print("pass_through_rate", baseline, "requests/s", "");
    print("resumable_rate", full, "requests/s", "");
    print("rate_ratio", full / baseline, "ratio", ">= 0.8");
    const auto direct = offer_load(engine, full / 2);
    const auto through = offer_load(resumable_entry, full / 2);
    print("failed", static_cast<double>(direct.failures + through.failures), "requests", "== 0");
    print("added_p50",
          percentile(through.milliseconds_each, middle) -
              percentile(direct.milliseconds_each, middle),
          "ms", "<= 0.3");
    print("added_p99",
          percentile(through.milliseconds_each, high) - percentile(direct.milliseconds_each, high),
          "ms", "<= 1");
}

} // namespace

int main()
{
    const auto resumable = start_entry(resumable_entry, settings::completion_path::resumable);
    const auto baseline = start_entry(pass_through_entry, settings::completion_path::pass_through);
    int status = 0;
    try {
        base::io_pool pool{1};
        const http::server server{
            pool,
            engine.ip,
            engine.port,
            {},
            [](std::size_t, const http::request& message, http::response_writer& writer) {
                return answer(message, writer);
            }};
        const std::jthread thread{[&] { pool.run(); }};
        constexpr milliseconds start_time{300};
        std::this_thread::sleep_for(start_time);
        measure_time();
        measure_memory(resumable);
        pool.stop();
    }
    catch (const std::exception& error) {
        std::cerr << "could not measure: " << error.what() << '\n';
        status = 1;
    }
    for (const auto child : {resumable, baseline}) {
        ::kill(child, SIGTERM);
        ::waitpid(child, nullptr, 0);
    }
    return status;
}
