// Tests that a stream continues only on the software version that began it.
#include "host_fixture.h"

#include "cicadaport/serving/stream_origins.h"

#include "news.pb.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using testing::events;
using testing::eventually;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::stream;
using namespace std::chrono_literals;

using end = scripted_response::then;

constexpr int first_events = 2;
constexpr int last_event = 4;

bool is_continuation(const received_request& each)
{
    return !each.field("Last-Event-Id").empty();
}

// A replica that breaks off each stream that it begins, and completes those that it continues.
scripted_response begin_or_continue(const received_request& each)
{
    return is_continuation(each)
               ? stream(each, "s", events(first_events + 1, last_event), end::keep)
               : stream(each, "s", events(1, first_events), end::reset);
}

std::string resumption(const std::string& id, const std::string& begun_as)
{
    return request("POST", "/going/x", id,
                   "Last-Event-Id: " + std::to_string(first_events) + "\r\nResumes: " + begun_as +
                       "\r\n",
                   "q");
}

template <typename Fixture>
class two_versions : public Fixture {
protected:
    void list(const std::string& id, const scripted_server& replica, const std::string& version)
    {
        this->list_replica(id, replica.address(), "s", R"(,"version":")" + version + R"(")");
    }

    // Lists two replicas of each version.
    void list_two_versions()
    {
        list("i-1", old_one, "v1");
        list("i-2", old_two, "v1");
        list("i-3", new_one, "v2");
        list("i-4", new_two, "v2");
    }

    void SetUp() override
    {
        Fixture::SetUp();
        this->settings.attempts.ratio = 100;
    }

    void unlist(const std::string& id)
    {
        this->store.put(std::string{testing::replicas_topic}, id, "");
    }

    // Waits until the store holds which versions serve.
    void wait_for_record()
    {
        ASSERT_TRUE(eventually([this] { return this->store.appended("stream-origins") > 0; }));
    }

    // Returns the version on whose replica the stream `id` began; empty if on none.
    std::string begun_on(const std::string& id) const
    {
        return version_with([&](const received_request& each) {
            return !is_continuation(each) && each.field("Request-Id") == id;
        });
    }

    // Returns the versions to which requests to continue the stream `id` were sent.
    std::string continued_on(const std::string& id) const
    {
        return version_with([&](const received_request& each) {
            return is_continuation(each) &&
                   (each.field("Request-Id") == id || each.field("Resumes") == id);
        });
    }

    scripted_server old_one{begin_or_continue};
    scripted_server old_two{begin_or_continue};
    scripted_server new_one{begin_or_continue};
    scripted_server new_two{begin_or_continue};

private:
    template <typename Fits>
    std::string version_with(Fits fits) const
    {
        const bool is_old = old_one.count(fits) + old_two.count(fits) > 0;
        const bool is_new = new_one.count(fits) + new_two.count(fits) > 0;
        return std::string{is_old ? "v1" : ""} + (is_new ? "v2" : "");
    }
};

using stream_origin_test = two_versions<testing::host_test>;

TEST_F(stream_origin_test, a_host_continues_a_stream_only_on_the_version_that_began_it)
{
    list_two_versions();
    start();
    constexpr int streams = 24;
    for (int number = 0; number < streams; ++number) {
        const auto id = "r" + std::to_string(number);
        const auto answer = ask(request("POST", "/going/x", id, "", "q"));
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.body, events(1, last_event));
        EXPECT_EQ(continued_on(id), begun_on(id)) << id;
    }
}

TEST_F(stream_origin_test, a_stream_is_broken_off_if_only_another_version_could_continue_it)
{
    list("i-1", old_one, "v1");
    list("i-3", new_one, "v2");
    start();
    constexpr int streams = 4;
    for (int number = 0; number < streams; ++number) {
        const auto id = "r" + std::to_string(number);
        const auto answer = ask(request("POST", "/going/x", id, "", "q"));
        EXPECT_FALSE(answer.complete);
        EXPECT_EQ(answer.body, events(1, first_events));
        EXPECT_EQ(continued_on(id), "");
    }
}

