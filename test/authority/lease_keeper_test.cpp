#include "cicadaport/authority/lease_keeper.h"

#include <gtest/gtest.h>

namespace cicadaport::authority {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 7;
const base::boot_clock::time_point start{std::chrono::hours{1}};

observed_lease lease_of(std::string holder, std::uint64_t renewed_offset)
{
    return {std::move(holder), 5, renewed_offset, 3'000ms, false};
}

TEST(lease_keeper_test, a_renewal_counts_from_before_it_was_sent)
{
    lease_keeper keeper{"a", {}, seed};
    keeper.record_accepted(5, start);
    EXPECT_TRUE(keeper.is_held(start + 2'999ms));
    EXPECT_FALSE(keeper.is_held(start + 3'000ms)) << "the end is exclusive";
}

TEST(lease_keeper_test, a_renewal_that_was_only_proposed_gives_no_authority)
{
    lease_keeper keeper{"a", {}, seed};
    keeper.record_proposed(start);
    EXPECT_FALSE(keeper.is_held(start + 1ms));
}

TEST(lease_keeper_test, a_holder_renews_after_a_third_of_its_lease)
{
    lease_keeper keeper{"a", {}, seed};
    keeper.record_accepted(5, start);
    EXPECT_EQ(keeper.next_action(lease_of("a", 5), start + 999ms), lease_action::none);
    EXPECT_EQ(keeper.next_action(lease_of("a", 5), start + 1'000ms), lease_action::renew);
}

TEST(lease_keeper_test, a_claimant_waits_out_the_lease_and_the_bound_on_clock_rates)
{
    lease_keeper keeper{"b", {}, seed};
    EXPECT_EQ(keeper.next_action(lease_of("a", 5), start), lease_action::none);
    EXPECT_EQ(keeper.next_action(lease_of("a", 5), start + 3'002ms), lease_action::none);
    EXPECT_EQ(keeper.next_action(lease_of("a", 5), start + 3'003ms + 1'500ms), lease_action::claim);
}

TEST(lease_keeper_test, a_renewal_seen_late_starts_the_wait_again)
{
    lease_keeper keeper{"b", {}, seed};
    keeper.next_action(lease_of("a", 5), start);
    keeper.next_action(lease_of("a", 9), start + 2'900ms);
    EXPECT_EQ(keeper.next_action(lease_of("a", 9), start + 5'902ms), lease_action::none);
}

TEST(lease_keeper_test, a_released_lease_is_claimed_within_the_spread)
{
    lease_keeper keeper{"b", {}, seed};
    auto released = lease_of("a", 5);
    released.released = true;
    keeper.next_action(released, start);
    EXPECT_EQ(keeper.next_action(released, start + 1'500ms), lease_action::claim);
}

TEST(lease_keeper_test, a_replacement_does_not_take_its_predecessors_lease_for_its_own)
{
    lease_keeper replacement{"control-1#new", {}, seed};
    EXPECT_EQ(replacement.next_action(lease_of("control-1#old", 5), start), lease_action::none);
}

TEST(lease_keeper_test, no_claim_succeeds_while_the_holder_trusts_its_lease)
{
    // The worst case: the claimant's clock is faster by the whole bound, and the
    // claimant observes the renewal at the time it was sent.
    const lease_timing timing;
    for (std::uint64_t each = 0; each < 100; ++each) {
        lease_keeper holder{"a", timing, each};
        lease_keeper claimant{"b", timing, each};
        holder.record_accepted(5, start);
        for (auto elapsed = 0ms; holder.is_held(start + elapsed); elapsed += 1ms) {
            const auto fast = elapsed * (1 + timing.clock_rate_bound);
            const auto seen = start + std::chrono::duration_cast<base::boot_clock::duration>(fast);
            EXPECT_EQ(claimant.next_action(lease_of("a", 5), seen), lease_action::none);
        }
    }
}

} // namespace
} // namespace cicadaport::authority
