#include "cicadaport/routing/prefix_index.h"

#include "cicadaport/routing/estimate.h"

#include <gtest/gtest.h>

#include <vector>

namespace cicadaport::routing {
namespace {

// Returns pseudo-random block hashes in place of those of a prompt.
std::vector<std::uint64_t> chain(std::uint64_t seed, std::size_t blocks)
{
    std::vector<std::uint64_t> out;
    for (std::size_t i = 0; i < blocks; ++i) {
        seed = seed * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
        out.push_back(seed);
    }
    return out;
}

void store_all(prefix_index& index, std::span<const std::uint64_t> blocks, std::uint32_t endpoint)
{
    for (const auto block : blocks) {
        index.store(block, endpoint);
    }
}

TEST(prefix_index_test, finds_the_engine_with_the_longest_prefix_first)
{
    const auto prompt = chain(1, 40);
    prefix_index index{1 << 12};
    store_all(index, std::span{prompt}.first(40), 3);
    store_all(index, std::span{prompt}.first(10), 5);
    const auto match = index.find(prompt);
    ASSERT_FALSE(match.holders().empty());
    EXPECT_EQ(match.holders().front().endpoint, 3U);
    EXPECT_EQ(match.tokens_at(3), 40 * block_tokens);
    EXPECT_LE(match.tokens_at(5), 10 * block_tokens);
    EXPECT_EQ(match.tokens_at(4), 0U);
}

TEST(prefix_index_test, removes_evicted_blocks_and_engines_that_lost_their_cache)
{
    const auto prompt = chain(2, 4);
    prefix_index index{1 << 12};
    store_all(index, prompt, 1);
    index.remove(prompt[3], 1);
    EXPECT_EQ(index.find(prompt).tokens_at(1), 3 * block_tokens);
    index.remove_all(1);
    EXPECT_TRUE(index.find(prompt).holders().empty());
}

TEST(prefix_index_test, lost_and_wrong_events_only_change_the_estimate)
{
    const auto prompt = chain(3, 16);
    prefix_index index{1 << 12};
    for (std::size_t i = 0; i < prompt.size(); i += 5) {
        index.store(prompt[i], 2);
    }
    index.remove(prompt[1], 7);
    EXPECT_LE(index.find(prompt).tokens_at(2), 16 * block_tokens);
}

TEST(prefix_index_test, a_full_index_replaces_blocks_and_still_finds_the_newest)
{
    prefix_index index{64};
    for (std::uint64_t seed = 10; seed < 200; ++seed) {
        store_all(index, chain(seed, 8), 1);
    }
    const auto newest = chain(200, 1);
    store_all(index, newest, 1);
    EXPECT_EQ(index.find(newest).tokens_at(1), block_tokens);
}

TEST(prefix_index_test, an_unknown_or_empty_prompt_has_no_holders)
{
    const prefix_index index{64};
    EXPECT_TRUE(index.find(chain(4, 8)).holders().empty());
    EXPECT_TRUE(index.find({}).holders().empty());
}

} // namespace
} // namespace cicadaport::routing
