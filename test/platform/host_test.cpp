// Tests of a complete host process against stand-ins of the platform.
#include "host_fixture.h"

#include <gmock/gmock.h>

#include <csignal>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using testing::caller;
using testing::captured_log;
using testing::configuration_topic;
using ::testing::ContainsRegex;
using testing::events;
using testing::eventually;
using ::testing::HasSubstr;
using testing::host_test;
using testing::make_response;
using ::testing::Not;
using testing::not_executed;
using testing::received_request;
using testing::replicas_topic;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;
using testing::standin_store;
using testing::stream;

TEST_F(host_test, passes_a_request_to_a_replica_and_its_answer_back_unchanged)
{
    scripted_server replica{[](const received_request& each) {
        return make_response(200,
                             "Request-Id: " + each.field("Request-Id") +
                                 "\r\nResponse-Seal: 3e1b.07\r\nX-Own: yes\r\n",
                             "the body");
    }};
    list_replica("i-1", replica.address());
    start();
    const auto answer = ask(request("POST", "/once/a?b=c", "r1", "X-Field: 1\r\n", "content"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "the body");
    EXPECT_EQ(answer.field("Response-Seal"), "3e1b.07");
    EXPECT_EQ(answer.field("X-Own"), "yes");
    const auto seen = replica.requests();
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(seen[0].head.method, "POST");
    EXPECT_EQ(seen[0].head.target, "/once/a?b=c");
    EXPECT_EQ(seen[0].body, "content");
    EXPECT_EQ(seen[0].field("Target-Instance"), "i-1");
    EXPECT_LE(std::stoi(seen[0].field("Deadline-Ms")), 5'000);
}

TEST_F(host_test, is_not_ready_and_answers_503_before_the_first_configuration)
{
    store.refuse(503);
    start_host();
    ASSERT_TRUE(eventually([this] { return ready() == 503; }));
    const auto answer = ask(request("GET", "/safe/x", "r1"));
    EXPECT_EQ(answer.status, 503U) << "404 is not allowed before a configuration was read";
    EXPECT_NE(answer.field("Retry-After"), "");
    store.refuse(0);
    EXPECT_TRUE(eventually([this] { return ready() == 200; }));
}

TEST_F(host_test, answers_404_for_a_route_that_is_not_configured)
{
    start();
    EXPECT_EQ(ask(request("GET", "/other/x", "r1")).status, 404U);
}

TEST_F(host_test, logs_the_configuration_version_that_has_no_route_for_a_request)
{
    const captured_log log;
    start();
    publish(7);
    ASSERT_TRUE(eventually([&] { return ask(request("GET", "/v7/x", "r1")).status != 404; }));
    // The log lines per second are bounded, and the requests above have used up the bound.
    std::this_thread::sleep_for(1s);
    ASSERT_EQ(ask(request("GET", "/other/x", "r2")).status, 404U);
    stop_host();
    EXPECT_THAT(log.text(), ContainsRegex("configuration_in_force version=7 before=1 record=1 "
                                          "offset=2 told_end=[0-9]+ age_ms=[0-9]+ "
                                          "read_by=this_host failures=0"));
    EXPECT_THAT(log.text(),
                ContainsRegex("request_unrouted id=r2 host=h.example path=/other/x version=7 "
                              "passed_over=[0-9]+ offset=2 told_end=[0-9]+ age_ms=[0-9]+"));
}

TEST_F(host_test, logs_when_reading_a_list_fails_and_when_it_works_again)
{
    const captured_log log;
    start();
    store.refuse(503);
    std::this_thread::sleep_for(1s);
    store.refuse(0);
    std::this_thread::sleep_for(2s);
    stop_host();
    EXPECT_THAT(log.text(),
                ContainsRegex("feed_interrupted feed=configuration reason=\"status 503\" "
                              "received_bytes=[0-9]+ offset=1 told_end=[0-9]+ age_ms=[0-9]+ "
                              "read_by=this_host"));
    EXPECT_THAT(log.text(), ContainsRegex("feed_regained feed=configuration offset=1 "
                                          "told_end=[0-9]+ age_ms=[0-9]+ read_by=this_host "
                                          "failures=[1-9]"));
}

TEST_F(host_test, a_request_that_may_run_once_is_sent_once_when_its_answer_is_lost)
{
    scripted_server replica{[](const received_request&) {
        return scripted_response{"", scripted_response::then::reset};
    }};
    scripted_server other{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    start();
    const auto answer = ask(request("POST", "/once/x", "r1", "", "order"));
    EXPECT_EQ(answer.status, 502U) << "503 means not run, but the request may have run";
    EXPECT_EQ(replica.requests().size(), 1U);
    EXPECT_EQ(other.requests().size(), 0U);
}

TEST_F(host_test, a_request_that_may_be_repeated_goes_to_another_replica_after_a_failure)
{
    std::atomic<int> count{0};
    const auto first_fails = [&](const received_request& each) {
        return ++count == 1
                   ? make_response(500, "Request-Id: " + each.field("Request-Id") + "\r\n", "no")
                   : signed_answer(each, "yes");
    };
    scripted_server one{first_fails};
    scripted_server two{first_fails};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    start();
    const auto answer = ask(request("GET", "/safe/x", "r1"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "yes");
    EXPECT_EQ(one.requests().size(), 1U);
    EXPECT_EQ(two.requests().size(), 1U);
}

TEST_F(host_test, a_request_is_retried_on_another_replica_when_one_does_not_answer)
{
    scripted_server silent{[](const received_request&) { return scripted_response{}; }};
    scripted_server sound{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", silent.address());
    list_replica("i-2", sound.address());
    start();
    constexpr int requests = 12;
    for (int index = 0; index < requests; ++index) {
        EXPECT_EQ(ask(request("GET", "/safe/x", "r" + std::to_string(index))).status, 200U);
    }
    EXPECT_LE(silent.requests().size(), 3U);
}

TEST_F(host_test, a_rejection_by_the_only_replica_is_forwarded_as_not_run)
{
    scripted_server replica{[](const received_request& each) { return not_executed(each); }};
    list_replica("i-1", replica.address());
    start();
    const auto answer = ask(request("POST", "/once/x", "r1", "", "order"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_NE(answer.field("Retry-After"), "");
}

TEST_F(host_test, a_replica_that_answers_that_it_leaves_gets_no_more_requests)
{
    scripted_server leaving{[](const received_request& each) {
        return make_response(200,
                             "Request-Id: " + each.field("Request-Id") +
                                 "\r\nResponse-Seal: s\r\nServer-Leaving: 1\r\n",
                             "last");
    }};
    scripted_server staying{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", leaving.address());
    start();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "order")).body, "last");
    store.refuse(503);
    EXPECT_EQ(ask(request("POST", "/once/x", "r2", "", "order")).status, 503U)
        << "the store is down, and its last entry lists the replica as ready";
    EXPECT_EQ(leaving.requests().size(), 1U);
    store.refuse(0);
    list_replica("i-1", leaving.address(), "s", "", "ready", 2);
    list_replica("i-2", staying.address());
    ASSERT_TRUE(
        eventually([&] { return ask(request("POST", "/once/x", "r3", "", "order")).body == "x"; }));
    EXPECT_EQ(leaving.requests().size(), 1U);
}

TEST_F(host_test, a_replica_gets_no_requests_during_the_backoff_that_it_asks_for)
{
    std::atomic<bool> sheds{true};
    scripted_server replica{[&](const received_request& each) {
        return sheds ? make_response(503,
                                     "Request-Id: " + each.field("Request-Id") +
                                         "\r\nNot-Executed: 1\r\nRetry-After: 1.5\r\n",
                                     "")
                     : signed_answer(each, "x");
    }};
    list_replica("i-1", replica.address());
    start();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "order")).status, 503U);
    const auto told = std::chrono::steady_clock::now();
    sheds = false;
    const auto refused = ask(request("POST", "/once/x", "r2", "", "order"));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_GT(std::stod(refused.field("Retry-After")), 1.0) << "the replica's backoff";
    EXPECT_EQ(replica.requests().size(), 1U);
    ASSERT_TRUE(eventually(
        [&] { return ask(request("POST", "/once/x", "r3", "", "order")).status == 200; }));
    EXPECT_GE(std::chrono::steady_clock::now() - told, 1'400ms);
}

TEST_F(host_test, a_backoff_stays_in_force_when_the_replica_is_removed_and_listed_again)
{
    std::atomic<bool> sheds{true};
    scripted_server replica{[&](const received_request& each) {
        return sheds ? make_response(503,
                                     "Request-Id: " + each.field("Request-Id") +
                                         "\r\nNot-Executed: 1\r\nRetry-After: 5\r\n",
                                     "")
                     : signed_answer(each, "x");
    }};
    scripted_server other{[](const received_request& each) { return signed_answer(each, "y"); }};
    list_replica("i-1", replica.address());
    start();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "order")).status, 503U);
    sheds = false;
    store.put(std::string{replicas_topic}, "i-1", "");
    list_replica("i-2", other.address());
    ASSERT_TRUE(eventually([&] { return ask(request("GET", "/safe/x", "r2")).body == "y"; }));
    list_replica("i-1", replica.address(), "s", "", "ready", 2);
    store.put(std::string{replicas_topic}, "i-2", "");
    ASSERT_TRUE(eventually([&] { return ask(request("GET", "/safe/x", "r3")).status == 503; }));
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(ask(request("POST", "/once/x", "r4", "", "order")).status, 503U);
    EXPECT_EQ(replica.requests().size(), 1U);
}

