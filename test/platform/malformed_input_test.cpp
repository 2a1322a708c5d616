// Hosts receive malformed and extreme input from callers, other hosts and the store. A host that
// ended on it would be replaced by one that receives the same input again.
#include "host_fixture.h"

#include "news.pb.h"

#include <random>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::received_request;
using testing::request;
using testing::scripted_server;
using testing::signed_answer;

constexpr int input_count = 3'000;

class malformed_input_test : public testing::host_test {
protected:
    void start_with_replica()
    {
        replica = std::make_unique<scripted_server>(
            [](const received_request& each) { return signed_answer(each, "body"); });
        list_replica("i-1", replica->address());
        start();
    }

    void expect_served()
    {
        EXPECT_TRUE(testing::eventually(
            [this] { return ask(request("GET", "/safe/x", "r1")).body == "body"; }));
        EXPECT_EQ(ready(), 200U);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
    }

    std::string random_bytes(std::size_t max_size)
    {
        std::string out(pick(max_size + 1), '\0');
        for (auto& each : out) {
            each = static_cast<char>(pick(256));
        }
        return out;
    }

    // Changes, drops or repeats some bytes.
    std::string mutate(std::string bytes)
    {
        for (auto changes = pick(6); changes > 0 && !bytes.empty(); --changes) {
            const auto at = pick(bytes.size());
            switch (pick(3)) {
            case 0:
                bytes[at] = static_cast<char>(pick(256));
                break;
            case 1:
                bytes.erase(at, pick(8));
                break;
            default:
                bytes.insert(at, bytes.substr(at, pick(16)));
            }
        }
        return bytes;
    }

    std::string extreme_number()
    {
        static const std::vector<std::string> numbers{"0",
                                                      "-1",
                                                      "9223372036854775807",
                                                      "-9223372036854775808",
                                                      "18446744073709551616",
                                                      "1e30",
                                                      "0.5",
                                                      "nan",
                                                      "-9223372036855",
                                                      "",
                                                      "x"};
        return numbers[pick(numbers.size())];
    }

    std::uint64_t extreme_integer()
    {
        static const std::vector<std::uint64_t> numbers{
            0, 1, 0x7fffffff, 0xffffffff, 0x7fffffffffffffff, 0xffffffffffffffff};
        return numbers[pick(numbers.size())];
    }

    protocol::host_news extreme_news()
    {
        protocol::host_news out;
        out.set_sender(extreme_integer());
        out.set_zone(static_cast<std::uint32_t>(extreme_integer()));
        auto& begun = *out.add_begun();
        begun.set_id(extreme_integer());
        begun.set_engine(static_cast<std::uint32_t>(extreme_integer()));
        begun.set_urgency(static_cast<std::uint32_t>(extreme_integer()));
        begun.set_reading(static_cast<std::uint32_t>(extreme_integer()));
        begun.set_nominal(static_cast<std::uint32_t>(extreme_integer()));
        begun.set_taken_in(static_cast<std::uint32_t>(extreme_integer()));
        out.add_ended(extreme_integer());
        auto& limit = *out.add_limits();
        limit.set_endpoint("i-2");
        limit.set_incarnation(static_cast<std::int64_t>(extreme_integer()));
        limit.set_is_named(pick(2) == 0);
        limit.set_per_second(static_cast<double>(extreme_integer()));
        limit.set_asked_ms(static_cast<std::uint32_t>(extreme_integer()));
        auto& feed = *out.mutable_feed();
        feed.set_feed(static_cast<std::uint32_t>(extreme_integer()));
        feed.set_from(extreme_integer());
        feed.set_to(extreme_integer());
        feed.set_end(extreme_integer());
        feed.set_age_ms(static_cast<std::uint32_t>(extreme_integer()));
        auto& crash = *out.add_crashes();
        crash.set_engine(extreme_integer());
        crash.set_age_ms(static_cast<std::uint32_t>(extreme_integer()));
        crash.add_segments(extreme_integer());
        auto& survival = *out.add_survivals();
        survival.set_segment(extreme_integer());
        survival.set_age_ms(static_cast<std::uint32_t>(extreme_integer()));
        out.add_tried_segments(extreme_integer());
        return out;
    }

    std::mt19937_64 random{32};
    std::unique_ptr<scripted_server> replica;
};

