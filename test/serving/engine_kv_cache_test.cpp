#include "cicadaport/serving/engine_kv_cache.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};
constexpr std::uint32_t engine = 7;
constexpr std::uint32_t prefix = 11;
constexpr double capacity = 100'000;

TEST(engine_kv_cache_test, a_prefix_is_evicted_once_the_engine_has_added_its_usable_capacity)
{
    engine_kv_cache cache;
    cache.record_prefix(engine, prefix, start, start);
    cache.record_added_tokens(engine, capacity * engine_kv_cache::usable_fraction);
    EXPECT_TRUE(cache.has_prefix(engine, prefix, capacity, start));
    cache.record_added_tokens(engine, 1);
    EXPECT_FALSE(cache.has_prefix(engine, prefix, capacity, start));
    EXPECT_TRUE(cache.has_prefix(engine, prefix, 0, start)) << "the capacity is unknown";
}

TEST(engine_kv_cache_test, each_use_extends_the_retention_of_a_prefix)
{
    engine_kv_cache cache;
    cache.record_prefix(engine, prefix, start, start);
    cache.record_added_tokens(engine, capacity / 2);
    cache.record_prefix(engine, prefix, start, start + 15s);
    cache.record_added_tokens(engine, capacity / 2);
    EXPECT_TRUE(cache.has_prefix(engine, prefix, capacity, start + 30s));
    EXPECT_FALSE(
        cache.has_prefix(engine, prefix, capacity, start + 15s + engine_kv_cache::prefix_ttl));
}

TEST(engine_kv_cache_test, tokens_added_to_one_engine_do_not_affect_another)
{
    engine_kv_cache cache;
    cache.record_prefix(engine, prefix, start, start);
    cache.record_added_tokens(engine + 1, 2 * capacity);
    EXPECT_TRUE(cache.has_prefix(engine, prefix, capacity, start));
    EXPECT_FALSE(cache.has_prefix(engine + 1, prefix, capacity, start));
}

TEST(engine_kv_cache_test, a_prefix_is_ready_when_its_first_prefill_completes)
{
    engine_kv_cache cache;
    cache.record_prefix(engine, prefix, start + 300ms, start);
    EXPECT_FALSE(cache.is_ready(engine, prefix, start + 299ms));
    EXPECT_TRUE(cache.is_ready(engine, prefix, start + 300ms));
    cache.record_prefix(engine, prefix, start + 900ms, start + 400ms);
    EXPECT_TRUE(cache.is_ready(engine, prefix, start + 400ms))
        << "a later use does not prefill it again";
}

TEST(engine_kv_cache_test, a_forgotten_engine_has_no_cached_prefixes)
{
    engine_kv_cache cache;
    cache.record_prefix(engine, prefix, start, start);
    cache.forget(engine);
    EXPECT_FALSE(cache.has_prefix(engine, prefix, capacity, start));
    EXPECT_FALSE(cache.is_ready(engine, prefix, start));
}

TEST(engine_kv_cache_test, removes_expired_prefixes_above_the_bound)
{
    engine_kv_cache cache;
    for (std::uint32_t each = 0; each < engine_kv_cache::max_prefixes; ++each) {
        cache.record_prefix(engine, each, start, start);
    }
    cache.record_prefix(engine, engine_kv_cache::max_prefixes, start, start + 21s);
    EXPECT_FALSE(cache.is_ready(engine, 0, start + 21s)) << "the expired entry was not removed";
}

// Prefixes that had not expired were kept however many there were, and searched with each new one.
TEST(engine_kv_cache_test, bounds_the_prefixes_that_have_not_expired)
{
    constexpr std::uint32_t count = 300'000;
    engine_kv_cache cache;
    std::size_t largest = 0;
    const auto begun = std::chrono::steady_clock::now();
    for (std::uint32_t each = 0; each < count; ++each) {
        cache.record_prefix(engine, each, start, start + each * 10us);
        largest = std::max(largest, cache.prefix_count(engine));
    }
    EXPECT_LE(largest, 2 * engine_kv_cache::max_unexpired_prefixes + 1);
    EXPECT_TRUE(cache.has_prefix(engine, count - 1, 0, start + count * 10us));
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 10s);
}

} // namespace
} // namespace cicadaport::serving