TEST_F(host_test, a_late_rejection_without_a_request_id_is_not_matched_to_the_next_request)
{
    std::atomic<int> count{0};
    scripted_server replica{[&](const received_request& each) {
        auto reply = make_response(200,
                                   "Request-Id: " + each.field("Request-Id") +
                                       "\r\nResponse-Seal: s\r\nKeep-Alive: timeout=5\r\n",
                                   "own");
        if (++count == 2) {
            // A duplicate of an earlier answer arrives before the answer to this request.
            reply.bytes = make_response(503, "Not-Executed: 1\r\n", "").bytes + reply.bytes;
        }
        return reply;
    }};
    list_replica("i-1", replica.address());
    start();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "order")).status, 200U);
    EXPECT_EQ(ask(request("POST", "/once/x", "r2", "", "order")).status, 502U)
        << "503 means not run, but the request has run";
    EXPECT_EQ(ask(request("POST", "/once/x", "r3", "", "order")).body, "own");
    EXPECT_EQ(count, 3);
}

TEST_F(host_test, a_503_without_the_not_executed_field_is_not_forwarded_as_503)
{
    scripted_server replica{[](const received_request& each) {
        return make_response(503, "Request-Id: " + each.field("Request-Id") + "\r\n", "");
    }};
    list_replica("i-1", replica.address());
    start();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "order")).status, 502U);
}

