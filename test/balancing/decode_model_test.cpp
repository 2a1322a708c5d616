#include "cicadaport/balancing/decode_model.h"

#include <gtest/gtest.h>

#include <random>

namespace cicadaport::balancing {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

// Engines of deployment A: one event carries 11 tokens.
constexpr double idle_ms = 11 * 3.41;
constexpr double per_stream_ms = 11 * 0.097;

fractional_milliseconds true_interval(double streams, double speed)
{
    return fractional_milliseconds{(idle_ms + per_stream_ms * streams) / speed};
}

class decode_model_test : public ::testing::Test {
protected:
    // Records 10 streams per second for each engine; fast ones run more streams.
    void observe(std::chrono::seconds time)
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            for (std::uint32_t engine = 0; engine < 12; ++engine) {
                const bool fast = engine < 4;
                const double streams = std::uniform_real_distribution<>{fast ? 40.0 : 15.0,
                                                                        fast ? 90.0 : 45.0}(random);
                const double noise = std::uniform_real_distribution<>{0.9, 1.1}(random);
                model.record(engine, streams, noise * true_interval(streams, fast ? 1.7 : 0.7),
                             now);
            }
        }
    }

    decode_model model;
    std::mt19937_64 random{1};
    time_point now = start;
};

TEST_F(decode_model_test, predicts_nothing_without_observations)
{
    EXPECT_FALSE(model.interval(1, 10, now));
    EXPECT_FALSE(model.streams_at(1, 100ms, now));
    EXPECT_FALSE(model.speed(1));
    EXPECT_FALSE(model.is_fast(1));
}

TEST_F(decode_model_test, learns_the_pace_of_fast_and_slow_engines_at_any_number_of_streams)
{
    observe(20s);
    for (const double streams : {1.0, 30.0, 80.0}) {
        for (const auto& [engine, speed] : {std::pair{0U, 1.7}, std::pair{11U, 0.7}}) {
            const auto expected = true_interval(streams, speed).count();
            EXPECT_NEAR(model.interval(engine, streams, now)->count(), expected, 0.2 * expected)
                << engine << " with " << streams;
        }
    }
    EXPECT_GT(*model.speed(0), 2 * *model.speed(11));
}

TEST_F(decode_model_test, a_hiccup_does_not_make_an_engine_slow)
{
    observe(20s);
    const auto before = model.interval(0, 50, now)->count();
    for (const auto end = now + 600ms; now < end; now += 50ms) {
        model.record(0, 50, 2.5 * true_interval(50, 1.7), now);
    }
    EXPECT_LT(model.interval(0, 50, now)->count(), 1.15 * before);
}

TEST_F(decode_model_test, an_engine_that_stays_slow_is_known_as_slow_within_seconds)
{
    observe(20s);
    for (const auto end = now + 10s; now < end; now += 100ms) {
        model.record(0, 50, true_interval(50, 0.7), now);
    }
    const auto expected = true_interval(50, 0.7).count();
    EXPECT_NEAR(model.interval(0, 50, now)->count(), expected, 0.25 * expected);
}

TEST_F(decode_model_test, returns_to_the_common_pace_when_an_engine_is_no_longer_observed)
{
    observe(20s);
    const auto known = model.interval(11, 10, now)->count();
    const auto common = model.interval(99, 10, now)->count();
    const auto later = model.interval(11, 10, now + 120s)->count();
    EXPECT_LT(common, later);
    EXPECT_LT(later, known);
}

TEST_F(decode_model_test, gives_the_streams_that_an_engine_carries_at_a_pace)
{
    observe(20s);
    const auto streams = *model.streams_at(0, 100ms, now);
    EXPECT_NEAR(model.interval(0, streams, now)->count(), 100, 1e-6);
    EXPECT_GT(streams, *model.streams_at(11, 100ms, now));
    EXPECT_EQ(*model.streams_at(11, 1ms, now), 0) << "an engine can't be faster than when idle";
}

TEST_F(decode_model_test, tells_fast_engines_from_slow_ones_long_after_they_were_observed)
{
    observe(20s);
    for (std::uint32_t engine = 0; engine < 12; ++engine) {
        EXPECT_EQ(model.is_fast(engine), engine < 4) << engine;
    }
    model.forget(0);
    EXPECT_FALSE(model.is_fast(0));
    EXPECT_TRUE(model.is_fast(1));
}

// Otherwise a fleet of equal engines would be divided by noise.
TEST_F(decode_model_test, no_engine_of_equal_ones_counts_as_fast)
{
    for (int count = 0; count < 2'000; ++count) {
        const double streams = std::uniform_real_distribution<>{5, 60}(random);
        const double noise = std::uniform_real_distribution<>{0.7, 1.3}(random);
        model.record(count % 12, streams, noise * true_interval(streams, 1), now);
        now += 10ms;
        for (std::uint32_t engine = 0; engine < 12 && count > 200; ++engine) {
            ASSERT_FALSE(model.is_fast(engine)) << engine << " after " << count;
        }
    }
}

// Otherwise all streams would go to the engine with the least noise until its slots are full.
TEST_F(decode_model_test, streams_count_even_if_they_do_not_lengthen_the_steps)
{
    for (int count = 0; count < 2'000; ++count) {
        const double streams = std::uniform_real_distribution<>{1, 32}(random);
        model.record(count % 12, streams, fractional_milliseconds{46.5}, now);
        now += 10ms;
    }
    EXPECT_GT(*model.interval(1, 30, now), 1.05 * *model.interval(1, 1, now));
    EXPECT_NEAR(model.interval(1, 30, now)->count(), 46.5, 4.65);
}

TEST_F(decode_model_test, ignores_values_that_are_not_times)
{
    model.record(1, 1, fractional_milliseconds{-1}, now);
    model.record(1, 1, fractional_milliseconds{std::numeric_limits<double>::infinity()}, now);
    EXPECT_FALSE(model.interval(1, 1, now));
}

} // namespace
} // namespace cicadaport::balancing
