#include "cicadaport/history/fencing_token.h"
#include "cicadaport/history/record_digest.h"

#include <gmock/gmock.h>

namespace cicadaport::history {
namespace {

TEST(fencing_token_test, rises_from_one_history_to_the_next_at_any_offset)
{
    EXPECT_LT(fencing_token(1, 4'000'000'000), fencing_token(2, 0));
    EXPECT_LT(fencing_token({}, 4'000'000'000), fencing_token(1, 0));
    EXPECT_LT(fencing_token(2, 5), fencing_token(2, 6));
}

TEST(fencing_token_test, is_the_offset_plus_one_without_an_epoch)
{
    EXPECT_EQ(fencing_token({}, 0), 1U);
    EXPECT_EQ(fencing_token({}, 41), 42U);
}

TEST(fencing_token_test, there_is_none_beyond_the_exact_numbers_of_a_message)
{
    constexpr std::uint64_t exact = 1ULL << 53U;
    EXPECT_LT(*fencing_token((1ULL << 21U) - 1, 0), exact);
    EXPECT_FALSE(fencing_token(1ULL << 21U, 0));
    EXPECT_FALSE(fencing_token({}, 1ULL << 32U));
}

TEST(fencing_token_test, is_above_the_known_one_in_its_epoch_or_in_the_next)
{
    EXPECT_EQ(fencing_token_above(4, {}, 41), 42U);
    EXPECT_EQ(fencing_token_above(42, {}, 41), fencing_token(1, 41));
    EXPECT_EQ(fencing_token_above(*fencing_token(3, 5), 2, 6), fencing_token(3, 6));
    EXPECT_EQ(fencing_token_above(*fencing_token(3, 5), 2, 5), fencing_token(4, 5));
    EXPECT_FALSE(fencing_token_above(max_fencing_token, 2, 0));
}

TEST(record_digest_test, tells_records_apart_by_key_value_and_removal)
{
    EXPECT_EQ(digest_of("a", "x"), digest_of("a", "x"));
    EXPECT_NE(digest_of("a", "x"), digest_of("b", "x"));
    EXPECT_NE(digest_of("a", "x"), digest_of("a", "y"));
    EXPECT_NE(digest_of("a", ""), digest_of("a", std::nullopt));
    EXPECT_NE(digest_of("ab", "c"), digest_of("a", "bc"));
}

TEST(record_digest_test, unknown_records_contradict_none)
{
    EXPECT_TRUE(contradict(1U, 2U));
    EXPECT_FALSE(contradict(1U, 1U));
    EXPECT_FALSE(contradict({}, 1U));
    EXPECT_FALSE(contradict(1U, {}));
}

} // namespace
} // namespace cicadaport::history
