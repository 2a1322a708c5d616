// Tests of hosts with replicas that advertise how many requests per second they take.
#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::captured_log;
using ::testing::ContainsRegex;
using testing::events;
using testing::make_response;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;
using testing::stream;

// A rate-limited replica may receive, in any window of this length, 1.5 times its limit and
// 5 more requests. The rule holds from `grace_time` after its first request.
constexpr auto judged_window = 4s;
constexpr auto grace_time = 500ms;
constexpr double allowed_ratio = 1.5;
constexpr std::size_t allowed_extra_count = 5;

std::size_t allowed(double per_second)
{
    constexpr std::chrono::duration<double> time = judged_window;
    return static_cast<std::size_t>(allowed_ratio * per_second * time.count()) +
           allowed_extra_count;
}

// Records when a replica received requests from any host. Thread safe.
class arrival_times {
public:
    void note()
    {
        const std::lock_guard lock{m_mutex};
        m_times.push_back(std::chrono::steady_clock::now());
    }

    std::size_t count() const
    {
        const std::lock_guard lock{m_mutex};
        return m_times.size();
    }

    // Returns the largest number of requests in any window that starts after the grace time.
    std::size_t max_judged_count() const
    {
        const std::lock_guard lock{m_mutex};
        std::size_t most = 0;
        for (auto first = m_times.begin(); first != m_times.end(); ++first) {
            if (*first >= m_times.front() + grace_time) {
                const auto last = std::upper_bound(first, m_times.end(), *first + judged_window);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::chrono::steady_clock::time_point> m_times;
};

scripted_response limited(scripted_response answer, const std::string& per_second)
{
    const auto end_of_status = answer.bytes.find("\r\n") + 2;
    answer.bytes.insert(end_of_status, "Server-Limit: " + per_second + "\r\n");
    return answer;
}

class request_limit_test : public testing::host_test {
protected:
    // Sends requests one after another for `time`. Returns how many were not served.
    int send_requests_for(std::chrono::seconds time,
                          const std::function<std::string(int)>& nth_request)
    {
        constexpr auto pause = 15ms;
        const auto end = std::chrono::steady_clock::now() + time;
        int unserved = 0;
        for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
            unserved += ask(nth_request(number)).status == 200 ? 0 : 1;
            std::this_thread::sleep_for(pause);
        }
        return unserved;
    }
};

TEST_F(request_limit_test, logs_which_replica_advertises_a_limit_and_what_was_sent)
{
    const captured_log log;
    std::atomic<bool> is_limited{true};
    scripted_server replica{[&](const received_request& each) {
        return is_limited ? limited(signed_answer(each, "x"), "9000000") : signed_answer(each, "x");
    }};
    list_replica("i-1", replica.address());
    start();
    for (const std::string id : {"r1", "r2", "r3"}) {
        ASSERT_EQ(ask(request("GET", "/safe/x", id)).status, 200U);
    }
    std::this_thread::sleep_for(1'500ms);
    is_limited = false;
    ASSERT_EQ(ask(request("GET", "/safe/x", "r4")).status, 200U);
    stop_host();
    EXPECT_THAT(log.text(), ContainsRegex("endpoint_limit id=i-1 change=begun per_second=9000000 "
                                          "source=own_answer request=r1 asked_ms=[0-9]+"));
    EXPECT_THAT(log.text(), ContainsRegex("endpoint_limit_use id=i-1 per_second=9000000 "
                                          "age_ms=[0-9]+ runs=2 prompt_readings=0"));
    EXPECT_THAT(log.text(), ContainsRegex("endpoint_limit id=i-1 change=ended per_second=0 "
                                          "source=own_answer request=r4"));
}

TEST_F(request_limit_test, a_rate_limited_replica_gets_no_more_requests_than_its_limit)
{
    constexpr double per_second = 2;
    arrival_times request_times;
    std::atomic<bool> is_limited{true};
    scripted_server limited_replica{[&](const received_request& each) {
        request_times.note();
        const auto answer = signed_answer(each, "x");
        return is_limited ? limited(answer, std::to_string(per_second)) : answer;
    }};
    scripted_server other{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", limited_replica.address());
    list_replica("i-2", other.address());
    start();
    const auto safe = [](int number) { return request("GET", "/safe/x", std::to_string(number)); };
    EXPECT_EQ(send_requests_for(11s, safe), 0) << "the other replica takes the rest";
    EXPECT_LE(request_times.max_judged_count(), allowed(per_second));
    EXPECT_GE(request_times.count(), 5U) << "the replica still receives requests within its limit";
    is_limited = false;
    const auto before = request_times.count();
    EXPECT_EQ(send_requests_for(3s, safe), 0);
    EXPECT_GE(request_times.count() - before, 20U) << "the limit no longer applies";
}

TEST_F(request_limit_test, rate_limited_engines_get_no_more_prompts_than_their_limits)
{
    constexpr double per_second = 2;
    arrival_times prefill_times;
    arrival_times decode_times;
    const auto answer_prefill = [](const received_request& each) {
        return make_response(200, "Request-Id: " + each.field("Request-Id") + "\r\n",
                             R"({"kv-handle":"h1","tokens":9,"version":1})");
    };
    const auto answer_decode = [](const received_request& each) {
        return stream(each, "s", events(1, 2), scripted_response::then::keep);
    };
    scripted_server limited_prefill_engine{[&](const received_request& each) {
        prefill_times.note();
        return limited(answer_prefill(each), std::to_string(per_second));
    }};
    scripted_server limited_decode_engine{[&](const received_request& each) {
        decode_times.note();
        return limited(answer_decode(each), std::to_string(per_second));
    }};
    scripted_server prefill_engine{answer_prefill};
    scripted_server decode_engine{answer_decode};
    list_replica("i-p1", limited_prefill_engine.address(), "e", R"(,"stage":"prefill")");
    list_replica("i-p2", prefill_engine.address(), "e", R"(,"stage":"prefill")");
    list_replica("i-d1", limited_decode_engine.address(), "e", R"(,"stage":"decode")");
    list_replica("i-d2", decode_engine.address(), "e", R"(,"stage":"decode")");
    start();
    // Several prompt prefixes, so that each engine prefills some of the prompts.
    constexpr int beginnings = 10;
    const auto prompt = [](int number) {
        return request("POST", "/prompt/x", std::to_string(number),
                       "Token-Count: 900,80\r\nPrompt-Prefix: a" +
                           std::to_string(number % beginnings) + ":500,b" + std::to_string(number) +
                           ":400\r\n",
                       "q");
    };
    EXPECT_EQ(send_requests_for(10s, prompt), 0);
    EXPECT_LE(prefill_times.max_judged_count(), allowed(per_second));
    EXPECT_LE(decode_times.max_judged_count(), allowed(per_second));
    EXPECT_GE(prefill_times.count(), 5U) << "the engine still receives prompts within its limit";
    EXPECT_GE(decode_times.count(), 5U);
}

using request_limit_fleet_test = testing::fleet_test;

TEST_F(request_limit_fleet_test, all_hosts_together_keep_the_limit_of_a_replica)
{
    constexpr double per_second = 2;
    arrival_times request_times;
    scripted_server limited_replica{[&](const received_request& each) {
        request_times.note();
        return limited(signed_answer(each, "x"), std::to_string(per_second));
    }};
    scripted_server other{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", limited_replica.address());
    list_replica("i-2", other.address());
    start_fleet();
    std::vector<std::thread> callers;
    std::atomic<int> unserved{0};
    for (const auto& each : fleet) {
        callers.emplace_back([&unserved, at = each.settings.caller_address] {
            const auto end = std::chrono::steady_clock::now() + 12s;
            for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
                testing::caller asking{at};
                const auto id = at.ip + "-" + std::to_string(number);
                unserved += asking.ask(request("GET", "/safe/x", id)).status == 200 ? 0 : 1;
                std::this_thread::sleep_for(20ms);
            }
        });
    }
    for (auto& each : callers) {
        each.join();
    }
    EXPECT_EQ(unserved, 0);
    EXPECT_LE(request_times.max_judged_count(), allowed(per_second));
    EXPECT_GE(request_times.count(), 8U) << "the replica still receives requests within its limit";
}

} // namespace
} // namespace cicadaport::platform
