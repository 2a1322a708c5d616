// Tests of a host whose configuration has accounts: who is served, and what replicas learn.
#include "accounts_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using testing::events;
using testing::eventually;
using ::testing::HasSubstr;
using testing::make_response;
using ::testing::Not;
using testing::not_executed;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;
using testing::stream;
using namespace std::chrono_literals;

scripted_response answer(const received_request& each)
{
    return signed_answer(each, "a");
}

class accounts_test : public testing::accounts_test_base {
protected:
    // Starts a host with one replica and the account `a` with the keys `k1` and `k2`.
    void start_with_account()
    {
        publish_accounts({account("a", {"k1", "k2"})});
        list_replica("i-1", replica.address());
        start();
    }

    scripted_server replica{answer};
};

// Guards against keys that reach replicas and against callers that name their own account.
TEST_F(accounts_test, a_replica_gets_the_account_of_the_key_and_never_the_key)
{
    start_with_account();
    ASSERT_TRUE(becomes("k1", 200));
    ask(request("GET", "/safe/x", "r1",
                with_key("k2") + "Tenant: other\r\ntenant: a\r\nTenant-Determined: 1\r\n"));
    expect_account(replica, "r1", "a");
    EXPECT_EQ(replica.count([](const auto& each) {
        return each.head.fields.find("Authorization").has_value();
    }),
              0U);
}

// Guards against ROUTE: a request that runs without a key of any configuration.
TEST_F(accounts_test, a_request_without_a_known_key_gets_401_and_reaches_no_replica)
{
    start_with_account();
    ASSERT_TRUE(becomes("k1", 200));
    const std::vector<std::string> cases{"",
                                         with_key("K1"),
                                         with_key("k3"),
                                         "Authorization: Basic k1\r\n",
                                         "Authorization: Bearer \r\n",
                                         with_key("k1") + with_key("k1"),
                                         "Tenant: a\r\nTenant-Determined: 1\r\n"};
    for (std::size_t index = 0; index < cases.size(); ++index) {
        const auto id = "r" + std::to_string(index);
        const auto refused = ask(request("GET", "/safe/x", id, cases[index]));
        EXPECT_EQ(refused.status, 401U) << cases[index];
        EXPECT_EQ(refused.field("WWW-Authenticate"), "Bearer");
        EXPECT_TRUE(received(replica, id).empty()) << cases[index];
    }
    // An unknown route is 404 whatever the key.
    EXPECT_EQ(ask(request("GET", "/none/x", "r9", with_key("k3"))).status, 404U);
}

TEST_F(accounts_test, a_route_for_anonymous_callers_sends_an_account_only_for_a_known_key)
{
    start_with_account();
    ASSERT_TRUE(becomes("k1", 200));
    EXPECT_EQ(ask(request("GET", "/v1/x", "r1", with_key("k1"))).status, 200U);
    EXPECT_EQ(ask(request("GET", "/v1/x", "r2", with_key("k3") + "Tenant: a\r\n")).status, 200U);
    EXPECT_EQ(ask(request("GET", "/v1/x", "r3", "Tenant: a\r\n")).status, 200U);
    expect_account(replica, "r1", "a");
    expect_account(replica, "r2", "");
    expect_account(replica, "r3", "");
}

// Guards against a change for deployments without accounts.
TEST_F(accounts_test, without_accounts_both_fields_are_forwarded)
{
    list_replica("i-1", replica.address());
    start();
    ask(request("GET", "/safe/x", "r1", with_key("k1") + "Tenant: t\r\n"));
    ASSERT_EQ(received(replica, "r1").size(), 1U);
    EXPECT_EQ(received(replica, "r1")[0].field("Authorization"), "Bearer k1");
    EXPECT_EQ(received(replica, "r1")[0].field("Tenant"), "t");
}

// Guards against paths on which the account is lost: second attempts and resumed streams.
TEST_F(accounts_test, a_second_attempt_and_a_resumed_stream_carry_the_account)
{
    scripted_server other{[](const received_request& each) {
        return each.path().starts_with("/going/")
                   ? stream(each, "s", events(3, 4), scripted_response::then::keep)
                   : answer(each);
    }};
    replica.set_answer([](const received_request& each) {
        return each.path().starts_with("/going/")
                   ? stream(each, "s", events(1, 2), scripted_response::then::reset)
                   : not_executed(each);
    });
    publish_accounts({account("a", {"k1"})});
    list_replica("i-1", replica.address());
    start();
    // The second replica is listed once the stream has begun at the first one.
    ASSERT_TRUE(eventually([&] {
        list_replica("i-2", other.address());
        ask(request("GET", "/safe/x", "r1", with_key("k1")));
        ask(request("GET", "/going/x", "r2", with_key("k1")));
        return !received(other, "r1").empty() && !received(other, "r2").empty() &&
               !received(replica, "r1").empty() && !received(replica, "r2").empty();
    }));
    for (const std::string id : {"r1", "r2"}) {
        expect_account(replica, id, "a");
        expect_account(other, id, "a");
    }
}

