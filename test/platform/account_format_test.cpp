// Tests of the formats of accounts and keys.
#include "platform/wire.h"

#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using accounts::credentials;
using ::testing::HasSubstr;
using ::testing::Not;
using form = accounts::credentials::form;

const wire adapter{http::address{"127.0.0.1", 1}};

transport::message_head head(std::initializer_list<http::field> fields)
{
    transport::message_head out;
    out.method = "POST";
    out.target = "/x";
    out.fields = http::field_list{fields};
    return out;
}

credentials read(const std::string& value)
{
    auto from = head({{"Host", "h"}, {"Authorization", value}});
    return adapter.take_credentials(from);
}

serving::deployment_pointer deployment(const std::string& tenants, const std::string& routes = "")
{
    return adapter.read_deployment(
        {"config", R"({"version":3,"routes":[)" + routes + R"(],"services":[])" + tenants + "}"});
}

struct given_field {
    std::string what;
    std::string value;
    form expected;
};

// Guards against a key that is accepted in one spelling by this host and in another one by the
// next, and against parts of a field that are taken for a key.
TEST(account_format_test, each_form_of_the_field_has_one_defined_meaning)
{
    const std::vector<given_field> cases{
        {"usual", "Bearer k1", form::key},
        {"scheme in lower case", "bearer k1", form::key},
        {"scheme in upper case", "BEARER k1", form::key},
        {"several spaces after the scheme", "Bearer   k1", form::key},
        {"spaces around the field", "  Bearer k1 \t", form::key},
        {"longest key", "Bearer " + std::string(accounts::max_key_bytes, 'k'), form::key},
        {"over-long key", "Bearer " + std::string(accounts::max_key_bytes + 1, 'k'),
         form::malformed},
        {"empty field", "", form::malformed},
        {"no key", "Bearer", form::malformed},
        {"only spaces for a key", "Bearer   ", form::malformed},
        {"other scheme", "Basic k1", form::malformed},
        {"scheme with a longer name", "BearerX k1", form::malformed},
        {"no scheme", "k1", form::malformed},
        {"tab after the scheme", "Bearer\tk1", form::malformed},
        {"two keys", "Bearer k1 k2", form::malformed},
        {"two values in one field", "Bearer k1, Bearer k1", form::malformed},
        {"control character", "Bearer k\x01", form::malformed},
        {"byte that is not ASCII", "Bearer k\xe9", form::malformed},
        {"zero byte", std::string{"Bearer k\0k", 10}, form::malformed},
    };
    for (const auto& each : cases) {
        EXPECT_EQ(read(each.value).kind, each.expected) << each.what;
    }
    EXPECT_EQ(read("bearer   k1").key, accounts::hash_key("k1"));
    EXPECT_NE(read("Bearer K1").key, accounts::hash_key("k1"));
    auto none = head({{"Host", "h"}});
    EXPECT_EQ(adapter.take_credentials(none).kind, form::absent);
    auto twice = head({{"Authorization", "Bearer k1"}, {"authorization", "Bearer k1"}});
    EXPECT_EQ(adapter.take_credentials(twice).kind, form::malformed);
}

// Guards against a key that reaches a replica, and against an account that a caller names itself.
TEST(account_format_test, credentials_and_the_claimed_account_are_removed)
{
    auto from = head({{"Host", "h"},
                      {"AUTHORIZATION", "Bearer secret-key"},
                      {"tenant", "other"},
                      {"Tenant", "other"},
                      {"Tenant-Determined", "1"},
                      {"Connection", "Tenant"}});
    adapter.take_credentials(from);
    serving::run_parameters parameters;
    parameters.account = "own";
    const auto sent = adapter.run_request(from, "", parameters);
    EXPECT_THAT(sent, Not(HasSubstr("secret-key")));
    EXPECT_THAT(sent, Not(HasSubstr("other")));
    EXPECT_THAT(sent, HasSubstr("\r\nTenant: own\r\n"));
    EXPECT_THAT(sent, Not(HasSubstr("Tenant-Determined")));
}

// Guards against a receiving host that takes an anonymous request for one without a decision.
TEST(account_format_test, a_relayed_request_tells_the_account_and_that_it_was_determined)
{
    serving::run_parameters parameters;
    parameters.is_account_determined = true;
    auto sent = adapter.run_request(head({{"Host", "h"}}), "", parameters);
    EXPECT_THAT(sent, HasSubstr("\r\nTenant-Determined: 1\r\n"));
    EXPECT_THAT(sent, Not(HasSubstr("Tenant: ")));
    const auto relayed =
        adapter.read_request(head({{"Host", "h"}, {"Tenant", "a"}, {"Tenant-Determined", "1"}}));
    EXPECT_TRUE(relayed.is_account_determined);
    EXPECT_EQ(relayed.account, "a");
    EXPECT_EQ(adapter.read_request(head({{"Host", "h"}, {"Tenant", "a"}})).account, "");
}

