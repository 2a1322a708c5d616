#include "cicadaport/serving/connection_slots.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using phase = connection_slots::phase;

class holder final : public slot_holder {
public:
    void end_for_room() override {}
};

// Slots for eight connections: two fresh ones are within their share.
class connection_slots_test : public ::testing::Test {
protected:
    connection_slots::slot add(holder& of, phase in = phase::fresh)
    {
        const auto added = slots.add(of);
        slots.set_phase(added, in);
        return added;
    }

    connection_slots slots{8};
    std::array<holder, 8> holders;
};

TEST_F(connection_slots_test, a_closing_connection_ends_first)
{
    add(holders[0]);
    add(holders[1], phase::kept);
    add(holders[2], phase::closing);
    EXPECT_EQ(slots.next_to_end(), &holders[2]);
}

TEST_F(connection_slots_test,
       the_fresh_connection_that_waited_longest_ends_if_they_exceed_their_share)
{
    add(holders[0], phase::kept);
    for (const auto number : {1U, 2U, 3U}) {
        add(holders[number]);
    }
    EXPECT_EQ(slots.next_to_end(), &holders[1]);
}

TEST_F(connection_slots_test, the_kept_connection_that_waited_longest_ends_if_fresh_ones_are_few)
{
    const auto first = add(holders[0], phase::kept);
    add(holders[1], phase::kept);
    add(holders[2]);
    slots.set_phase(first, phase::answering);
    slots.set_phase(first, phase::kept);
    EXPECT_EQ(slots.next_to_end(), &holders[1]) << "the first was used since";
}

TEST_F(connection_slots_test, a_fresh_connection_ends_if_none_is_kept)
{
    add(holders[0], phase::answering);
    add(holders[1]);
    EXPECT_EQ(slots.next_to_end(), &holders[1]);
}

TEST_F(connection_slots_test, a_connection_that_is_being_answered_never_ends)
{
    for (auto& each : holders) {
        add(each, phase::answering);
    }
    EXPECT_TRUE(slots.is_full());
    EXPECT_EQ(slots.next_to_end(), nullptr);
}

TEST_F(connection_slots_test, a_removed_connection_leaves_room)
{
    for (auto& each : holders) {
        add(each);
    }
    const auto last = slots.next_to_end();
    EXPECT_TRUE(slots.is_full());
    connection_slots one{1};
    const auto only = one.add(*last);
    one.remove(only);
    EXPECT_FALSE(one.is_full());
    EXPECT_EQ(one.next_to_end(), nullptr);
}

TEST(connection_shares_test, each_accepted_connection_leaves_one_descriptor_for_a_replica)
{
    for (const std::uint64_t max : {50U, 200U, 1'024U, 4'100U, 1'000'000U}) {
        const auto shares = connection_shares::of(max);
        EXPECT_GT(shares.callers, shares.hosts) << max;
        EXPECT_GT(shares.hosts, 0U) << max;
        EXPECT_LT(2 * (shares.callers + shares.hosts), max - std::min<std::uint64_t>(200, max / 4))
            << max;
    }
}

TEST(connection_shares_test, an_unlimited_process_has_shares)
{
    const auto shares = connection_shares::of(std::numeric_limits<std::uint64_t>::max());
    EXPECT_GT(shares.callers, shares.hosts);
}

} // namespace
} // namespace cicadaport::serving
