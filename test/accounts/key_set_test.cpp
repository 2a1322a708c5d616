#include "cicadaport/accounts/key_set.h"

#include <gtest/gtest.h>

namespace cicadaport::accounts {
namespace {

// Guards against look-ups that fail in a large set, in which keys share buckets.
TEST(key_set_test, finds_each_of_many_keys_and_no_other)
{
    constexpr int accounts = 2'000;
    constexpr int keys_per_account = 10;
    std::vector<account_entry> entries;
    for (int number = 0; number < accounts; ++number) {
        account_entry entry{{"account-" + std::to_string(number), std::nullopt}, {}};
        for (int key = 0; key < keys_per_account; ++key) {
            entry.keys.push_back(
                hash_key("key-" + std::to_string(number) + "-" + std::to_string(key)));
        }
        entries.push_back(std::move(entry));
    }
    const key_set keys{std::move(entries)};
    EXPECT_EQ(keys.key_count(), static_cast<std::size_t>(accounts * keys_per_account));
    for (int number = 0; number < accounts; ++number) {
        const auto name = std::to_string(number);
        const auto* found = keys.find_key(hash_key("key-" + name + "-9"));
        ASSERT_NE(found, nullptr);
        EXPECT_EQ(found->name, "account-" + name);
        EXPECT_EQ(keys.find_key(hash_key("key-" + name + "-10")), nullptr);
        EXPECT_EQ(keys.find_name("account-" + name), found);
    }
}

// Guards against a key whose account depends on the order of a hash table.
TEST(key_set_test, a_key_of_two_accounts_belongs_to_the_first)
{
    const key_set keys{{{{"first", 1}, {hash_key("k")}}, {{"second", 2}, {hash_key("k")}}}};
    EXPECT_EQ(keys.find_key(hash_key("k"))->name, "first");
    EXPECT_EQ(keys.ambiguous_key_count(), 1U);
    EXPECT_EQ(keys.find_name("absent"), nullptr);
}

TEST(key_set_test, a_key_is_1_to_1024_visible_characters)
{
    EXPECT_TRUE(is_valid_key("a"));
    EXPECT_TRUE(is_valid_key(std::string(max_key_bytes, 'a')));
    EXPECT_FALSE(is_valid_key(""));
    EXPECT_FALSE(is_valid_key(std::string(max_key_bytes + 1, 'a')));
    for (const std::string_view each : {"a b", "a\tb", "a\x7f", "\xc3\xa4", "a\x01"}) {
        EXPECT_FALSE(is_valid_key(each));
    }
}

} // namespace
} // namespace cicadaport::accounts
