// Tests of keys that are removed or move while work is in progress. A request that was accepted
// keeps the terms under which it started; each later request is judged by the newest version.
#include "accounts_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using testing::events;
using testing::eventually;
using testing::not_executed;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;
using testing::store_proxy;
using testing::stream;
using namespace std::chrono_literals;

scripted_response answer(const received_request& each)
{
    return signed_answer(each, "a");
}

// Returns a response that is sent once `sent` is true.
scripted_response held(scripted_response reply, const std::atomic<bool>& sent)
{
    scripted_response out;
    out.later = [reply = std::move(reply), &sent]() -> std::optional<scripted_response> {
        return sent ? std::optional{reply} : std::nullopt;
    };
    return out;
}

class revocation_test : public testing::accounts_test_base {
protected:
    void start_with_keys(const std::vector<std::string>& keys)
    {
        publish_accounts({account("a", keys), account("b", {"kb"})});
        list_replica("i-1", replica.address());
        start();
        ASSERT_TRUE(becomes("kb", 200));
    }

    // Publishes that `a` has no keys and waits until that is in force.
    void revoke()
    {
        publish_accounts({account("a", {}), account("b", {"kb"})});
        ASSERT_TRUE(becomes("k1", 401));
    }

    // Lists a second replica and returns whether requests reach it.
    bool becomes_used(scripted_server& other)
    {
        list_replica("i-2", other.address());
        return eventually([&] {
            status_of("kb");
            return !other.requests().empty();
        });
    }

    std::atomic<bool> sent{false};
    scripted_server replica{answer};
};

TEST_F(revocation_test, a_kept_connection_is_no_longer_served_with_a_removed_key)
{
    start_with_keys({"k1", "k2"});
    testing::caller kept{settings.caller_address};
    EXPECT_EQ(kept.ask(request("GET", "/safe/x", "r1", with_key("k1"))).status, 200U);
    publish_accounts({account("a", {"k2"}), account("b", {"kb"})});
    ASSERT_TRUE(becomes("k1", 401));
    EXPECT_EQ(kept.ask(request("GET", "/safe/x", "r2", with_key("k1"))).status, 401U);
    EXPECT_EQ(kept.ask(request("GET", "/safe/x", "r3", with_key("k2"))).status, 200U);
    EXPECT_TRUE(received(replica, "r2").empty());
}

TEST_F(revocation_test, a_pipelined_request_is_judged_when_its_turn_comes)
{
    start_with_keys({"k1"});
    replica.set_answer([this](const received_request& each) {
        return each.field("Request-Id") == "r1" ? held(answer(each), sent) : answer(each);
    });
    testing::caller pipelining{settings.caller_address};
    pipelining.send(request("POST", "/once/x", "r1", with_key("k1")) +
                    request("POST", "/once/x", "r2", with_key("k1")));
    ASSERT_TRUE(eventually([&] { return !received(replica, "r1").empty(); }));
    revoke();
    sent = true;
    EXPECT_EQ(pipelining.receive().status, 200U);
    EXPECT_EQ(pipelining.receive().status, 401U);
    EXPECT_TRUE(received(replica, "r2").empty());
}

TEST_F(revocation_test, a_request_that_waits_for_another_attempt_keeps_its_account)
{
    start_with_keys({"k1"});
    scripted_server other{answer};
    replica.set_answer([this](const received_request& each) {
        return each.field("Request-Id") == "r1" ? held(not_executed(each), sent) : answer(each);
    });
    testing::caller waiting{settings.caller_address};
    waiting.send(request("POST", "/once/x", "r1", with_key("k1")));
    ASSERT_TRUE(eventually([&] { return !received(replica, "r1").empty(); }));
    revoke();
    ASSERT_TRUE(becomes_used(other));
    sent = true;
    EXPECT_EQ(waiting.receive().status, 200U);
    expect_account(other, "r1", "a");
}

TEST_F(revocation_test, a_stream_that_has_begun_is_resumed_for_its_account)
{
    start_with_keys({"k1"});
    scripted_server other{[](const received_request& each) {
        return each.path().starts_with("/going/")
                   ? stream(each, "s", events(3, 4), scripted_response::then::keep)
                   : answer(each);
    }};
    replica.set_answer([this](const received_request& each) {
        if (!each.path().starts_with("/going/")) {
            return answer(each);
        }
        auto out = stream(each, "s", events(1, 2), scripted_response::then::reset);
        out.after = scripted_response::then::keep;
        out.following = [this] { return held({"", scripted_response::then::reset}, sent); };
        return out;
    });
    testing::caller reading{settings.caller_address};
    reading.send(request("GET", "/going/x", "r1", with_key("k1")));
    ASSERT_TRUE(eventually([&] { return !received(replica, "r1").empty(); }));
    revoke();
    ASSERT_TRUE(becomes_used(other));
    sent = true;
    const auto whole = reading.receive();
    EXPECT_EQ(whole.body, events(1, 4));
    EXPECT_TRUE(whole.complete);
    expect_account(other, "r1", "a");
    // A caller that continues the stream itself sends a new request.
    EXPECT_EQ(ask(request("GET", "/going/x", "r2",
                          with_key("k1") + "Last-Event-Id: 2\r\nResumes: r1\r\n"))
                  .status,
              401U);
}

