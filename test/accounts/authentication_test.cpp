#include "cicadaport/accounts/authentication.h"

#include <gtest/gtest.h>

namespace cicadaport::accounts {
namespace {

constexpr milliseconds apply_delay{3'000};

credentials key(std::string_view text)
{
    return {credentials::form::key, hash_key(text)};
}

class authentication_test : public testing::Test {
protected:
    decision decide(const credentials& given, bool allows_anonymous = false)
    {
        return authenticate(given, {m_keys, m_age, apply_delay, m_max_revocation_delay},
                            allows_anonymous);
    }

    key_set m_keys{{{{"large", 0}, {hash_key("a-key"), hash_key("second-key")}},
                    {{"small", std::nullopt}, {hash_key("c-key")}}}};
    std::optional<milliseconds> m_age{0};
    std::optional<milliseconds> m_max_revocation_delay;
};

// Guards against an account that gets another account's requests.
TEST_F(authentication_test, each_key_of_an_account_is_accepted_for_that_account)
{
    EXPECT_EQ(decide(key("a-key")).holder->name, "large");
    EXPECT_EQ(decide(key("second-key")).holder->name, "large");
    EXPECT_EQ(decide(key("c-key")).holder->name, "small");
    EXPECT_EQ(decide(key("c-key")).result, outcome::accepted);
}

// Guards against requests that run without a key, or with one that no account holds.
TEST_F(authentication_test, without_a_known_key_a_request_is_refused)
{
    for (const auto& each : {key("A-KEY"), key("a-ke"), key("a-key2"), credentials{},
                             credentials{credentials::form::malformed, {}}}) {
        EXPECT_EQ(decide(each).result, outcome::unknown_key);
        EXPECT_EQ(decide(each).holder, nullptr);
    }
}

// Guards against the refusal of a key that a newer configuration has added.
TEST_F(authentication_test, a_view_that_is_too_old_proves_no_key_unknown)
{
    m_age = apply_delay;
    EXPECT_EQ(decide(key("new-key")).result, outcome::unknown_key);
    m_age = apply_delay + milliseconds{1};
    EXPECT_EQ(decide(key("new-key")).result, outcome::stale_view);
    EXPECT_EQ(decide(key("a-key")).result, outcome::accepted);
    m_age.reset();
    EXPECT_EQ(decide(key("new-key")).result, outcome::stale_view);
}

// Guards against a 401 on a route that needs no key.
TEST_F(authentication_test, a_route_for_anonymous_callers_refuses_no_key_and_knows_the_known_ones)
{
    EXPECT_EQ(decide(key("a-key"), true).holder->name, "large");
    EXPECT_EQ(decide(key("x"), true).result, outcome::anonymous);
    EXPECT_EQ(decide({}, true).result, outcome::anonymous);
    EXPECT_EQ(decide({credentials::form::malformed, {}}, true).result, outcome::anonymous);
}

// Guards against requests with a revoked key on a host that is cut off from the store.
TEST_F(authentication_test, under_strict_revocation_an_old_view_proves_no_key_valid)
{
    m_max_revocation_delay = milliseconds{5'000};
    m_age = milliseconds{5'000};
    EXPECT_EQ(decide(key("a-key")).result, outcome::accepted);
    m_age = milliseconds{5'001};
    EXPECT_EQ(decide(key("a-key")).result, outcome::stale_view);
    EXPECT_EQ(decide(key("a-key"), true).result, outcome::stale_view);
    EXPECT_EQ(decide({}, true).result, outcome::anonymous);
}

} // namespace
} // namespace cicadaport::accounts
