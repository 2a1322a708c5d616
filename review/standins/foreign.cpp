// Case 3: an entry of another writer, with fields missing, among those of the replicas.
#include "stand.h"

using namespace stand;

namespace {

constexpr int request_count = 60;

const char* const configuration =
    "{\"version\":1,\"routes\":[{\"name\":\"r-confirm\",\"host\":\"shop.example\",\"path-prefix\":"
    "\"/confirm/\",\"kind\":\"unsafe\",\"timeout-ms\":1000,\"target-latency-ms\":100,\"priority\":2,"
    "\"service\":\"records\",\"max-attempts\":1}],\"services\":[{\"name\":\"records\",\"health-path\":"
    "\"/health\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":"
    "16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

// A server that runs what it is sent under its id: a replica, or the other writer's.
class plain_server {
public:
    explicit plain_server(std::string id)
        : m_id{std::move(id)}, m_server{"127.0.0.1", [this](channel& through) { serve(through); }}
    {
    }
    std::string address() const { return m_server.address(); }
    const std::string& id() const { return m_id; }
    std::atomic<int> runs{0};

private:
    void serve(channel& through)
    {
        while (const auto request = through.read(ms{600'000})) {
            const auto id = request->field("request-id");
            if (request->field("target-instance") != m_id) {
                through.send(response(421, "Instance-Id: " + m_id + "\r\n", ""));
                continue;
            }
            ++runs;
            note("%s runs %s", m_id.c_str(), id.c_str());
            sleep_ms(15);
            through.send(response(200, "Request-Id: " + id + "\r\nResponse-Seal: s." + m_id + "\r\n",
                                  "confirmed by " + m_id));
        }
    }

    std::string m_id;
    server m_server;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        return 2;
    }
    const std::string folder = argv[1];
    const bool with_trouble = std::atoi(argv[2]) != 0;
    record_file = std::fopen((folder + "/record.txt").c_str(), "w");
    store log;
    net_link wide{1e9};
    store::entrance way{log, wide};
    plain_server one{"i-1"};
    plain_server two{"i-2"};
    plain_server foreign{"x-9"};
    const auto beat = [&](int sequence) {
        for (const auto* each : {&one, &two}) {
            log.put("keyed.servers", each->id(),
                    "{\"service\":\"records\",\"address\":\"" + each->address() +
                        "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                        "\"cold-left-ms\":0,\"sequence\":" +
                        std::to_string(sequence) + ",\"born\":1700000000000}");
        }
    };
    beat(1);
    std::thread{[&] {
        for (int sequence = 2;; ++sequence) {
            sleep_ms(1'200);
            beat(sequence);
        }
    }}.detach();
    log.put("keyed.op", "config", configuration);

    host tested{"host-a", own_ip(1), way.address(), folder, {own_ip(1)}};
    all_hosts = {&tested};
    tested.start();
    wait_until_ready(all_hosts);
    if (with_trouble) {
        // Without `slots`, `cold-left-ms`, `sequence` and `born`.
        const auto entry = "{\"service\":\"records\",\"address\":\"" + foreign.address() +
                           "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"state\":\"ready\"}";
        log.put("keyed.servers", foreign.id(), entry);
        note("another writer's entry %s: %s", foreign.id().c_str(), entry.c_str());
    }
    sleep_ms(host::contact_ms + 500);

    int foreign_answers = 0;
    int good_answers = 0;
    for (int number = 1; number <= request_count; ++number) {
        const auto id = "q" + std::to_string(number);
        const auto through = connect(tested.ip(), 18'149);
        if (through == nullptr ||
            !through->send("POST /confirm/" + id + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " +
                           id + "\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n")) {
            cannot_run("the host takes no channel");
        }
        const auto answer = through->read(ms{2'000});
        note("client gets %d \"%s\" for %s", answer ? answer->status() : 0,
             answer ? answer->body.c_str() : "", id.c_str());
        foreign_answers += answer && answer->body == "confirmed by " + foreign.id() ? 1 : 0;
        good_answers += answer && answer->status() == 200 ? 1 : 0;
        sleep_ms(20);
    }
    if (!tested.runs() || good_answers < request_count / 2) {
        cannot_run("the host does not serve");
    }
    note("requests that are to run once: %d; run by the server that no entry names as a replica: %d; "
         "its answers given to callers as the service's: %d",
         request_count, foreign.runs.load(), foreign_answers);
    const bool broken = foreign.runs > 0;
    std::printf("%s: %d of %d requests were run by a server that is no replica\n",
                broken ? "rule broken" : "rule held", foreign.runs.load(), request_count);
    finish(broken ? 1 : 0);
}
