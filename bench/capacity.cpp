// Measures what one more account, endpoint, process, record, request or token
// costs, as the slope over at least four sizes, with the error of the fit.
//
// Prints one JSON line per slope. Times are processor time of this process.
#include "cicadaport/base/digest.h"
#include "cicadaport/base/io_pool.h"
#include "cicadaport/configuration/document.h"
#include "cicadaport/entry/engine_subset.h"
#include "cicadaport/fold/replica.h"
#include "cicadaport/fold/state.h"
#include "cicadaport/http/client.h"
#include "cicadaport/http/server.h"
#include "cicadaport/membership/watchers.h"
#include "cicadaport/relay/process_table.h"
#include "cicadaport/routing/placement.h"
#include "cicadaport/routing/view.h"

#include <malloc.h>
#include <nlohmann/json.hpp>
#include <peer.pb.h>
#include <record.pb.h>
#include <state.pb.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <future>
#include <iostream>
#include <numeric>
#include <thread>

namespace {

using namespace cicadaport;
namespace asio = boost::asio;

constexpr int repetitions = 9;
constexpr double us_per_second = 1e6;
constexpr double us_per_ns = 1e-3;

// One measured size and its cost.
struct point {
    double size = 0;
    double cost = 0;
};

// A straight line through points, and the root mean square of what it misses,
// relative to the mean cost.
struct line {
    double slope = 0;
    double intercept = 0;
    double relative_error = 0;
};

line fit(const std::vector<point>& points)
{
    const auto n = static_cast<double>(points.size());
    double size_sum = 0;
    double cost_sum = 0;
    for (const auto& each : points) {
        size_sum += each.size;
        cost_sum += each.cost;
    }
    const double mean_size = size_sum / n;
    const double mean_cost = cost_sum / n;
    double covariance = 0;
    double variance = 0;
    for (const auto& each : points) {
        covariance += (each.size - mean_size) * (each.cost - mean_cost);
        variance += (each.size - mean_size) * (each.size - mean_size);
    }
    line out;
    out.slope = covariance / variance;
    out.intercept = mean_cost - out.slope * mean_size;
    double missed = 0;
    for (const auto& each : points) {
        const double miss = each.cost - (out.intercept + out.slope * each.size);
        missed += miss * miss;
    }
    out.relative_error = std::sqrt(missed / n) / std::abs(mean_cost);
    return out;
}

void print(const std::string& metric, const std::string& unit, const std::vector<point>& points)
{
    const auto fitted = fit(points);
    auto sizes = nlohmann::json::array();
    auto costs = nlohmann::json::array();
    for (const auto& each : points) {
        sizes.push_back(each.size);
        costs.push_back(each.cost);
    }
    const nlohmann::json out{{"bench", "capacity"},
                             {"metric", metric},
                             {"value", fitted.slope},
                             {"unit", unit},
                             {"target", nullptr},
                             {"intercept", fitted.intercept},
                             {"relative_error", fitted.relative_error},
                             {"sizes", sizes},
                             {"costs", costs}};
    std::cout << out.dump() << std::endl;
}

double processor_us()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * us_per_second +
           static_cast<double>(now.tv_nsec) * us_per_ns;
}

// Returns the median processor time of `work` in microseconds.
template <typename Work>
double median_us(Work work)
{
    std::vector<double> times;
    for (int i = 0; i < repetitions; ++i) {
        const double start = processor_us();
        work();
        times.push_back(processor_us() - start);
    }
    std::ranges::sort(times);
    return times[times.size() / 2];
}

// Returns the bytes that are allocated while what `make` returns is alive.
template <typename Make>
double allocated_bytes(Make make)
{
    const auto before = mallinfo2();
    const auto kept = make();
    const auto after = mallinfo2();
    return static_cast<double>(after.uordblks + after.hblkhd) -
           static_cast<double>(before.uordblks + before.hblkhd);
}

// A document of a given size, section by section.
struct document_size {
    int accounts = 0;
    int endpoints = 0;
};

std::string accounts_section(int accounts)
{
    std::string out = "callers:\n";
    for (int i = 0; i < accounts; ++i) {
        const auto name = "account-" + std::to_string(i);
        out += "  - account: " + name + "\n    key_sha256: " + base::sha256_hex(name) +
               "\n    priority: standard\n    requests_per_second: 20\n"
               "    tokens_per_second: 20000\n    concurrent_requests: 40\n";
    }
    return out;
}

