#include "cicadaport/load/schedule.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cicadaport::load {
namespace {

const profile callers = find_profile("nguyen_phat");

std::size_t count_class(std::span<const arrival> arrivals, std::uint32_t wanted)
{
    return static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](const arrival& each) { return each.request_class == wanted; }));
}

TEST(schedule_test, the_same_seed_gives_the_same_arrivals)
{
    const schedule_options options{7, 50, seconds{10}, swing::fast};
    const auto first = make_schedule(callers, options);
    const auto second = make_schedule(callers, options);
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(make_body(callers, first[i]), make_body(callers, second[i]));
        EXPECT_EQ(first[i].at, second[i].at);
    }
}

TEST(schedule_test, arrivals_come_at_the_rate_and_the_mix_swings)
{
    const auto arrivals = make_schedule(callers, {3, 200, seconds{20}, swing::once});
    EXPECT_NEAR(static_cast<double>(arrivals.size()), 4'000, 400);
    const auto middle = std::find_if(arrivals.begin(), arrivals.end(),
                                     [](const arrival& each) { return each.at >= seconds{10}; });
    const std::span before{arrivals.begin(), middle};
    const std::span after{middle, arrivals.end()};
    EXPECT_GT(count_class(after, 2), 3 * count_class(before, 2)) << "reviews follow the swing";
}

TEST(schedule_test, unknown_names_are_refused)
{
    EXPECT_THROW(find_profile("nobody"), std::invalid_argument);
    EXPECT_THROW(parse_swing("sideways"), std::invalid_argument);
}

} // namespace
} // namespace cicadaport::load
