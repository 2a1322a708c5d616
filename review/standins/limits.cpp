// Case 4: a configuration that raises `max-body-bytes` while clients keep channels open.
#include "stand.h"

using namespace stand;

namespace {

constexpr int channel_count = 20;
constexpr std::size_t body_bytes = 200'000;

std::string configuration(int version, long max_body_bytes)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r-confirm\",\"host\":\"shop.example\",\"path-prefix\":"
           "\"/confirm/\",\"kind\":\"unsafe\",\"timeout-ms\":1000,\"target-latency-ms\":100,"
           "\"priority\":2,\"service\":\"records\",\"max-attempts\":1}],\"services\":[{\"name\":"
           "\"records\",\"health-path\":\"/health\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":"
           "false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":" +
           std::to_string(max_body_bytes) +
           ",\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
}

void serve_replica(channel& through)
{
    while (const auto request = through.read(ms{600'000})) {
        const auto id = request->field("request-id");
        if (request->field("target-instance") != "i-1") {
            through.send(response(421, "Instance-Id: i-1\r\n", ""));
            continue;
        }
        note("replica runs %s, body of %zu bytes", id.c_str(), request->body.size());
        sleep_ms(15);
        through.send(response(200, "Request-Id: " + id + "\r\nResponse-Seal: s.1\r\n", "done"));
    }
}

int ask(channel& through, const std::string& id, std::size_t size, const char* where)
{
    through.send("POST /confirm/" + id + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                 "\r\nDeadline-Ms: 1000\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
                 std::string(size, 'x'));
    const auto answer = through.read(ms{2'000});
    const int status = answer ? answer->status() : 0;
    note("client sends %s, body of %zu bytes, on a %s channel; gets %d", id.c_str(), size, where,
         status);
    return status;
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
    net_link wide{1e9};
    store::entrance way{log, wide};
    server replica{"127.0.0.1", serve_replica};
    const auto beat = [&](int sequence) {
        log.put("keyed.servers", "i-1",
                "{\"service\":\"records\",\"address\":\"" + replica.address() +
                    "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
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
    constexpr long low = 100'000;
    constexpr long high = 4'194'304;
    log.put("keyed.op", "config", configuration(1, with_trouble ? low : high));

    host tested{"host-a", own_ip(1), way.address(), folder, {own_ip(1)}};
    all_hosts = {&tested};
    tested.start();
    wait_until_ready(all_hosts);
    sleep_ms(host::contact_ms + 500);

    std::vector<std::unique_ptr<channel>> kept;
    for (int number = 0; number < channel_count; ++number) {
        kept.push_back(connect(tested.ip(), 18'149));
        if (kept.back() == nullptr ||
            ask(*kept.back(), "a" + std::to_string(number), 600, "new") != 200) {
            cannot_run("the host does not serve");
        }
    }
    if (with_trouble) {
        log.put("keyed.op", "config", configuration(2, high));
        note("store acknowledges version 2: max-body-bytes %ld instead of %ld", high, low);
    }
    // Longer than config-apply-ms; the channels have rested for less than four fifths of
    // idle-timeout-ms then.
    sleep_ms(host::apply_ms + 2'000);

    int on_new = 0;
    int refused_on_kept = 0;
    for (int number = 0; number < channel_count; ++number) {
        const auto fresh = connect(tested.ip(), 18'149);
        on_new += fresh != nullptr &&
                          ask(*fresh, "n" + std::to_string(number), body_bytes, "new") == 200
                      ? 1
                      : 0;
        refused_on_kept +=
            ask(*kept[static_cast<std::size_t>(number)], "k" + std::to_string(number), body_bytes,
                "kept") == 413
                ? 1
                : 0;
    }
    if (!tested.runs() || on_new != channel_count) {
        cannot_run("the host does not serve on new channels");
    }
    note("sent 5 s and more after the acknowledgement: on new channels %d of %d served; on kept "
         "channels %d of %d refused for good with 413",
         on_new, channel_count, refused_on_kept, channel_count);
    // DENIED allows five and one in 500 of all requests.
    const bool broken = refused_on_kept > 5;
    std::printf("%s: %d of %d requests on kept channels got 413\n",
                broken ? "rule broken" : "rule held", refused_on_kept, channel_count);
    finish(broken ? 1 : 0);
}