std::string endpoints_section(int endpoints)
{
    constexpr int ports = 50'000;
    constexpr int models = 3;
    std::string out = "endpoints:\n";
    for (int i = 0; i < endpoints; ++i) {
        out += "  - name: engine-" + std::to_string(i) + "\n    kind: engine\n    serves: model-" +
               std::to_string(i % models) +
               "\n    address: 127.0.0.1:" + std::to_string(1 + i % ports) +
               "\n    availability_zone: zone-1\n" + "    checks_fencing: true\n";
    }
    return out;
}

std::vector<configuration::section_text> sections_of(document_size size)
{
    return {{"priorities", "priorities:\n  - name: standard\n    rank: 0\n"
                           "    least_share_percent: 10\n    deadline_ms: 4000\n"},
            {"models", "models:\n  - name: model-0\n    version: \"1\"\n    weight_bytes: 1\n"
                       "  - name: model-1\n    version: \"1\"\n    weight_bytes: 1\n"
                       "  - name: model-2\n    version: \"1\"\n    weight_bytes: 1\n"},
            {"callers", accounts_section(size.accounts)},
            {"endpoints", endpoints_section(size.endpoints)}};
}

std::string text_of(document_size size)
{
    std::string out;
    for (const auto& each : sections_of(size)) {
        out += each.text;
    }
    return out;
}

protocol::record edit_of(document_size size)
{
    protocol::record out;
    out.set_append_id("edit");
    out.set_author("bench");
    out.mutable_edit()->set_schema_version(configuration::schema_version);
    for (const auto& each : sections_of(size)) {
        auto& section = *out.mutable_edit()->add_sections();
        section.set_section(each.name);
        section.set_text(each.text);
    }
    return out;
}

constexpr document_size account_sizes[] = {{200, 50}, {700, 50}, {1'400, 50}, {2'800, 50}};
constexpr document_size endpoint_sizes[] = {{200, 50}, {200, 180}, {200, 360}, {200, 720}};

// Measures one cost of a document for more accounts and for more endpoints.
template <typename Cost>
void print_document_slopes(const std::string& metric, const std::string& unit, Cost cost)
{
    std::vector<point> by_account;
    for (const auto size : account_sizes) {
        by_account.push_back({static_cast<double>(size.accounts), cost(size)});
    }
    print(metric + "_per_account", unit + "/account", by_account);
    std::vector<point> by_endpoint;
    for (const auto size : endpoint_sizes) {
        by_endpoint.push_back({static_cast<double>(size.endpoints), cost(size)});
    }
    print(metric + "_per_endpoint", unit + "/endpoint", by_endpoint);
}

void measure_documents()
{
    print_document_slopes("document_bytes", "B", [](document_size size) {
        return static_cast<double>(text_of(size).size());
    });
    print_document_slopes("document_parse", "us", [](document_size size) {
        const auto text = text_of(size);
        return median_us([&] { configuration::parse_document(text, "bench"); });
    });
    print_document_slopes("view_bytes", "B", [](document_size size) {
        const auto text = text_of(size);
        routing::load_table loads;
        return allocated_bytes([&] {
            auto document = std::make_shared<configuration::document>(
                configuration::parse_document(text, "bench"));
            return std::make_unique<routing::view>(std::move(document), 1,
                                                   std::vector<std::string>{}, loads);
        });
    });
    print_document_slopes("view_build", "us", [](document_size size) {
        const auto document = std::make_shared<configuration::document>(
            configuration::parse_document(text_of(size), "bench"));
        routing::load_table loads;
        return median_us([&] { routing::view{document, 1, {}, loads}; });
    });
    print_document_slopes("edit_fold", "us", [](document_size size) {
        const auto payload = edit_of(size).SerializeAsString();
        return median_us([&] { fold::state{}.apply(1, payload); });
    });
    print_document_slopes("state_bytes", "B", [](document_size size) {
        fold::state state;
        state.apply(1, edit_of(size).SerializeAsString());
        return static_cast<double>(state.serialize().size());
    });
    print_document_slopes("state_serialize", "us", [](document_size size) {
        fold::state state;
        state.apply(1, edit_of(size).SerializeAsString());
        return median_us([&] { state.serialize(); });
    });
}

