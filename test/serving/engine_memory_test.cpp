#include "cicadaport/serving/engine_memory.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};
constexpr std::uint32_t engine = 7;
constexpr std::uint32_t beginning = 11;
constexpr double capacity = 100'000;

TEST(engine_memory_test, a_beginning_gives_way_once_the_engine_has_taken_in_what_its_memory_holds)
{
    engine_memory memory;
    memory.record_prefix(engine, beginning, start, start);
    memory.record_added_tokens(engine, capacity * engine_memory::usable_part);
    EXPECT_TRUE(memory.keeps(engine, beginning, capacity, start));
    memory.record_added_tokens(engine, 1);
    EXPECT_FALSE(memory.keeps(engine, beginning, capacity, start));
    EXPECT_TRUE(memory.keeps(engine, beginning, 0, start)) << "the capacity is unknown";
}

TEST(engine_memory_test, each_use_keeps_a_beginning_for_longer)
{
    engine_memory memory;
    memory.record_prefix(engine, beginning, start, start);
    memory.record_added_tokens(engine, capacity / 2);
    memory.record_prefix(engine, beginning, start, start + 15s);
    memory.record_added_tokens(engine, capacity / 2);
    EXPECT_TRUE(memory.keeps(engine, beginning, capacity, start + 30s));
    EXPECT_FALSE(
        memory.keeps(engine, beginning, capacity, start + 15s + engine_memory::prefix_ttl));
}

TEST(engine_memory_test, what_one_engine_takes_in_does_not_concern_another)
{
    engine_memory memory;
    memory.record_prefix(engine, beginning, start, start);
    memory.record_added_tokens(engine + 1, 2 * capacity);
    EXPECT_TRUE(memory.keeps(engine, beginning, capacity, start));
    EXPECT_FALSE(memory.keeps(engine + 1, beginning, capacity, start));
}

TEST(engine_memory_test, a_beginning_is_ready_from_when_it_was_first_read)
{
    engine_memory memory;
    memory.record_prefix(engine, beginning, start + 300ms, start);
    EXPECT_FALSE(memory.is_ready(engine, beginning, start + 299ms));
    EXPECT_TRUE(memory.is_ready(engine, beginning, start + 300ms));
    memory.record_prefix(engine, beginning, start + 900ms, start + 400ms);
    EXPECT_TRUE(memory.is_ready(engine, beginning, start + 400ms))
        << "a later use does not prefill it again";
}

TEST(engine_memory_test, nothing_is_kept_by_an_engine_that_is_forgotten)
{
    engine_memory memory;
    memory.record_prefix(engine, beginning, start, start);
    memory.forget(engine);
    EXPECT_FALSE(memory.keeps(engine, beginning, capacity, start));
    EXPECT_FALSE(memory.is_ready(engine, beginning, start));
}

TEST(engine_memory_test, remembers_no_more_beginnings_than_its_bound_once_they_are_old)
{
    engine_memory memory;
    for (std::uint32_t each = 0; each < engine_memory::max_prefixes; ++each) {
        memory.record_prefix(engine, each, start, start);
    }
    memory.record_prefix(engine, engine_memory::max_prefixes, start, start + 21s);
    EXPECT_FALSE(memory.is_ready(engine, 0, start + 21s)) << "the expired entry was not removed";
}

} // namespace
} // namespace cicadaport::serving
