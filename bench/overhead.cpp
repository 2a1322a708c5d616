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

// A child that serves callers.
struct entry_process {
    pid_t pid = 0;
    // The engine's port goes to the child, the child's own port comes back.
    int to_child = -1;
    int from_child = -1;
    http::address address{"127.0.0.1", 0};
};

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

std::string configuration_text(std::uint16_t engine_port)
{
    return "priorities:\n  - name: p\n    rank: 0\n    least_share_percent: 40\n"
           "    deadline_ms: 60000\nmodels:\n  - name: m\n    version: \"1\"\n"
           "    weight_bytes: 1\n    least_replicas: 1\n    expected_output_tokens: 8\n"
           "engine_roles:\n  policy: never\n  change_price_requests: 20\n"
           "  change_time_ms: 2000\ncallers:\n  - account: a\n    key_sha256: " +
           base::sha256_hex("key") +
           "\n    priority: p\nservices: []\nendpoints:\n  - name: engine-1\n    kind: engine\n"
           "    serves: m\n    address: 127.0.0.1:" +
           std::to_string(engine_port) + "\n    availability_zone: z\n";
}

void serve_entry(std::uint16_t engine_port, int port_to, settings::completion_path path)
{
    spdlog::set_level(spdlog::level::err);
    base::io_pool pool{1};
    routing::load_table loads;
    const base::published<routing::view> view{std::make_unique<routing::view>(
        std::make_shared<configuration::document>(
            configuration::parse_document(configuration_text(engine_port), "bench")),
        1, std::vector<std::string>{}, loads)};
    entry::metrics counters;
    entry::gateway gateway{pool, view, counters, path};
    const http::server server{
        pool,
        "127.0.0.1",
        0,
        {},
        [&](std::size_t worker, const http::request& message, http::response_writer& writer) {
            return gateway.handle(worker, message, writer);
        }};
    const auto port = server.port();
    if (::write(port_to, &port, sizeof port) == static_cast<ssize_t>(sizeof port)) {
        pool.run();
    }
}

// Starts a child that waits for the engine's port.
entry_process start_entry(settings::completion_path path)
{
    int down[2];
    int up[2];
    if (::pipe(down) != 0 || ::pipe(up) != 0) {
        throw std::runtime_error{"no pipe"};
    }
    entry_process out;
    out.to_child = down[1];
    out.from_child = up[0];
    out.pid = ::fork();
    if (out.pid == 0) {
        std::uint16_t engine_port = 0;
        if (::read(down[0], &engine_port, sizeof engine_port) > 0) {
            serve_entry(engine_port, up[1], path);
        }
        ::_exit(0);
    }
    return out;
}

// Tells the child the engine's port and learns its own.
void connect_entry(entry_process& entry, std::uint16_t engine_port)
{
    auto& port = entry.address.port;
    const auto size = static_cast<ssize_t>(sizeof port);
    if (::write(entry.to_child, &engine_port, sizeof engine_port) != size ||
        ::read(entry.from_child, &port, sizeof port) != size) {
        throw std::runtime_error{"the entry process did not start"};
    }
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

asio::awaitable<void> open_one(http::client& client, http::address to,
                               std::vector<http::response_stream>& kept)
{
    http::exchange_options options;
    options.fresh_connection = true;
    try {
        auto stream = co_await client.open(to, completion("hold"), options);
        co_await stream.next();
        kept.push_back(std::move(stream));
    }
    catch (const http::exchange_error& error) {
        std::cerr << error.what() << '\n';
    }
}

asio::awaitable<void> open_some(http::client& client, http::address to,
                                std::vector<http::response_stream>& kept, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        co_await open_one(client, to, kept);
    }
}

void measure_memory(const entry_process& entry)
{
    const auto before = resident_kilobytes(entry.pid);
    asio::io_context context;
    http::client client{context};
    std::vector<http::response_stream> kept;
    for (std::size_t i = 0; i < connections; ++i) {
        asio::co_spawn(context, open_some(client, entry.address, kept, open_streams / connections),
                       asio::detached);
    }
    context.run();
    const auto after = resident_kilobytes(entry.pid);
    print("open_streams", static_cast<double>(kept.size()), "streams", "== 1984");
    print("memory_per_stream", (after - before) / static_cast<double>(kept.size()), "KB", "<= 32");
}

void measure_time(const http::address& engine, const http::address& resumable_entry,
                  const http::address& pass_through_entry)
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
    auto resumable = start_entry(settings::completion_path::resumable);
    auto baseline = start_entry(settings::completion_path::pass_through);
    int status = 0;
    try {
        base::io_pool pool{1};
        const http::server server{
            pool,
            "127.0.0.1",
            0,
            {},
            [](std::size_t, const http::request& message, http::response_writer& writer) {
                return answer(message, writer);
            }};
        const std::jthread thread{[&] { pool.run(); }};
        connect_entry(resumable, server.port());
        connect_entry(baseline, server.port());
        measure_time({"127.0.0.1", server.port()}, resumable.address, baseline.address);
        measure_memory(resumable);
        pool.stop();
    }
    catch (const std::exception& error) {
        std::cerr << "could not measure: " << error.what() << '\n';
        status = 1;
    }
    for (const auto child : {resumable.pid, baseline.pid}) {
        ::kill(child, SIGTERM);
        ::waitpid(child, nullptr, 0);
    }
    return status;
}