protocol::process_status status_of(int index, int endpoints)
{
    protocol::process_status out;
    out.set_id("entry-" + std::to_string(index));
    out.set_kind("entry");
    out.set_address("127.0.0.1:20010");
    out.set_availability_zone("zone-1");
    out.set_offset_in_force(1'000'000);
    out.set_configuration_offset(999'000);
    for (int i = 0; i < endpoints; ++i) {
        auto& work = *out.add_work();
        work.set_endpoint("engine-" + std::to_string(i));
        work.set_requests(3);
        work.set_prefill_tokens(4'000);
        work.set_decode_tokens(900);
    }
    return out;
}

// Returns what a relay answers to one pull when it knows `processes`.
std::string pull_reply_of(const relay::process_table& table)
{
    protocol::pull_reply reply;
    for (auto& status : table.list(relay::process_table::clock::now())) {
        *reply.add_members() = std::move(status);
    }
    return reply.SerializeAsString();
}

void measure_processes()
{
    constexpr int sizes[] = {6, 50, 200, 410, 820};
    std::vector<point> bytes;
    std::vector<point> times;
    std::vector<point> memory;
    for (const int size : sizes) {
        relay::process_table table;
        const auto before = mallinfo2();
        for (int i = 0; i < size; ++i) {
            table.note(status_of(i, 0), relay::process_table::clock::now());
        }
        memory.push_back({static_cast<double>(size),
                          static_cast<double>(mallinfo2().uordblks - before.uordblks)});
        bytes.push_back(
            {static_cast<double>(size), static_cast<double>(pull_reply_of(table).size())});
        times.push_back({static_cast<double>(size), median_us([&] { pull_reply_of(table); })});
    }
    print("pull_reply_bytes_per_process", "B/process", bytes);
    print("pull_reply_build_per_process", "us/process", times);
    print("process_table_bytes_per_process", "B/process", memory);
}

void measure_reported_work()
{
    constexpr int sizes[] = {9, 50, 180, 360, 720};
    std::vector<point> bytes;
    for (const int size : sizes) {
        bytes.push_back(
            {static_cast<double>(size), static_cast<double>(status_of(1, size).ByteSizeLong())});
    }
    print("status_bytes_per_endpoint_with_work", "B/endpoint", bytes);
}

// What an entry process pays to pick its engines among all.
void measure_engine_choice()
{
    constexpr int sizes[] = {50, 180, 360, 720};
    constexpr int models = 3;
    constexpr int zones = 6;
    constexpr int rounds = 20;
    std::vector<point> times;
    for (const int size : sizes) {
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            names.push_back("engine-" + std::to_string(i));
        }
        const std::string model_names[models] = {"model-0", "model-1", "model-2"};
        const std::string zone_names[zones] = {"zone-0", "zone-1", "zone-2",
                                               "zone-3", "zone-4", "zone-5"};
        std::vector<entry::subset_candidate> among;
        among.reserve(names.size());
        for (int i = 0; i < size; ++i) {
            among.push_back({names[static_cast<std::size_t>(i)], model_names[i % models],
                             zone_names[i / models % zones]});
        }
        times.push_back({static_cast<double>(size), median_us([&] {
                                                        for (int i = 0; i < rounds; ++i) {
                                                            entry::choose_subset(among, "entry-1",
                                                                                 zone_names[0]);
                                                        }
                                                    }) / rounds});
    }
    print("engine_choice_per_endpoint", "us/endpoint", times);
}

// What a control process pays to find out whether it watches one endpoint.
void measure_watchers()
{
    constexpr int sizes[] = {6, 50, 200, 410, 820};
    constexpr int rounds = 20;
    std::vector<point> times;
    for (const int size : sizes) {
        std::vector<std::string> processes;
        processes.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            processes.push_back("control-" + std::to_string(i));
        }
        times.push_back({static_cast<double>(size), median_us([&] {
                                                        for (int i = 0; i < rounds; ++i) {
                                                            membership::watcher_rank(
                                                                "engine-1", "control-1", processes);
                                                        }
                                                    }) / rounds});
    }
    print("watcher_rank_per_process", "us/process", times);
}

protocol::record renewal(int index, std::uint64_t fencing_number)
{
    protocol::record out;
    out.set_append_id("0123456789abcdef0123456789abcdef-" + std::to_string(index));
    out.set_author("control-1");
    out.mutable_renew_lease()->set_partition("model-0");
    out.mutable_renew_lease()->set_fencing_number(fencing_number);
    return out;
}

