// Case 1: a host that the store turns away for 9 s while versions of a large configuration are
// accepted, over a link of 10 Mbit/s.
#include "stand.h"

using namespace stand;

namespace {

constexpr int route_count = 1'400;
constexpr double link_bits_per_s = 10e6;
// Ordinary callers of the host under test: requests a second, and the size of their bodies.
constexpr int requests_per_s = 10;
constexpr std::size_t body_bytes = 12'000;
constexpr long away_ms = 9'000;
constexpr int versions_meanwhile = 9;

// Version N has the routes /keep/, /added-N/ and many others; /dropped/ is in version 1 only.
std::string configuration(int version)
{
    const auto route = [](const std::string& name, const std::string& prefix) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path-prefix\":\"" + prefix +
               "\",\"kind\":\"safe\",\"timeout-ms\":1000,\"target-latency-ms\":120,\"priority\":2,"
               "\"service\":\"records\",\"max-attempts\":2}";
    };
    std::string routes = route("r-keep", "/keep/");
    routes += "," + route("r-added", "/added-" + std::to_string(version) + "/");
    if (version == 1) {
        routes += "," + route("r-dropped", "/dropped/");
    }
    for (int index = 0; index < route_count; ++index) {
        routes += "," + route("route-" + std::to_string(index), "/prefix-" + std::to_string(index) + "/");
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
           "],\"services\":[{\"name\":\"records\",\"health-path\":\"/health\",\"max-conns\":590,"
           "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
           "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
}

std::atomic<int> runs_of_dropped{0};

void serve_replica(channel& through)
{
    while (const auto request = through.read(ms{600'000})) {
        const auto id = request->field("request-id");
        if (request->field("target-instance") != "i-1") {
            through.send(response(421, "Request-Id: " + id + "\r\n", ""));
            continue;
        }
        if (request->path() == "/dropped/x") {
            ++runs_of_dropped;
        }
        if (request->method() == "GET") {
            note("replica runs %s %s", id.c_str(), request->target().c_str());
        }
        sleep_ms(15);
        through.send(response(200, "Request-Id: " + id + "\r\nResponse-Seal: s.1\r\n", "done"));
    }
}

int ask(const host& which, const std::string& path)
{
    static std::atomic<int> last{0};
    const auto id = "q" + std::to_string(++last);
    const auto through = connect(which.ip(), 18'149);
    note("client sends %s GET %s to %s", id.c_str(), path.c_str(), which.name().c_str());
    if (through == nullptr ||
        !through->send("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                       "\r\nDeadline-Ms: 1000\r\n\r\n")) {
        note("client has no channel for %s", id.c_str());
        return 0;
    }
    const auto answer = through->read(ms{1'500});
    note("client gets %d for %s", answer ? answer->status() : 0, id.c_str());
    return answer ? answer->status() : 0;
}

// Sends the requests of ordinary callers over the host's link. They are counted, not recorded.
std::atomic<int> steady_sent{0};
std::atomic<int> steady_answered{0};

void call_steadily(const host& to, net_link& over)
{
    for (;;) {
        std::thread{[&to, &over] {
            const auto id = "s" + std::to_string(++steady_sent);
            const auto through = connect(to.ip(), 18'149);
            if (through != nullptr &&
                through->send("POST /keep/order HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                                  "\r\nDeadline-Ms: 1000\r\nContent-Length: " +
                                  std::to_string(body_bytes) + "\r\n\r\n" +
                                  std::string(body_bytes, 'x'),
                              &over)) {
                const auto answer = through->read(ms{1'500});
                steady_answered += answer && answer->status() == 200 ? 1 : 0;
            }
        }}.detach();
        sleep_ms(1'000 / requests_per_s);
    }
}

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
    // Each host has a link of 10 Mbit/s. The other host is never turned away.
    net_link tested_link{link_bits_per_s};
    net_link other_link{link_bits_per_s};
    store::entrance way{log, tested_link};
    store::entrance other_way{log, other_link};
    server replica{"127.0.0.1", serve_replica};
    const auto beat = [&](int sequence) {
        log.put("keyed.servers", "i-1",
                "{\"service\":\"records\",\"address\":\"" + replica.address() +
                    "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                    "\"cold-left-ms\":0,\"sequence\":" +
                    std::to_string(sequence) + ",\"born\":1700000000000}");
    };
    beat(1);
    std::thread{[&] {
        for (int sequence = 2;; ++sequence) {
            sleep_ms(1'200);
            beat(sequence);
        }
    }}.detach();
    const auto publish = [&](int version) {
        const auto text = configuration(version);
        log.put("keyed.op", "config", text);
        note("store acknowledges version %d, %zu bytes", version, text.size());
    };
    publish(1);

    host tested{"host-a", own_ip(1), way.address(), folder, {own_ip(1), own_ip(2)}};
    host other{"host-b", own_ip(2), other_way.address(), folder, {own_ip(1), own_ip(2)}};
    all_hosts = {&tested, &other};
    tested.start();
    other.start();
    wait_until_ready(all_hosts);
    std::thread{[&] { call_steadily(tested, tested_link); }}.detach();
    sleep_ms(3'000);
    if (ask(tested, "/keep/x") != 200 || ask(tested, "/dropped/x") != 200) {
        cannot_run("the host does not serve the first version");
    }

    if (with_trouble) {
        note("store turns host-a away");
        way.turn_away(true);
    }
    for (int index = 0; index < versions_meanwhile; ++index) {
        sleep_ms(away_ms / versions_meanwhile);
        publish(2 + index);
    }
    sleep_ms(300);
    way.turn_away(false);
    note("store serves host-a");
    // In touch again after contact-ms. The last version was acknowledged before.
    sleep_ms(host::contact_ms + 1'000);

    const int before = runs_of_dropped;
    bool other_holds = true;
    for (int index = 0; index < 10; ++index) {
        ask(tested, "/dropped/x");
        ask(tested, "/added-" + std::to_string(1 + versions_meanwhile) + "/x");
        other_holds = ask(other, "/added-" + std::to_string(1 + versions_meanwhile) + "/x") == 200 &&
                      other_holds;
        sleep_ms(2'000);
    }
    const int stale = runs_of_dropped - before;
    if (!tested.runs() || !other.runs()) {
        cannot_run("a host has ended");
    }
    note("ordinary requests to host-a: %d sent, %d answered with success", steady_sent.load(),
         steady_answered.load());
    note("requests on the dropped route that ran, sent %.0f s and more after the acknowledgement of "
         "the version without it, by a host in touch: %d of 10; host-b serves the newest: %s",
         (host::contact_ms + 1'000) / 1e3, stale, other_holds ? "yes" : "no");
    std::printf("%s: %d of 10 requests on a dropped route ran\n",
                stale > 0 ? "rule broken" : "rule held", stale);
    finish(stale > 0 ? 1 : 0);
}
