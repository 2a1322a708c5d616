#include "cicadaport/duties/acting_turn.h"

#include <gtest/gtest.h>

namespace cicadaport::duties {
namespace {

using namespace std::chrono_literals;

const base::boot_clock::time_point start{std::chrono::hours{1}};

TEST(acting_turn_test, the_first_host_acts_at_once)
{
    acting_turn turn;
    EXPECT_TRUE(turn.may_act(0, true, 1, start));
}

TEST(acting_turn_test, the_next_host_acts_if_orders_stay_due_without_effect)
{
    acting_turn turn;
    EXPECT_FALSE(turn.may_act(1, true, 1, start));
    EXPECT_FALSE(turn.may_act(1, true, 1, start + 11s));
    EXPECT_TRUE(turn.may_act(1, true, 1, start + 13s));
    EXPECT_TRUE(turn.may_act(1, false, 2, start + 20s)) << "a host that took over goes on";
    EXPECT_FALSE(turn.may_act(1, false, 2, start + 24s));
}

TEST(acting_turn_test, the_next_host_does_not_act_while_orders_take_effect)
{
    acting_turn turn;
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(turn.may_act(1, true, static_cast<std::uint64_t>(i), start + i * 5s));
    }
}

TEST(acting_turn_test, hosts_far_behind_never_act)
{
    acting_turn turn;
    for (int i = 0; i < 100; ++i) {
        EXPECT_FALSE(turn.may_act(3, true, 1, start + i * 1s));
    }
}

} // namespace
} // namespace cicadaport::duties