void measure_renewals()
{
    constexpr int sizes[] = {500, 1'000, 2'000, 4'000};
    std::vector<point> bytes;
    std::vector<point> times;
    for (const int size : sizes) {
        std::vector<std::string> payloads;
        double total = 0;
        for (int i = 0; i < size; ++i) {
            payloads.push_back(renewal(i, 1).SerializeAsString());
            total += static_cast<double>(payloads.back().size());
        }
        protocol::record claim;
        claim.set_append_id("claim");
        claim.set_author("control-1");
        claim.mutable_claim_lease()->set_partition("model-0");
        claim.mutable_claim_lease()->set_duration_ms(3'000);
        bytes.push_back({static_cast<double>(size), total});
        times.push_back({static_cast<double>(size), median_us([&] {
                             fold::state state;
                             std::uint64_t offset = 0;
                             state.apply(++offset, claim.SerializeAsString());
                             for (const auto& each : payloads) {
                                 state.apply(++offset, each);
                             }
                         })});
    }
    print("renewal_bytes_per_record", "B/record", bytes);
    print("renewal_fold_per_record", "us/record", times);
}

// What an entry process decides for a request: whose key it is and where it goes.
void measure_decisions()
{
    constexpr int sizes[] = {5'000, 10'000, 20'000, 40'000};
    constexpr document_size fleet{2'800, 720};
    routing::load_table loads;
    const auto document = std::make_shared<configuration::document>(
        configuration::parse_document(text_of(fleet), "bench"));
    const routing::view view{document, 1, {}, loads};
    routing::random_source random{1};
    std::vector<point> times;
    for (const int size : sizes) {
        times.push_back({static_cast<double>(size), median_us([&] {
                             for (int i = 0; i < size; ++i) {
                                 view.find_caller(base::sha256_hex("account-17"));
                                 routing::two_random_choices{}.choose(view.candidates("model-1"),
                                                                      random);
                             }
                         })});
    }
    print("decision_per_request", "us/request", times);
}

// A server that streams as many events as the target's number says.
class event_server {
public:
    event_server()
        : m_server{m_pool,
                   "127.0.0.1",
                   0,
                   {},
                   [](std::size_t, const http::request& message, http::response_writer& writer) {
                       return stream(message, writer);
                   }}
    {
        m_thread = std::thread{[this] { m_pool.run(); }};
    }
    ~event_server()
    {
        m_pool.stop();
        m_thread.join();
    }
    event_server(const event_server&) = delete;
    event_server& operator=(const event_server&) = delete;

    http::address address() const { return {"127.0.0.1", m_server.port()}; }

private:
    static asio::awaitable<void> stream(const http::request& message, http::response_writer& writer)
    {
        // As long as an engine's event of one token.
        const std::string event = "id: 10\ndata: " + std::string(150, 'x') + "\n\n";
        const auto events = std::stoi(message.target.substr(1));
        http::response head{200, {{"Content-Type", "text/event-stream"}}, {}};
        co_await writer.begin_stream(std::move(head));
        for (int i = 0; i < events; ++i) {
            co_await writer.write(event);
        }
        co_await writer.end_stream();
    }

    base::io_pool m_pool{1};
    http::server m_server;
    std::thread m_thread;
};

asio::awaitable<void> read_stream(http::client& client, http::address from, int events)
{
    http::request message{"GET", "/" + std::to_string(events), {}, {}};
    auto reply = co_await client.open(from, std::move(message), {});
    for (;;) {
        const auto piece = co_await reply.next();
        if (!piece) {
            break;
        }
    }
}

asio::awaitable<void> read_streams(http::client& client, http::address from, int requests,
                                   int events)
{
    for (int i = 0; i < requests; ++i) {
        co_await read_stream(client, from, events);
    }
}

// Returns the processor time of both ends for requests of so many events.
double streaming_us(const event_server& server, int requests, int events)
{
    return median_us([&] {
        asio::io_context context;
        http::client client{context};
        asio::co_spawn(context, read_streams(client, server.address(), requests, events),
                       asio::detached);
        context.run();
    });
}

// An entry process is a server towards its caller and a client towards the
// engine: the two ends of one connection cost what it pays for one request.
void measure_http()
{
    const event_server server;
    constexpr int request_counts[] = {250, 500, 1'000, 2'000};
    std::vector<point> by_request;
    for (const int count : request_counts) {
        by_request.push_back({static_cast<double>(count), streaming_us(server, count, 1)});
    }
    print("http_per_request", "us/request", by_request);
    constexpr int event_counts[] = {2'000, 4'000, 8'000, 16'000};
    std::vector<point> by_event;
    for (const int count : event_counts) {
        by_event.push_back({static_cast<double>(count), streaming_us(server, 1, count)});
    }
    print("http_per_event", "us/event", by_event);
}

} // namespace

int main()
{
    measure_documents();
    measure_processes();
    measure_reported_work();
    measure_engine_choice();
    measure_watchers();
    measure_renewals();
    measure_decisions();
    measure_http();
    return 0;
}
