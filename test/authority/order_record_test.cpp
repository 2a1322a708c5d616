#include "authority/order_record.h"

#include <gtest/gtest.h>

namespace cicadaport::authority::testing {
namespace {

nlohmann::json received(const std::string& id, bool accepted = true, bool conflicting = false)
{
    return {{"order_id", id}, {"accepted", accepted}, {"conflicting", conflicting}};
}

std::size_t conflicts(const nlohmann::json& orders)
{
    return conflicting_orders(nlohmann::json{{"orders", orders}}).size();
}

TEST(order_record_test, the_same_order_twice_is_no_conflict)
{
    EXPECT_EQ(conflicts({received("a"), received("a"), received("b")}), 0U);
}

TEST(order_record_test, an_order_repeated_after_another_is_a_conflict)
{
    EXPECT_EQ(conflicts({received("a"), received("b"), received("a")}), 1U);
}

TEST(order_record_test, a_refused_repeat_is_no_conflict)
{
    EXPECT_EQ(conflicts({received("a"), received("b"), received("a", false)}), 0U);
}

TEST(order_record_test, an_order_during_another_is_a_conflict_even_if_refused)
{
    EXPECT_EQ(conflicts({received("a"), received("b", false, true)}), 1U);
}

} // namespace
} // namespace cicadaport::authority::testing
