#include "cicadaport/roles/capacity.h"

#include <gtest/gtest.h>

namespace cicadaport::roles {
namespace {

TEST(capacity_test, each_kind_of_work_is_bounded_by_the_engines_that_take_it)
{
    const offered_work offered{10, 2, 1};
    EXPECT_DOUBLE_EQ(servable_fraction({0, 1, 2}, offered), 0.5);
    EXPECT_DOUBLE_EQ(servable_fraction({0, 2, 1}, offered), 1.0);
    EXPECT_DOUBLE_EQ(servable_requests({0, 1, 2}, offered), 5.0);
}

TEST(capacity_test, mixed_engines_serve_any_mix_up_to_their_number)
{
    EXPECT_DOUBLE_EQ(servable_fraction({3, 0, 0}, {10, 2, 1}), 1.0);
    EXPECT_DOUBLE_EQ(servable_fraction({3, 0, 0}, {10, 4, 2}), 0.5);
}

TEST(capacity_test, no_offered_work_is_fully_servable)
{
    EXPECT_DOUBLE_EQ(servable_fraction({}, {}), 1.0);
}

} // namespace
} // namespace cicadaport::roles