TEST(account_format_test, reads_accounts_and_routes_for_anonymous_callers)
{
    const auto read =
        deployment(R"(,"tenants":[{"name":"a","api-keys":["k1","k2"],"priority":1,"other":{}},)"
                   R"({"name":"b","api-keys":[]}])",
                   R"({"name":"r","host":"h","path-prefix":"/","kind":"safe","service":"s",)"
                   R"("allow-anonymous":true})");
    ASSERT_NE(read, nullptr);
    ASSERT_NE(read->keys(), nullptr);
    EXPECT_EQ(read->keys()->account_count(), 2U);
    EXPECT_EQ(read->keys()->find_key(accounts::hash_key("k2"))->name, "a");
    EXPECT_EQ(read->keys()->find_key(accounts::hash_key("k2"))->priority, 1U);
    EXPECT_EQ(read->keys()->find_name("b")->priority, std::nullopt);
    EXPECT_TRUE(read->find_route("h", "/")->allows_anonymous);
    EXPECT_EQ(deployment("")->keys(), nullptr);
    EXPECT_NE(deployment(R"(,"tenants":[])")->keys(), nullptr);
    EXPECT_EQ(deployment(R"(,"tenants":{})"), nullptr);
}

// Guards against one bad entry that keeps a whole version, with its removed keys, out of force.
TEST(account_format_test, what_cannot_be_used_of_an_account_leaves_the_others_in_force)
{
    const auto read = deployment(
        R"(,"tenants":[7,{"api-keys":["k0"]},{"name":"a\r\nb","api-keys":["k1"]},)"
        R"({"name":" a","api-keys":["k1"]},{"name":"","api-keys":["k1"]},)"
        R"({"name":"c","api-keys":["k2",7,"","k 3"],"priority":-1},{"name":"d","api-keys":"k4"},)"
        R"({"name":"e","api-keys":["k2","k5"]}])");
    ASSERT_NE(read, nullptr);
    const auto& keys = *read->keys();
    EXPECT_EQ(keys.account_count(), 3U);
    EXPECT_EQ(keys.key_count(), 2U);
    EXPECT_EQ(keys.find_key(accounts::hash_key("k2"))->name, "c");
    EXPECT_EQ(keys.find_name("c")->priority, std::nullopt);
    EXPECT_EQ(keys.find_key(accounts::hash_key("k1")), nullptr);
    EXPECT_EQ(keys.find_key(accounts::hash_key("k5"))->name, "e");
}

// Guards against keys in the log: the message of a syntax error quotes the text around it.
TEST(account_format_test, no_key_is_logged_when_a_configuration_cannot_be_read)
{
    testing::captured_log log;
    spdlog::default_logger()->set_level(spdlog::level::trace);
    for (const std::string tail : {"secret-key", "secret-key\"", "secret-key\":", "secret-key\x01",
                                   "secret-key\" \"secret-key\""}) {
        EXPECT_EQ(deployment(R"(,"tenants":[{"name":"a","api-keys":["secret-key"],"secret-key":")" +
                             tail),
                  nullptr);
    }
    deployment(R"(,"tenants":[{"name":"a","api-keys":["secret-key","secret-key secret-key"]},)"
               R"({"name":["secret-key"],"api-keys":["secret-key"]},)"
               R"({"name":"b","api-keys":["secret-key"]}])");
    try {
        adapter.read_newest(200, R"({"end":1,"items":[{"key":"config","value":"secret-key)");
    }
    catch (const serving::store_error& error) {
        EXPECT_THAT(error.what(), Not(HasSubstr("secret-key")));
    }
    EXPECT_THAT(log.text(), HasSubstr("configuration_unreadable"));
    EXPECT_THAT(log.text(), HasSubstr("accounts_unreadable"));
    EXPECT_THAT(log.text(), Not(HasSubstr("secret-key")));
}

// Guards against keys in datagrams to other hosts.
TEST(account_format_test, a_configuration_with_accounts_may_hold_keys)
{
    EXPECT_TRUE(adapter.may_hold_keys({"config", R"({"version":1,"tenants":[]})"}));
    EXPECT_TRUE(adapter.may_hold_keys({"config", R"({"version":1,"\u0074enants":[]})"}));
    EXPECT_TRUE(adapter.may_hold_keys({"config", R"({"version":1)"}));
    EXPECT_FALSE(adapter.may_hold_keys({"config", R"({"version":1})"}));
    EXPECT_FALSE(adapter.may_hold_keys({"i-1", R"({"tenants":[]})"}));
}

} // namespace
} // namespace cicadaport::platform