TEST_F(host_test, a_rejection_after_an_attempt_that_may_have_run_is_answered_with_502)
{
    std::atomic<int> count{0};
    const auto lost_then_refused = [&](const received_request& each) {
        return ++count == 1 ? scripted_response{"", scripted_response::then::reset}
                            : not_executed(each);
    };
    scripted_server one{lost_then_refused};
    scripted_server two{lost_then_refused};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    start();
    EXPECT_EQ(ask(request("GET", "/safe/x", "r1")).status, 502U);
    EXPECT_EQ(count, 2);
}

TEST_F(host_test, an_unsigned_or_encoded_success_counts_as_a_failure)
{
    std::atomic<bool> encoded{false};
    scripted_server replica{[&](const received_request& each) {
        const auto id = "Request-Id: " + each.field("Request-Id") + "\r\n";
        return encoded
                   ? make_response(200, id + "Response-Seal: s\r\nContent-Encoding: gzip\r\n", "x")
                   : make_response(200, id, "x");
    }};
    list_replica("i-1", replica.address());
    start();
    EXPECT_EQ(ask(request("POST", "/once/x", "r1", "", "order")).status, 502U);
    encoded = true;
    EXPECT_EQ(ask(request("POST", "/once/x", "r2", "", "order")).status, 502U);
}

TEST_F(host_test, an_extra_answer_on_a_reused_connection_is_dropped)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = signed_answer(each, "own " + each.field("Request-Id"));
        reply.bytes += reply.bytes;
        return reply;
    }};
    list_replica("i-1", replica.address());
    start();
    for (const std::string id : {"r1", "r2", "r3", "r4"}) {
        EXPECT_EQ(ask(request("GET", "/safe/x", id)).body, "own " + id);
    }
}

