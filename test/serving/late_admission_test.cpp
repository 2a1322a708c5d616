#include "cicadaport/serving/late_admission.h"

#include <gtest/gtest.h>

#include <random>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const std::string route = "r";
constexpr fractional_milliseconds patience{2'400};

late_prompt prompt(fractional_milliseconds wait, fractional_milliseconds reading)
{
    return {wait, reading, wait + reading, patience};
}

TEST(late_admission_test, a_prompt_that_no_engine_can_read_in_time_is_refused)
{
    const late_admission admission;
    EXPECT_FALSE(admission.admits(route, prompt(0ms, patience)));
    EXPECT_FALSE(late_admission::can_be_served(prompt(0ms, patience)));
    EXPECT_TRUE(admission.admits(route, prompt(0ms, patience / 2)));
}

TEST(late_admission_test, the_wait_leaves_time_for_the_largest_of_the_route)
{
    late_admission admission;
    for (int each = 0; each < 60; ++each) {
        admission.note(route, each % 10 == 0 ? 1'000ms : 100ms);
    }
    EXPECT_TRUE(admission.admits(route, prompt(1'000ms, 100ms)));
    EXPECT_FALSE(admission.admits(route, prompt(1'500ms, 100ms))) << "the largest would not fit";
    EXPECT_TRUE(admission.admits("another", prompt(1'500ms, 100ms)));
}

TEST(late_admission_test, an_engine_without_work_takes_any_prompt_that_it_can_read)
{
    late_admission admission;
    for (int each = 0; each < 60; ++each) {
        admission.note(route, 5'000ms);
    }
    EXPECT_TRUE(admission.admits(route, prompt(0ms, 100ms)));
}

// Plays one engine that is asked for twice what it can read and returns how often
// the largest tenth was read against how often all were.
double part_of_largest(bool with_bound)
{
    late_admission admission;
    std::mt19937_64 random{5};
    std::exponential_distribution<double> gap{1.0 / 75};
    std::bernoulli_distribution is_large{0.1};
    double now = 0;
    double busy_until = 0;
    double asked = 0;
    double read = 0;
    double large_asked = 0;
    double large_read = 0;
    for (int each = 0; each < 20'000; ++each) {
        now += gap(random);
        const bool large = is_large(random);
        const fractional_milliseconds reading{large ? 900 : 67};
        const auto waiting =
            prompt(fractional_milliseconds{std::max(busy_until - now, 0.0)}, reading);
        admission.note(route, reading);
        const bool admitted =
            with_bound ? admission.admits(route, waiting) : late_admission::can_be_served(waiting);
        busy_until = admitted ? std::max(busy_until, now) + reading.count() : busy_until;
        asked += 1;
        read += admitted ? 1 : 0;
        large_asked += large ? 1 : 0;
        large_read += large && admitted ? 1 : 0;
    }
    return large_read / large_asked / (read / asked);
}

TEST(late_admission_test, large_prompts_are_read_as_often_as_others_at_twice_what_engines_can_do)
{
    constexpr double demanded = 2.0 / 3;
    EXPECT_GT(part_of_largest(true), demanded);
    EXPECT_LT(part_of_largest(false), demanded) << "the load would show no difference";
}

} // namespace
} // namespace cicadaport::serving