TEST_F(stream_origin_test, a_stream_of_unknown_version_is_not_continued_while_two_versions_serve)
{
    list("i-1", old_one, "v1");
    list("i-3", new_one, "v2");
    start();
    const auto answer = ask(resumption("r2", "r1"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_FALSE(answer.field("Retry-After").empty());
    EXPECT_EQ(old_one.requests().size() + new_one.requests().size(), 0U);
}

TEST_F(stream_origin_test, a_stream_of_unknown_version_is_continued_while_one_version_serves)
{
    list("i-1", old_one, "v1");
    list("i-2", old_two, "v1");
    start();
    wait_for_record();
    const auto answer = ask(resumption("r2", "r1"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, events(first_events + 1, last_event));
}

// Regression: the read of the store's records was given up after 0.3 s, whatever had arrived.
TEST_F(stream_origin_test, the_origin_of_a_stream_is_found_in_records_that_take_long_to_read)
{
    constexpr int record_count = 4;
    constexpr int streams_per_record = 8'000;
    serving::endpoint_report old_replica;
    old_replica.service = "s";
    old_replica.version = "v1";
    const auto origin = serving::origin_of(old_replica);
    protocol::stream_origin_record record;
    for (int number = 1; number < streams_per_record; ++number) {
        auto& other = *record.add_streams();
        other.set_stream(serving::number_of_stream("other" + std::to_string(number)));
        other.set_origin(origin);
    }
    auto& wanted = *record.add_streams();
    wanted.set_stream(serving::number_of_stream("r1"));
    wanted.set_origin(origin);
    for (int number = 0; number < record_count; ++number) {
        store.put("stream-origins", "", record.SerializeAsString());
    }
    list_two_versions();
    start();
    store.limit_rate(1'000'000);
    const auto answer = ask(resumption("r2", "r1"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, events(first_events + 1, last_event));
    EXPECT_EQ(continued_on("r1"), "v1");
}

// Counted a prefill engine as a replica that could continue the stream.
TEST_F(stream_origin_test, a_silent_stream_is_kept_if_only_a_prefill_engine_is_left)
{
    constexpr auto silence = 1'600ms;
    scripted_server decoding{[silence](const received_request& each) {
        return testing::pausing_stream(each, first_events, last_event, silence);
    }};
    scripted_server prefilling{[](const received_request& each) {
        return testing::make_response(200, "Request-Id: " + each.field("Request-Id") + "\r\n",
                                      R"({"kv-handle":"k","tokens":10,"version":1})");
    }};
    list_replica("i-1", decoding.address(), "e", R"(,"stage":"decode")");
    list_replica("i-2", prefilling.address(), "e", R"(,"stage":"prefill")");
    start();
    const auto answer =
        ask(request("POST", "/prompt-going/x", "r1",
                    "Model: m\r\nToken-Count: 10,5\r\nPrompt-Prefix: 1:10\r\n", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, last_event));
}

class stream_origin_fleet_test : public two_versions<testing::fleet_test> {
protected:
    testing::caller::answer ask_host(int number, const std::string& bytes)
    {
        return testing::caller{fleet[static_cast<std::size_t>(number)].settings.caller_address}.ask(
            bytes);
    }

    // Begins streams at one host until their replicas break them off. Returns their ids.
    std::vector<std::string> begin_streams(int count)
    {
        std::vector<std::string> out;
        for (int number = 0; number < count; ++number) {
            out.push_back("r" + std::to_string(number));
            const auto answer = ask_host(0, request("POST", "/going/x", out.back(), "", "q"));
            EXPECT_FALSE(answer.complete);
            EXPECT_EQ(answer.body, events(1, first_events));
        }
        return out;
    }

    // Takes the streams up at the other hosts and checks that they continue on their version.
    void expect_continued(const std::vector<std::string>& streams)
    {
        int number = 0;
        for (const auto& each : streams) {
            const auto answer = ask_host(1 + ++number % (hosts - 1), resumption("t" + each, each));
            EXPECT_EQ(answer.status, 200U) << each;
            EXPECT_EQ(answer.body, events(first_events + 1, last_event));
            EXPECT_EQ(continued_on(each), begun_on(each)) << each;
        }
    }

    void restart_all()
    {
        for (auto& each : fleet) {
            each.stop();
        }
        for (auto& each : fleet) {
            each.start(*wire_adapter);
        }
        ASSERT_TRUE(eventually([this] {
            return std::all_of(fleet.begin(), fleet.end(),
                               [](const auto& each) { return each.is_ready(); });
        }));
    }

    // Lists two replicas of each version and starts the hosts.
    void start_with_two_versions()
    {
        publish(1, 1);
        list_two_versions();
        start_fleet();
        std::this_thread::sleep_for(settling_time);
    }

    static constexpr int stream_count = 12;
    // By then the hosts know each other.
    static constexpr auto settling_time = 5s;
    // By then the hosts and the store know where streams began.
    static constexpr auto announcement_time = 500ms;
};

TEST_F(stream_origin_fleet_test, another_host_continues_a_stream_on_the_version_that_began_it)
{
    start_with_two_versions();
    const auto streams = begin_streams(stream_count);
    std::this_thread::sleep_for(announcement_time);
    expect_continued(streams);
}

TEST_F(stream_origin_fleet_test,
       a_stream_of_a_version_that_has_left_is_not_continued_after_all_hosts_were_killed)
{
    start_with_two_versions();
    begin_streams(stream_count);
    std::this_thread::sleep_for(announcement_time);
    unlist("i-1");
    unlist("i-2");
    restart_all();
    for (int number = 0; number < stream_count; ++number) {
        const auto answer =
            ask_host(number % hosts, resumption("t" + std::to_string(number), "unknown"));
        EXPECT_EQ(answer.status, 503U) << number;
    }
    EXPECT_EQ(continued_on("unknown"), "");
}

TEST_F(stream_origin_fleet_test, streams_are_continued_on_their_version_after_all_hosts_were_killed)
{
    start_with_two_versions();
    const auto streams = begin_streams(stream_count);
    std::this_thread::sleep_for(announcement_time);
    restart_all();
    expect_continued(streams);
}

TEST_F(stream_origin_fleet_test,
       streams_of_the_only_version_are_continued_after_all_hosts_were_killed)
{
    publish(1, 1);
    list("i-1", old_one, "v1");
    list("i-2", old_two, "v1");
    start_fleet();
    wait_for_record();
    const auto streams = begin_streams(1);
    restart_all();
    expect_continued(streams);
}

} // namespace
} // namespace cicadaport::platform
