#include "cicadaport/serving/memory_budget.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

constexpr std::size_t large = 4 * memory_budget::min_releasable_bytes;

struct fake_holder final : memory_holder {
    std::string memory_fields() const override { return {}; }
    void release_memory() override {}
};

// A request that is not small must not be taken on if the limit would be exceeded by it.
TEST(memory_budget_test, admits_small_holders_always_and_large_ones_within_the_limit)
{
    memory_budget budget{[] {}};
    fake_holder holder;
    budget.set_max_memory(8 * large);
    ASSERT_EQ(budget.limit(), 2 * large);
    memory_budget::reservation held{budget, holder};
    EXPECT_FALSE(budget.is_scarce());
    held.resize(large + 1);
    EXPECT_TRUE(budget.is_scarce());
    EXPECT_TRUE(budget.admits(large - 1));
    EXPECT_FALSE(budget.admits(large));
    EXPECT_TRUE(budget.admits(memory_budget::min_releasable_bytes - 1));
    held.resize(3 * large);
    EXPECT_TRUE(budget.admits(memory_budget::min_releasable_bytes - 1));
}

TEST(memory_budget_test, names_the_largest_holder_that_is_not_small)
{
    memory_budget budget{[] {}};
    fake_holder holder;
    memory_budget::reservation small{budget, holder};
    memory_budget::reservation middle{budget, holder};
    memory_budget::reservation most{budget, holder};
    small.resize(memory_budget::min_releasable_bytes - 1);
    EXPECT_EQ(budget.largest(), nullptr);
    most.resize(large + 1);
    middle.resize(large);
    EXPECT_EQ(budget.largest(), &most);
    most.resize(0);
    EXPECT_EQ(budget.largest(), &middle);
    EXPECT_EQ(budget.held(), large + small.bytes());
}

TEST(memory_budget_test, tells_once_that_the_limit_is_exceeded)
{
    int told = 0;
    memory_budget budget{[&] { ++told; }};
    budget.set_max_memory(static_cast<std::uint64_t>(large / memory_budget::held_fraction));
    fake_holder holder;
    {
        memory_budget::reservation held{budget, holder};
        held.resize(large);
        EXPECT_EQ(told, 0) << "the limit may be reached";
        held.resize(large + 1);
        held.resize(large + 2);
        EXPECT_EQ(told, 1);
        budget.restart();
        held.resize(large + 3);
        EXPECT_EQ(told, 2);
    }
    EXPECT_EQ(budget.held(), 0U) << "released on destruction";
}

} // namespace
} // namespace cicadaport::serving
