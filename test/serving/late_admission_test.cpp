#include "cicadaport/serving/late_admission.h"

#include <gtest/gtest.h>

#include <random>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const std::string route = "r";
constexpr fractional_milliseconds patience{2'400};

prompt_prediction prompt(fractional_milliseconds wait, fractional_milliseconds prefill_time)
{
    return {wait, prefill_time, wait + prefill_time, patience};
}

TEST(late_admission_test, a_prompt_that_no_engine_can_serve_in_time_is_rejected)
{
    const late_admission admission;
    EXPECT_FALSE(admission.admits(route, prompt(0ms, patience)));
    EXPECT_FALSE(late_admission::can_be_served(prompt(0ms, patience)));
    EXPECT_TRUE(admission.admits(route, prompt(0ms, patience / 2)));
}

// Streams that could not complete before the time limit of their route were begun and then cut.
TEST(late_admission_test, a_prompt_whose_response_completes_too_late_is_rejected)
{
    auto late = prompt(100ms, 100ms);
    late.stream_time = 9s;
    late.time_left = 9'100ms;
    EXPECT_FALSE(late_admission::can_be_served(late));
    late.time_left = 9'300ms;
    EXPECT_TRUE(late_admission::can_be_served(late));
    late.time_left = 0ms;
    EXPECT_TRUE(late_admission::can_be_served(late)) << "the time is not limited";
}

TEST(late_admission_test, the_bound_on_the_wait_leaves_time_for_the_largest_prompts_of_the_route)
{
    late_admission admission;
    for (int each = 0; each < 60; ++each) {
        admission.record_prefill_time(route, each % 10 == 0 ? 1'000ms : 100ms);
    }
    EXPECT_TRUE(admission.admits(route, prompt(1'000ms, 100ms)));
    EXPECT_FALSE(admission.admits(route, prompt(1'500ms, 100ms)))
        << "leaves no time for the largest prompts";
    EXPECT_TRUE(admission.admits("another", prompt(1'500ms, 100ms)));
}

TEST(late_admission_test, an_idle_engine_accepts_any_prompt_that_it_can_serve)
{
    late_admission admission;
    for (int each = 0; each < 60; ++each) {
        admission.record_prefill_time(route, 5'000ms);
    }
    EXPECT_TRUE(admission.admits(route, prompt(0ms, 100ms)));
}

// Simulates one engine under a load of twice its prefill capacity. Returns the admission rate of
// the largest tenth of the prompts divided by that of all prompts.
double large_prompt_admission_ratio(bool with_bound)
{
    late_admission admission;
    std::mt19937_64 random{5};
    std::exponential_distribution<double> gap{1.0 / 75};
    std::bernoulli_distribution is_large{0.1};
    double now = 0;
    double busy_until = 0;
    double prompt_count = 0;
    double admitted_count = 0;
    double large_prompt_count = 0;
    double large_admitted_count = 0;
    for (int each = 0; each < 20'000; ++each) {
        now += gap(random);
        const bool large = is_large(random);
        const fractional_milliseconds prefill_time{large ? 900 : 67};
        const auto waiting =
            prompt(fractional_milliseconds{std::max(busy_until - now, 0.0)}, prefill_time);
        admission.record_prefill_time(route, prefill_time);
        const bool admitted =
            with_bound ? admission.admits(route, waiting) : late_admission::can_be_served(waiting);
        busy_until = admitted ? std::max(busy_until, now) + prefill_time.count() : busy_until;
        prompt_count += 1;
        admitted_count += admitted ? 1 : 0;
        large_prompt_count += large ? 1 : 0;
        large_admitted_count += large && admitted ? 1 : 0;
    }
    return large_admitted_count / large_prompt_count / (admitted_count / prompt_count);
}

TEST(late_admission_test,
     large_prompts_are_admitted_at_least_two_thirds_as_often_as_all_under_double_load)
{
    constexpr double min_ratio = 2.0 / 3;
    EXPECT_GT(large_prompt_admission_ratio(true), min_ratio);
    EXPECT_LT(large_prompt_admission_ratio(false), min_ratio)
        << "the load does not show the effect of the bound";
}

} // namespace
} // namespace cicadaport::serving
