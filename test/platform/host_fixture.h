// A test fixture that runs a complete host process against stand-ins of the platform.
#pragma once

#include "caller.h"
#include "stand_ins.h"

#include "support/port_block.h"

#include "platform/wire.h"

#include "cicadaport/serving/host_process.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <sstream>
#include <stdexcept>

#include <unistd.h>

namespace cicadaport::platform::testing {

using namespace std::chrono_literals;
using cicadaport::testing::free_port;

constexpr std::string_view configuration_topic = "keyed.op";
constexpr std::string_view replicas_topic = "keyed.servers";
constexpr auto max_wait = 8s;

// Waits until `done` returns true. Returns false if it does not within `max_wait`.
template <typename Done>
bool eventually(Done done)
{
    const auto limit = std::chrono::steady_clock::now() + max_wait;
    while (!done() && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(2ms);
    }
    return done();
}

inline std::string request(const std::string& method, const std::string& target,
                           const std::string& id, const std::string& fields = "",
                           const std::string& body = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: 5000\r\n" + fields +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

// Captures what the process logs while the object exists.
class captured_log {
public:
    captured_log() : m_before{spdlog::default_logger()}
    {
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(m_text);
        spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    }
    // The host must have stopped before.
    ~captured_log() { spdlog::set_default_logger(m_before); }

    std::string text() const { return m_text.str(); }

private:
    std::ostringstream m_text;
    std::shared_ptr<spdlog::logger> m_before;
};

inline scripted_response signed_answer(const received_request& to, const std::string& body)
{
    return make_response(200, "Request-Id: " + to.field("Request-Id") + "\r\nResponse-Seal: s\r\n",
                         body);
}

inline scripted_response not_executed(const received_request& to)
{
    return make_response(503, "Request-Id: " + to.field("Request-Id") + "\r\nNot-Executed: 1\r\n",
                         "");
}

inline std::string events(int from, int to)
{
    std::string out;
    for (int id = from; id <= to; ++id) {
        out += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    }
    return out;
}

inline scripted_response stream(const received_request& to, const std::string& signature,
                                const std::string& bytes, scripted_response::then after)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx", bytes.size());
    return {"HTTP/1.1 200 OK\r\nRequest-Id: " + to.field("Request-Id") + "\r\nResponse-Seal: " +
                signature + "\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + bytes +
                "\r\n" + (after == scripted_response::then::keep ? "0\r\n\r\n" : ""),
            after};
}

// A stream of events up to `last` that pauses after the event `from` of them.
inline scripted_response pausing_stream(const received_request& to, int from, int last,
                                        std::chrono::milliseconds pause)
{
    auto out = stream(to, "s", events(1, from), scripted_response::then::keep);
    constexpr std::string_view end_of_chunks = "0\r\n\r\n";
    out.bytes.erase(out.bytes.size() - end_of_chunks.size());
    const auto whole = stream(to, "s", events(from + 1, last), scripted_response::then::keep).bytes;
    out.rest = whole.substr(whole.find("\r\n\r\n") + end_of_chunks.size() - 1);
    out.pause = pause;
    return out;
}

class host_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        publish(1);
        settings.name = "host-1";
        settings.availability_zone = "z";
        settings.caller_address = {"127.0.0.1", free_port()};
        settings.readiness_address = {"127.0.0.1", free_port()};
        settings.store_address = store.address();
        settings.peers.own = {"127.0.0.1", free_port()};
        settings.attempts.ratio = 0.2;
        settings.accept_time_after_stop = 20ms;
        wire_adapter = std::make_unique<wire>(settings.store_address);
    }

    void TearDown() override { stop_host(); }

    void stop_host()
    {
        if (process) {
            process->stop();
            thread.join();
            process.reset();
        }
    }

    void start_host()
    {
        process =
            std::make_unique<serving::host_process>([this] { return settings; }, *wire_adapter);
        thread = std::thread{[this] { process->run(); }};
    }

    // Starts the host and waits until it is ready and has read the list of replicas.
    void start()
    {
        start_host();
        ASSERT_TRUE(eventually([this] { return ready() == 200; }));
    }

    unsigned ready() { return ready(settings.readiness_address); }

    // Returns the status of a readiness check; 0 while the host does not listen.
    static unsigned ready(const http::address& address)
    {
        try {
            return caller{address}.ask("GET /-/ready HTTP/1.1\r\n\r\n").status;
        }
        catch (const boost::system::system_error&) {
            return 0;
        }
    }

    // Publishes a configuration. `padding` is the size of a field that hosts ignore, `limits` are
    // the fields of the limits on callers.
    void publish(int version, int most_attempts = 2, std::size_t padding = 0,
                 const std::string& limits = R"("idle-timeout-ms":60000)")
    {
        const auto route = [&](const std::string& name, const std::string& kind,
                               const std::string& more) {
            return R"({"name":")" + name + R"(","host":"h.example","path-prefix":"/)" + name +
                   R"(/","kind":")" + kind + R"(","timeout-ms":5000,"target-latency-ms":2000,)" +
                   R"("max-attempts":)" + std::to_string(most_attempts) + more + "}";
        };
        const std::string routes =
            route("safe", "safe", R"(,"service":"s")") + "," +
            route("once", "unsafe", R"(,"service":"s")") + "," +
            route("stream", "streaming", R"(,"service":"s")") + "," +
            route("going", "streaming", R"(,"service":"s","resumable":true)") + "," +
            route("prompt", "streaming", R"(,"service":"e","sticky":true)") + "," +
            route("prompt-going", "streaming", R"(,"service":"e","sticky":true,"resumable":true)") +
            "," + route("v" + std::to_string(version), "safe", R"(,"service":"s")");
        store.put(std::string{configuration_topic}, "config",
                  R"({"version":)" + std::to_string(version) + R"(,"padding":")" +
                      std::string(padding, 'x') + R"(","routes":[)" + routes +
                      R"(],"services":[{"name":"s","max-conns":64},{"name":"e","max-conns":64,)"
                      R"("engine":{"slots":64,"token-kv-bytes":1000,"link-mbps":1000}}],)"
                      R"("limits":{)" +
                      limits + "}}");
    }

    void list_replica(const std::string& id, const http::address& at,
                      const std::string& service = "s", const std::string& more = "",
                      const std::string& state = "ready", int sequence = 1)
    {
        store.put(std::string{replicas_topic}, id,
                  R"({"service":")" + service + R"(","address":")" + http::to_string(at) +
                      R"(","zone":"z","slots":4,"state":")" + state +
                      R"(","cold-left-ms":0,"sequence":)" + std::to_string(sequence) +
                      R"(,"born":1)" +
                      (more.find("\"version\"") == std::string::npos ? R"(,"version":"v1")" : "") +
                      more + "}");
    }

    caller::answer ask(const std::string& bytes)
    {
        return caller{settings.caller_address}.ask(bytes);
    }

    standin_store store;
    serving::host_settings settings;
    std::unique_ptr<wire> wire_adapter;
    std::unique_ptr<serving::host_process> process;
    std::thread thread;
};

