#include "cicadaport/duties/fleet_clock.h"

#include <gmock/gmock.h>

namespace cicadaport::duties {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{std::chrono::hours{5}};
constexpr time_of_day true_start{std::chrono::hours{400'000}};

// Lets a fleet of `hosts` others, of which the first `wrong` are wrong by `error`, be heard.
void hear(fleet_clock& clock, int hosts, int wrong, milliseconds error, milliseconds after = 0ms)
{
    for (int host = 1; host <= hosts; ++host) {
        clock.record(static_cast<std::uint64_t>(host),
                     true_start + after + (host <= wrong ? error : 0ms), start + after);
    }
}

TEST(fleet_clock_test, a_lone_host_uses_its_own_clock)
{
    fleet_clock clock;
    EXPECT_FALSE(clock.at(start));
    clock.update(true_start, start);
    EXPECT_EQ(clock.at(start + 3s), true_start + 3s);
}

// Guards against windows that are shifted by clocks that are wrong by up to max-skew-ms.
TEST(fleet_clock_test, clocks_of_a_minority_have_no_effect)
{
    for (const auto error : {-6'000ms, 6'000ms}) {
        fleet_clock clock;
        hear(clock, 10, 4, error);
        clock.update(true_start + error, start);
        EXPECT_EQ(clock.at(start), true_start);
        EXPECT_EQ(clock.own_error(), error);
    }
}

TEST(fleet_clock_test, a_clock_that_jumps_and_comes_back_has_no_effect)
{
    fleet_clock clock;
    for (auto after = 0ms; after < 20s; after += 1s) {
        const bool has_jumped = after >= 5s && after < 10s;
        hear(clock, 6, 2, has_jumped ? 5s : 0s, after);
        clock.update(true_start + after + (has_jumped ? 5s : 0s), start + after);
        EXPECT_EQ(clock.at(start + after), true_start + after);
    }
}

// Guards against a time that is too early after a freeze, when old greetings are read at once.
TEST(fleet_clock_test, greetings_that_were_read_late_have_no_effect)
{
    fleet_clock clock;
    for (auto after = 0ms; after < 3s; after += 1s) {
        hear(clock, 6, 0, 0ms, after);
    }
    for (int host = 1; host <= 6; ++host) {
        clock.record(static_cast<std::uint64_t>(host), true_start + 3s, start + 5s);
    }
    clock.update(true_start + 5s, start + 5s);
    EXPECT_EQ(clock.at(start + 5s), true_start + 5s);
}

TEST(fleet_clock_test, hosts_that_are_no_longer_heard_do_not_count)
{
    fleet_clock clock;
    hear(clock, 10, 10, 4s);
    clock.update(true_start, start);
    EXPECT_EQ(clock.at(start), true_start + 4s);
    clock.update(true_start + 7s, start + 7s);
    EXPECT_EQ(clock.at(start + 7s), true_start + 7s);
}

} // namespace
} // namespace cicadaport::duties