TEST_F(host_test, a_stream_that_is_cut_off_is_incomplete_and_ends_with_a_whole_event)
{
    scripted_server replica{[](const received_request& each) {
        return stream(each, "s", events(1, 2) + "id: 3\nda", scripted_response::then::close);
    }};
    list_replica("i-1", replica.address());
    start();
    const auto answer = ask(request("POST", "/stream/x", "r1", "", "q"));
    EXPECT_FALSE(answer.complete);
    EXPECT_THAT(answer.body, Not(HasSubstr("id: 3")));
    EXPECT_EQ(replica.requests().size(), 1U) << "the route allows no retry";
}

TEST_F(host_test, a_resumable_stream_continues_on_another_replica_with_the_head_of_the_first)
{
    std::atomic<int> count{0};
    const auto serve = [&](const received_request& each) {
        if (++count == 1) {
            return stream(each, "first", events(1, 2) + "id: 3\nda",
                          scripted_response::then::close);
        }
        return stream(each, "second", events(3, 4), scripted_response::then::keep);
    };
    scripted_server one{serve};
    scripted_server two{serve};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    start();
    const auto answer = ask(request("POST", "/going/x", "r1", "", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
    EXPECT_EQ(answer.field("Response-Seal"), "first");
    auto seen = one.requests();
    const auto more = two.requests();
    seen.insert(seen.end(), more.begin(), more.end());
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_EQ(seen[0].field("Last-Event-Id") + seen[1].field("Last-Event-Id"), "2");
}

TEST_F(host_test, a_resumable_stream_continues_on_another_replica_when_its_replica_goes_dark)
{
    std::atomic<int> count{0};
    const auto serve = [&](const received_request& each) {
        if (testing::is_status_request(each)) {
            return scripted_response{};
        }
        if (++count == 1) {
            auto reply = stream(each, "first", events(1, 2), scripted_response::then::keep);
            // The stream neither ends nor sends a further event.
            reply.bytes.erase(reply.bytes.size() - std::string_view{"0\r\n\r\n"}.size());
            return reply;
        }
        return stream(each, "second", events(3, 4), scripted_response::then::keep);
    };
    scripted_server one{serve};
    scripted_server two{serve};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    start();
    const auto answer = ask(request("POST", "/going/x", "r1", "", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

// Regression: a continued stream was watched for the beginning of its answer only.
TEST_F(host_test, a_stream_that_was_continued_once_continues_again_when_its_replica_goes_dark)
{
    settings.attempts.ratio = 2;
    publish(2, 3);
    const auto serve = [](const received_request& each) {
        if (testing::is_status_request(each)) {
            return scripted_response{};
        }
        const auto after = each.field("Last-Event-Id");
        if (after.empty()) {
            return stream(each, "s", events(1, 2), scripted_response::then::close);
        }
        if (after == "2") {
            auto out = stream(each, "s", events(3, 3), scripted_response::then::close);
            out.after = scripted_response::then::keep;
            return out;
        }
        return stream(each, "s", events(4, 4), scripted_response::then::keep);
    };
    scripted_server one{serve};
    scripted_server two{serve};
    scripted_server three{serve};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    list_replica("i-3", three.address());
    start();
    const auto answer = ask(request("POST", "/going/x", "r1", "", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

// Regression: the stream was sent on with the handle that its first engine had taken, and was cut.
TEST_F(host_test, a_silent_stream_continues_without_the_kv_handle_that_was_taken)
{
    scripted_server prefill{[](const received_request& each) {
        return make_response(200, "Request-Id: " + each.field("Request-Id") + "\r\n",
                             R"({"kv-handle":"h1","tokens":9,"version":1})");
    }};
    std::atomic<bool> is_handle_taken{false};
    const auto serve = [&](const received_request& each) {
        if (testing::is_status_request(each)) {
            return scripted_response{};
        }
        if (!each.field("Kv-Source").empty()) {
            return is_handle_taken.exchange(true) ? not_executed(each)
                                                  : pausing_stream(each, 2, 4, 1min);
        }
        return stream(each, "s", events(3, 4), scripted_response::then::keep);
    };
    scripted_server one{serve};
    scripted_server two{serve};
    list_replica("i-p", prefill.address(), "e", R"(,"stage":"prefill")");
    list_replica("i-1", one.address(), "e", R"(,"stage":"decode")");
    list_replica("i-2", two.address(), "e", R"(,"stage":"decode")");
    start();
    const auto answer = ask(request("POST", "/prompt-going/x", "r1",
                                    "Token-Count: 900,80\r\nPrompt-Prefix: a:500,b:400\r\n", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

// The stream was given up after 0.6 s, and no other replica took it.
TEST_F(host_test, a_resumable_stream_whose_replica_is_silent_for_a_second_goes_on_there)
{
    constexpr auto silence = 1'000ms;
    const auto serve = [silence](const received_request& each) {
        return each.field("Last-Event-Id").empty() ? pausing_stream(each, 2, 4, silence)
                                                   : not_executed(each);
    };
    scripted_server one{serve};
    scripted_server two{serve};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    start();
    const auto answer = ask(request("POST", "/going/x", "r1", "", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

// Regression: streams that their replicas had preempted were given up after 1.3 s, and cut when the
// other replicas had no room for them.
TEST_F(host_test, resumable_streams_that_their_replica_has_preempted_go_on_there)
{
    constexpr auto silence = 1'800ms;
    constexpr int streams = 8;
    std::atomic<int> checks{0};
    const auto serve = [&](const received_request& each) {
        if (testing::is_status_request(each)) {
            ++checks;
            return make_response(200, "", "{}");
        }
        return each.field("Last-Event-Id").empty() ? pausing_stream(each, 2, 4, silence)
                                                   : not_executed(each);
    };
    scripted_server one{serve};
    scripted_server two{serve};
    settings.attempts.ratio = 2;
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    start();
    std::vector<std::unique_ptr<caller>> callers;
    for (int number = 0; number < streams; ++number) {
        callers.push_back(std::make_unique<caller>(settings.caller_address));
        callers.back()->send(request("POST", "/going/x", "r" + std::to_string(number), "", "q"));
    }
    for (const auto& each : callers) {
        const auto answer = each->receive();
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.body, events(1, 4));
    }
    EXPECT_LE(checks, 4) << "the streams of a replica share its checks";
}

// Regression: a kept connection read its next request with the limits of the version in force when
// the request before it had been answered.
TEST_F(host_test, a_kept_connection_is_held_to_the_limits_in_force_when_its_request_begins)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    publish(2, 2, 0, R"("max-body-bytes":1000)");
    start();
    caller kept{settings.caller_address};
    EXPECT_EQ(kept.ask(request("POST", "/safe/x", "r1", "", "small")).status, 200U);
    publish(3, 2, 0, R"("max-body-bytes":100000)");
    ASSERT_TRUE(eventually([&] { return ask(request("GET", "/v3/x", "r2")).status == 200; }));
    EXPECT_EQ(kept.ask(request("POST", "/safe/x", "r3", "", std::string(2'000, 'x'))).status, 200U);
    publish(4, 2, 0, R"("max-body-bytes":1000)");
    ASSERT_TRUE(eventually([&] { return ask(request("GET", "/v4/x", "r4")).status == 200; }));
    EXPECT_EQ(kept.ask(request("POST", "/safe/x", "r5", "", std::string(2'000, 'x'))).status, 413U);
}

// Regression: a connection that was idle when the idle timeout was raised was closed after the old
// one.
TEST_F(host_test, a_raised_idle_timeout_holds_for_connections_that_are_idle_already)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    publish(2, 2, 0, R"("idle-timeout-ms":2000)");
    start();
    caller kept{settings.caller_address};
    EXPECT_EQ(kept.ask(request("GET", "/safe/x", "r1")).status, 200U);
    publish(3, 2, 0, R"("idle-timeout-ms":60000)");
    ASSERT_TRUE(eventually([&] { return ask(request("GET", "/v3/x", "r2")).status == 200; }));
    std::this_thread::sleep_for(2'500ms);
    EXPECT_EQ(kept.ask(request("GET", "/safe/x", "r3")).status, 200U);
}

TEST_F(host_test, a_resumable_stream_stays_at_a_silent_replica_that_accepts_no_more_connections)
{
    constexpr auto silence = 1'800ms;
    const auto serve = [](const received_request& each) {
        if (testing::is_status_request(each)) {
            return scripted_response{"", scripted_response::then::reset};
        }
        return each.field("Last-Event-Id").empty() ? pausing_stream(each, 2, 4, silence)
                                                   : not_executed(each);
    };
    scripted_server one{serve};
    scripted_server two{serve};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    start();
    const auto answer = ask(request("POST", "/going/x", "r1", "", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

TEST_F(host_test, a_request_is_cancelled_at_the_replica_when_the_caller_disconnects)
{
    scripted_server replica{[](const received_request&) { return scripted_response{"", {}, 0ms}; }};
    list_replica("i-1", replica.address());
    start();
    caller leaving{settings.caller_address};
    leaving.send(request("POST", "/once/x", "r1", "", "order"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    leaving.disconnect();
    EXPECT_TRUE(eventually([&] { return replica.abandoned() == 1; }));
}

TEST_F(host_test, a_draining_replica_gets_no_more_requests_and_malformed_entries_are_ignored)
{
    scripted_server leaving{[](const received_request& each) { return signed_answer(each, "a"); }};
    scripted_server staying{[](const received_request& each) { return signed_answer(each, "b"); }};
    list_replica("i-1", leaving.address());
    start();
    ASSERT_EQ(ask(request("GET", "/safe/x", "r1")).body, "a");
    store.put(std::string{replicas_topic}, "forged", R"({"service":7})");
    store.put(std::string{replicas_topic}, "noise", "\xff\xfe");
    list_replica("i-1", leaving.address(), "s", "", "draining", 2);
    list_replica("i-2", staying.address());
    // An outdated report of the leaving replica arrives late.
    list_replica("i-1", leaving.address(), "s", "", "ready", 1);
    EXPECT_TRUE(eventually([&] { return ask(request("GET", "/safe/x", "r2")).body == "b"; }));
    const auto before = leaving.requests().size();
    for (int index = 0; index < 10; ++index) {
        EXPECT_EQ(ask(request("GET", "/safe/x", "r3")).body, "b");
    }
    EXPECT_EQ(leaving.requests().size(), before);
}

TEST_F(host_test, a_host_learns_by_gossip_what_is_new_to_it_but_not_to_the_sender)
{
    scripted_server leaving{[](const received_request& each) { return signed_answer(each, "a"); }};
    list_replica("i-1", leaving.address(), "s", "", "draining", 10);
    start();
    // An outdated report arrives late. A host that starts now reads only this one.
    list_replica("i-1", leaving.address(), "s", "", "ready", 9);
    testing::store_proxy gate{store};
    auto fresh = settings;
    fresh.caller_address.ip = "127.0.0.2";
    fresh.readiness_address.ip = "127.0.0.2";
    fresh.peers.own.ip = "127.0.0.2";
    fresh.peers.seed_ips = {settings.peers.own.ip};
    fresh.store_address = gate.address();
    const wire fresh_wire_adapter{fresh.store_address};
    serving::host_process other{[&] { return fresh; }, fresh_wire_adapter};
    std::thread other_thread{[&] { other.run(); }};
    const auto status = [&] {
        try {
            return caller{fresh.caller_address}.ask(request("GET", "/safe/x", "r1")).status;
        }
        catch (const boost::system::system_error&) {
            return 0U;
        }
    };
    EXPECT_TRUE(eventually([&] { return status() == 200; }));
    // By then the hosts have exchanged gossip.
    std::this_thread::sleep_for(1'500ms);
    gate.set(testing::store_proxy::state::silent);
    list_replica("i-1", leaving.address(), "s", "", "draining", 11);
    const auto acknowledged = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([&] { return status() == 503; }));
    EXPECT_LT(std::chrono::steady_clock::now() - acknowledged, settings.max_leaving_delay);
    other.stop();
    other_thread.join();
}

TEST_F(host_test, the_newest_configuration_takes_effect_and_is_never_reverted)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    start();
    publish(9);
    EXPECT_TRUE(eventually([&] { return ask(request("GET", "/v9/x", "r1")).status == 200; }));
    publish(8);
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(ask(request("GET", "/v9/x", "r2")).status, 200U);
    EXPECT_EQ(ask(request("GET", "/v8/x", "r3")).status, 404U);
}

TEST_F(host_test, a_configuration_that_does_not_wake_a_waiting_read_takes_effect_in_time)
{
    settings.max_apply_delay = 2s;
    start();
    store.miss_wakeups(true);
    const std::string topic{configuration_topic};
    const auto before = store.reads(topic);
    // One read was already in progress; the next one begins after wakeups are off.
    ASSERT_TRUE(eventually([&] { return store.reads(topic) >= before + 2; }));
    publish(9);
    const auto published = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([&] { return ask(request("GET", "/v9/x", "r1")).status != 404; }));
    EXPECT_LT(std::chrono::steady_clock::now() - published, settings.max_apply_delay);
}

TEST_F(host_test, a_version_published_while_the_store_is_silent_takes_effect_in_time_afterwards)
{
    testing::store_proxy gate{store};
    settings.store_address = gate.address();
    start();
    constexpr auto contact = 3s;
    const std::string topic{configuration_topic};
    const auto before = gate.reads(topic);
    ASSERT_TRUE(eventually([&] { return gate.reads(topic) > before; }));
    gate.set(testing::store_proxy::state::silent);
    publish(9);
    std::this_thread::sleep_for(300ms);
    gate.set(testing::store_proxy::state::open);
    const auto open = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([&] { return ask(request("GET", "/v9/x", "r1")).status != 404; }));
    EXPECT_LT(std::chrono::steady_clock::now() - open, contact);
}

TEST_F(host_test, a_version_takes_effect_in_time_after_a_long_silence_with_short_bounds)
{
    testing::store_proxy gate{store};
    settings.store_address = gate.address();
    settings.max_apply_delay = 1s;
    settings.max_recovery_delay = 1'500ms;
    start();
    gate.set(testing::store_proxy::state::silent);
    publish(9);
    // Calls keep failing, and the backoff between them grows.
    std::this_thread::sleep_for(5s);
    const std::string topic{configuration_topic};
    const auto before = gate.reads(topic);
    ASSERT_TRUE(eventually([&] { return gate.reads(topic) > before; }));
    // The call that has just arrived gets no answer.
    gate.set(testing::store_proxy::state::open);
    const auto open = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([&] { return ask(request("GET", "/v9/x", "r1")).status != 404; }));
    EXPECT_LT(std::chrono::steady_clock::now() - open, settings.max_recovery_delay);
}

TEST_F(host_test, an_unknown_route_is_answered_with_503_when_the_configuration_is_too_old)
{
    settings.max_apply_delay = 1s;
    start();
    ASSERT_EQ(ask(request("GET", "/v9/x", "r1")).status, 404U);
    store.refuse(503);
    publish(9);
    std::this_thread::sleep_for(settings.max_apply_delay + 500ms);
    const auto answer = ask(request("GET", "/v9/x", "r2"));
    EXPECT_EQ(answer.status, 503U) << "the store has accepted the route";
    EXPECT_NE(answer.field("Retry-After"), "");
    store.refuse(0);
    EXPECT_TRUE(eventually([&] { return ask(request("GET", "/other/x", "r3")).status == 404; }));
}

TEST_F(host_test, the_last_of_many_large_versions_takes_effect_in_time)
{
    settings.max_apply_delay = 2s;
    start();
    constexpr std::size_t large = 250'000;
    constexpr int versions = 40;
    for (int version = 2; version <= versions; ++version) {
        publish(version, 2, large);
    }
    const auto published = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([&] { return ask(request("GET", "/v40/x", "r1")).status != 404; }));
    EXPECT_LT(std::chrono::steady_clock::now() - published, settings.max_apply_delay);
}

TEST_F(host_test, continues_when_unread_records_expire)
{
    start();
    store.refuse(503);
    std::this_thread::sleep_for(200ms);
    publish(5);
    publish(6);
    store.forget_history(std::string{configuration_topic});
    store.refuse(0);
    EXPECT_TRUE(eventually([&] { return ask(request("GET", "/v6/x", "r1")).status != 404; }));
}

TEST_F(host_test, keeps_serving_known_routes_while_the_store_is_down)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    start();
    ASSERT_EQ(ask(request("GET", "/safe/x", "r1")).status, 200U);
    store.refuse(503);
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(ready(), 200U);
    EXPECT_EQ(ask(request("GET", "/safe/x", "r2")).status, 200U);
}

TEST_F(host_test, a_prompt_is_prefilled_by_one_engine_and_decoded_by_another)
{
    scripted_server prefill{[](const received_request& each) {
        return make_response(200, "Request-Id: " + each.field("Request-Id") + "\r\n",
                             R"({"kv-handle":"h1","tokens":9,"version":1})");
    }};
    scripted_server decode{[](const received_request& each) {
        return stream(each, "s", events(1, 2), scripted_response::then::keep);
    }};
    list_replica("i-p", prefill.address(), "e", R"(,"stage":"prefill")");
    list_replica("i-d", decode.address(), "e", R"(,"stage":"decode")");
    start();
    const auto answer = ask(request("POST", "/prompt/x", "r1",
                                    "Token-Count: 900,80\r\nPrompt-Prefix: a:500,b:400\r\n", "q"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 2));
    ASSERT_EQ(prefill.requests().size(), 1U);
    EXPECT_EQ(prefill.requests()[0].field("Serving-Stage"), "prefill");
    ASSERT_EQ(decode.requests().size(), 1U);
    EXPECT_EQ(decode.requests()[0].field("Kv-Source"), http::to_string(prefill.address()) + "/h1");
    EXPECT_EQ(decode.requests()[0].field("Serving-Stage"), "");
}

TEST_F(host_test, a_rejected_prefill_is_not_retried_when_one_attempt_is_allowed)
{
    scripted_server prefill{[](const received_request& each) { return not_executed(each); }};
    scripted_server decode{[](const received_request& each) {
        return stream(each, "s", events(1, 2), scripted_response::then::keep);
    }};
    publish(2, 1);
    list_replica("i-p", prefill.address(), "e", R"(,"stage":"prefill")");
    list_replica("i-d", decode.address(), "e", R"(,"stage":"decode")");
    start();
    const auto answer = ask(request("POST", "/prompt/x", "r1",
                                    "Token-Count: 900,80\r\nPrompt-Prefix: a:500,b:400\r\n", "q"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_TRUE(decode.requests().empty());
}

TEST_F(host_test, a_planned_stop_ends_readiness_first_and_completes_running_requests)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = signed_answer(each, "late");
        reply.delay = 600ms;
        return reply;
    }};
    list_replica("i-1", replica.address());
    settings.grace_time = 6s;
    settings.accept_time_after_stop = 1s;
    start();
    caller waiting{settings.caller_address};
    waiting.send(request("POST", "/once/x", "r1", "", "order"));
    ASSERT_TRUE(eventually([&] { return replica.requests().size() == 1; }));
    process->stop();
    EXPECT_TRUE(eventually([this] { return ready() == 503; }));
    const auto answer = waiting.receive();
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "late");
    EXPECT_EQ(answer.field("Connection"), "close");
    thread.join();
    process.reset();
}

TEST_F(host_test, a_planned_stop_under_load_drops_no_accepted_request)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    settings.grace_time = 5s;
    start();
    constexpr int callers = 16;
    std::atomic<bool> balancer_has_noticed{false};
    std::atomic<int> cut{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            for (int count = 0; !balancer_has_noticed; ++count) {
                const auto id = std::to_string(number) + "-" + std::to_string(count);
                try {
                    const bool whole = ask(request("GET", "/safe/x", id)).status == 200;
                    ++(whole ? served : cut);
                }
                catch (const boost::system::system_error&) {
                    ++cut;
                }
            }
        });
    }
    ASSERT_TRUE(eventually([&] { return served > 200; }));
    process->stop();
    // Longer than the time for which the host accepts connections in any case after a stop.
    std::this_thread::sleep_for(5 * settings.accept_time_after_stop);
    balancer_has_noticed = true;
    for (auto& each : threads) {
        each.join();
    }
    EXPECT_EQ(cut, 0);
}

TEST_F(host_test, keeps_running_after_the_signal_to_reload_settings)
{
    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    list_replica("i-1", replica.address());
    start();
    std::raise(SIGHUP);
    EXPECT_EQ(ask(request("GET", "/safe/x", "r1")).status, 200U);
}

} // namespace
} // namespace cicadaport::platform