// Several hosts that exchange gossip, with the same store and replicas.
class fleet_test : public host_test {
protected:
    static constexpr int hosts = 4;

    struct running_host {
        serving::host_settings settings;
        std::unique_ptr<serving::host_process> process;
        std::thread thread;

        void start(const serving::wire_format& adapter)
        {
            process = std::make_unique<serving::host_process>([this] { return settings; }, adapter);
            thread = std::thread{[this] { process->run(); }};
        }

        void stop()
        {
            process->stop();
            thread.join();
            process.reset();
        }

        bool is_ready() const { return ready(settings.readiness_address) == 200; }
    };

    void TearDown() override
    {
        for (auto& each : fleet) {
            each.stop();
        }
    }

    // Changes the settings of one host before it starts.
    virtual void adjust_settings(int, serving::host_settings&) {}

    // The hosts differ in their loopback addresses and share port numbers.
    void start_fleet()
    {
        fleet.resize(hosts);
        for (int number = 0; number < hosts; ++number) {
            auto& each = fleet[static_cast<std::size_t>(number)];
            const auto ip = "127.0.0." + std::to_string(number + 1);
            each.settings = settings;
            each.settings.name = "host-" + std::to_string(number);
            each.settings.caller_address.ip = ip;
            each.settings.readiness_address.ip = ip;
            each.settings.peers.own.ip = ip;
            each.settings.peers.seed_ips = {"127.0.0.1"};
            adjust_settings(number, each.settings);
            each.start(*wire_adapter);
        }
        ASSERT_TRUE(eventually([this] {
            return std::all_of(fleet.begin(), fleet.end(),
                               [](const auto& each) { return each.is_ready(); });
        }));
    }

    std::vector<running_host> fleet;
};

} // namespace cicadaport::platform::testing