// Guards against a prefill that runs without an account, and against the route's priority.
TEST_F(accounts_test, prefill_and_decode_carry_the_account_and_its_priority)
{
    replica.set_answer([](const received_request& each) {
        return make_response(200, "Request-Id: " + each.field("Request-Id") + "\r\n",
                             R"({"kv-handle":"h1","tokens":9,"version":1})");
    });
    scripted_server decode{[](const received_request& each) {
        return stream(each, "s", events(1, 2), scripted_response::then::keep);
    }};
    publish_accounts({account("a", {"k1"})});
    list_replica("i-p", replica.address(), "e", R"(,"stage":"prefill")");
    list_replica("i-d", decode.address(), "e", R"(,"stage":"decode")");
    start();
    const auto prompt = "Token-Count: 900,80\r\nPrompt-Prefix: a:500,b:400\r\n" + with_key("k1");
    EXPECT_EQ(ask(request("POST", "/prompt/x", "r1", prompt, "q")).status, 200U);
    expect_account(replica, "r1", "a");
    expect_account(decode, "r1", "a");
    EXPECT_EQ(received(decode, "r1")[0].field("Request-Priority"), "0");
}

// Guards against a key that leaves the host on its way to another one.
TEST_F(accounts_test, a_relayed_request_carries_the_account_and_never_the_key)
{
    publish_accounts({account("a", {"k1"})});
    scripted_server other{answer};
    list_replica("i-1", {"127.0.0.1", testing::free_port()});
    start();
    ASSERT_TRUE(eventually([&] {
        greet({&other});
        return status_of("k1") == 200;
    }));
    for (const auto& each : other.requests()) {
        EXPECT_EQ(each.field("Tenant"), "a");
        EXPECT_EQ(each.field("Tenant-Determined"), "1");
        EXPECT_FALSE(each.head.fields.find("Authorization"));
    }
}

// Guards against requests for which the receiving host asks for a key that it does not get, and
// against a caller's account that a host without accounts has forwarded.
TEST_F(accounts_test, the_account_of_a_relayed_request_is_that_of_the_relaying_host)
{
    start_with_account();
    ASSERT_TRUE(becomes("k1", 200));
    const auto relay = [&](const std::string& id, const std::string& fields) {
        return testing::caller{settings.peers.own}
            .ask(request("GET", "/safe/x", id, fields))
            .status;
    };
    EXPECT_EQ(relay("r1", "Tenant: new\r\nTenant-Determined: 1\r\n"), 200U);
    expect_account(replica, "r1", "new");
    // The relaying host has no accounts yet, so it forwards what the caller has sent.
    EXPECT_EQ(relay("r2", "Tenant: new\r\n" + with_key("k1")), 200U);
    expect_account(replica, "r2", "a");
    EXPECT_EQ(relay("r3", "Tenant: a\r\n"), 401U);
    EXPECT_TRUE(received(replica, "r3").empty());
}

// Guards against the loss of the account on a host that has not read the configuration yet.
TEST_F(accounts_test, a_host_without_accounts_forwards_the_account_of_a_relayed_request)
{
    list_replica("i-1", replica.address());
    start();
    const auto status =
        testing::caller{settings.peers.own}
            .ask(request("GET", "/safe/x", "r1", "Tenant: a\r\nTenant-Determined: 1\r\n"))
            .status;
    EXPECT_EQ(status, 200U);
    expect_account(replica, "r1", "a");
}

// Guards against keys in the log, at its most detailed level.
TEST_F(accounts_test, no_key_is_logged)
{
    testing::captured_log log;
    spdlog::default_logger()->set_level(spdlog::level::trace);
    publish_accounts({account("a", {"secret-key-1"})});
    list_replica("i-1", replica.address());
    start();
    ASSERT_TRUE(becomes("secret-key-1", 200));
    EXPECT_EQ(status_of("secret-key-2"), 401U);
    ask(request("GET", "/none/x", "r1", with_key("secret-key-1")));
    ask(request("GET", "/safe/x", "r2", "Authorization: Basic secret-key-1\r\n"));
    stop_host();
    EXPECT_THAT(log.text(), HasSubstr("request_unauthenticated"));
    EXPECT_THAT(log.text(), HasSubstr("accounts version=2 accounts=1 keys=1"));
    EXPECT_THAT(log.text(), Not(HasSubstr("secret-key")));
}

} // namespace
} // namespace cicadaport::platform