TEST_F(revocation_test, a_host_cut_off_from_the_store_serves_known_keys_and_refuses_none_with_401)
{
    store_proxy proxy{store};
    settings.store_address = proxy.address();
    start_with_keys({"k1"});
    proxy.set(store_proxy::state::silent);
    publish_accounts({account("b", {"kb"}), account("c", {"kc"})});
    EXPECT_TRUE(becomes("kc", 503));
    const auto refused = ask(request("GET", "/safe/x", "r1", with_key("kc")));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_NE(refused.field("Retry-After"), "");
    EXPECT_EQ(status_of("k1"), 200U);
    proxy.set(store_proxy::state::open);
    EXPECT_TRUE(becomes("kc", 200));
    EXPECT_EQ(status_of("k1"), 401U);
}

TEST_F(revocation_test, under_strict_revocation_a_host_cut_off_from_the_store_serves_no_key)
{
    store_proxy proxy{store};
    settings.store_address = proxy.address();
    settings.max_revocation_delay = 1'000ms;
    start_with_keys({"k1"});
    proxy.set(store_proxy::state::silent);
    EXPECT_TRUE(becomes("k1", 503));
    EXPECT_EQ(ask(request("GET", "/v1/x", "r1")).status, 200U);
    const auto relayed = testing::caller{settings.peers.own}.ask(
        request("GET", "/safe/x", "r2", "Tenant: a\r\nTenant-Determined: 1\r\n"));
    EXPECT_EQ(relayed.status, 503U);
    EXPECT_TRUE(received(replica, "r2").empty());
    proxy.set(store_proxy::state::open);
    EXPECT_TRUE(becomes("k1", 200));
}

TEST_F(revocation_test, all_keys_of_an_account_can_be_removed_at_once)
{
    start_with_keys({"k1", "k2", "k3"});
    for (const std::string each : {"k1", "k2", "k3"}) {
        EXPECT_EQ(status_of(each), 200U);
    }
    revoke();
    for (const std::string each : {"k1", "k2", "k3"}) {
        EXPECT_EQ(status_of(each), 401U);
    }
    EXPECT_EQ(status_of("kb"), 200U);
}

TEST_F(revocation_test, a_key_that_moves_runs_new_requests_for_its_new_account)
{
    start_with_keys({"k1"});
    replica.set_answer([this](const received_request& each) {
        return each.field("Request-Id") == "r1" ? held(answer(each), sent) : answer(each);
    });
    testing::caller waiting{settings.caller_address};
    waiting.send(request("POST", "/once/x", "r1", with_key("k1")));
    ASSERT_TRUE(eventually([&] { return !received(replica, "r1").empty(); }));
    publish_accounts({account("a", {"k9"}), account("b", {"kb", "k1"})});
    ASSERT_TRUE(becomes("k9", 200));
    EXPECT_EQ(ask(request("POST", "/once/x", "r2", with_key("k1"))).status, 200U);
    sent = true;
    EXPECT_EQ(waiting.receive().status, 200U);
    expect_account(replica, "r1", "a");
    expect_account(replica, "r2", "b");
}

// Guards against an older set of keys that returns with a record that arrives late.
TEST_F(revocation_test, an_older_version_brings_no_removed_key_back)
{
    start_with_keys({"k1"});
    const auto older = store.newest(std::string{testing::configuration_topic}, "config");
    revoke();
    store.put(std::string{testing::configuration_topic}, "config", older);
    const auto reads = store.reads(std::string{testing::configuration_topic});
    ASSERT_TRUE(eventually(
        [&] { return store.reads(std::string{testing::configuration_topic}) > reads + 2; }));
    EXPECT_EQ(status_of("k1"), 401U);
}

// Guards against the waiting connections of a version that takes the accounts away altogether.
TEST_F(revocation_test, a_version_without_accounts_forwards_the_fields_again)
{
    start_with_keys({"k1"});
    publish_without_accounts();
    EXPECT_TRUE(becomes("unknown", 200));
    ask(request("GET", "/safe/x", "r1", with_key("unknown")));
    EXPECT_EQ(received(replica, "r1")[0].field("Authorization"), "Bearer unknown");
}

} // namespace
} // namespace cicadaport::platform
