#include "platform/soak/order_judge.h"

#include <gmock/gmock.h>

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::StartsWith;

constexpr order_judge::time_point start{1h};

TEST(order_judge_test, holders_may_follow_each_other_with_higher_tokens_after_the_lease)
{
    order_judge judge;
    EXPECT_THAT(judge.arrived("e-1", "a", 4, start), IsEmpty());
    EXPECT_THAT(judge.arrived("e-1", "a", 4, start + 1s), IsEmpty()) << "sent again";
    EXPECT_THAT(judge.arrived("e-1", "b", 7, start + 4'001ms), IsEmpty());
    EXPECT_THAT(judge.arrived("e-2", "a", 5, start + 4'002ms), IsEmpty()) << "another engine";
    EXPECT_EQ(judge.count(), 4U);
}

TEST(order_judge_test, a_lower_token_is_a_violation_even_of_the_same_holder)
{
    order_judge judge;
    judge.arrived("e-1", "a", 4, start);
    EXPECT_THAT(judge.arrived("e-1", "a", 3, start + 1min),
                ElementsAre(StartsWith("a lower token after 4: engine e-1 holder a token 3")));
}

TEST(order_judge_test, one_token_of_two_holders_is_a_violation_at_any_time)
{
    order_judge judge;
    judge.arrived("e-1", "a", 4, start);
    EXPECT_THAT(judge.arrived("e-1", "b", 4, start + 1min),
                ElementsAre(StartsWith("a token of a")));
}

TEST(order_judge_test, two_holders_within_the_lease_are_a_violation)
{
    order_judge judge;
    judge.arrived("e-1", "a", 4, start);
    EXPECT_THAT(judge.arrived("e-1", "b", 5, start + 3s),
                ElementsAre(StartsWith("3000 ms after an order of a")));
}

} // namespace
} // namespace cicadaport::platform::testing