TEST_F(malformed_input_test, no_datagram_ends_a_host)
{
    start_with_replica();
    boost::asio::io_context context;
    boost::asio::ip::udp::socket socket{context, boost::asio::ip::udp::v4()};
    const boost::asio::ip::udp::endpoint host{boost::asio::ip::make_address("127.0.0.1"),
                                              settings.peers.own.port};
    for (int number = 0; number < input_count; ++number) {
        const auto news = extreme_news().SerializeAsString();
        const auto bytes = number % 3 == 0   ? random_bytes(1'400)
                           : number % 3 == 1 ? mutate(news)
                                             : news;
        socket.send_to(boost::asio::buffer(bytes), host);
        if (number % 64 == 0) {
            std::this_thread::sleep_for(1ms);
        }
    }
    expect_served();
}

TEST_F(malformed_input_test, no_record_of_the_store_ends_a_host)
{
    start_with_replica();
    const std::string entry =
        R"({"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,"state":"ready",)"
        R"("cold-left-ms":0,"sequence":1,"born":1,"stage":"decode"})";
    const std::string configuration =
        R"({"version":1,"routes":[{"name":"a","host":"h.example","path-prefix":"/a/",)"
        R"("kind":"safe","timeout-ms":5000,"target-latency-ms":2000,"max-attempts":2,)"
        R"("service":"s"}],"services":[{"name":"s","max-conns":64}],"limits":{}})";
    for (int number = 0; number < input_count; ++number) {
        auto value = number % 5 == 0 ? random_bytes(300) : mutate(entry);
        if (number % 7 == 0) {
            const auto at = value.find(":1");
            value.replace(std::min(at, value.size()), 2, ":" + extreme_number());
        }
        store.put(std::string{testing::replicas_topic}, "i-x" + std::to_string(number % 50), value);
        if (number % 10 == 0) {
            store.put(std::string{testing::configuration_topic}, "config", mutate(configuration));
        }
    }
    store.put(std::string{testing::configuration_topic}, "config",
              std::string(100'000, '[') + std::string(100'000, ']'));
    publish(1'000'000);
    EXPECT_TRUE(testing::eventually(
        [this] { return ask(request("GET", "/v1000000/x", "r1")).body == "body"; }));
}

// Entries of another writer: nested too deeply, with numbers and ports out of range, with ids that
// no replica has, and records without a valid key.
const std::vector<std::pair<std::string, std::string>> odd_entries{
    {"i-deep", std::string(200'000, '[')},
    {"i-deeper", std::string(100'000, '[') + std::string(100'000, ']')},
    {"i-number",
     R"({"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","slots":1e400,)"
     R"("state":"ready","cold-left-ms":0,"sequence":1,"born":1})"},
    {"i-port", R"({"service":"s","address":"127.0.0.1:70000","zone":"z","version":"v1","slots":4,)"
               R"("state":"ready","cold-left-ms":0,"sequence":1,"born":1})"},
    {"i-incomplete", R"({"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1",)"
                     R"("state":"ready"})"},
    {"i-sequence", R"({"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,)"
                   R"("state":"ready","cold-left-ms":0,"sequence":18446744073709551616,)"
                   R"("born":-1})"},
    {"i 1\r\nX: y", "{}"},
    {std::string(255, 'k'), std::string(1, '\0')},
};

TEST_F(malformed_input_test, odd_entries_hide_no_replica_and_no_later_change)
{
    const auto put_odd_entries = [this] {
        for (const auto& [key, value] : odd_entries) {
            store.put(std::string{testing::replicas_topic}, key, value);
        }
    };
    put_odd_entries();
    start_with_replica();
    expect_served();
    put_odd_entries();
    // Such a key can't be written as JSON, in which the stand-in returns the whole list.
    store.put(std::string{testing::replicas_topic}, "i\xff", "{}");
    scripted_server later{
        [](const received_request& each) { return signed_answer(each, "later"); }};
    list_replica("i-2", later.address());
    store.put(std::string{testing::replicas_topic}, "i-1", "");
    put_odd_entries();
    EXPECT_TRUE(testing::eventually(
        [this] { return ask(request("GET", "/safe/x", "r2")).body == "later"; }));
}

class malformed_entry_fleet_test : public testing::fleet_test {};

TEST_F(malformed_entry_fleet_test, all_hosts_follow_changes_announced_beside_odd_entries)
{
    scripted_server first{[](const received_request& each) { return signed_answer(each, "x"); }};
    scripted_server later{
        [](const received_request& each) { return signed_answer(each, "later"); }};
    list_replica("i-1", first.address());
    start_fleet();
    for (const auto& [key, value] : odd_entries) {
        store.put(std::string{testing::replicas_topic}, key, value);
    }
    store.put(std::string{testing::replicas_topic}, "i\xff", "{}");
    list_replica("i-2", later.address());
    store.put(std::string{testing::replicas_topic}, "i-1", "");
    for (const auto& each : fleet) {
        EXPECT_TRUE(testing::eventually([&] {
            testing::caller connection{each.settings.caller_address};
            return connection.ask(request("GET", "/safe/x", "r")).body == "later";
        }));
    }
}

TEST_F(malformed_input_test, no_request_ends_a_host_and_none_stays_unanswered)
{
    start_with_replica();
    std::string many_segments;
    for (int number = 0; number < 2'000; ++number) {
        many_segments += fmt::format("{:x}:1,", number);
    }
    for (int number = 0; number < 300; ++number) {
        const auto bytes = fmt::format(
            "POST /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: m{}\r\nDeadline-Ms: {}\r\n"
            "Token-Count: {},{}\r\nPrompt-Prefix: {}{}:{},f:1\r\nContent-Length: 1\r\n\r\nq",
            number % 2 == 0 ? "prompt" : "safe", number, extreme_number(), extreme_number(),
            extreme_number(), number % 10 == 0 ? many_segments : "", extreme_number(),
            extreme_number());
        testing::caller connection{settings.caller_address};
        connection.send(bytes);
        EXPECT_NE(connection.receive().status, 0U) << bytes.substr(0, 300);
    }
    for (int number = 0; number < 300; ++number) {
        testing::caller connection{settings.caller_address};
        connection.send(mutate(request("GET", "/safe/x", "m" + std::to_string(number))));
        connection.disconnect();
    }
    expect_served();
}

} // namespace
} // namespace cicadaport::platform
