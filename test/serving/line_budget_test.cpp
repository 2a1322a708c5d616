#include "cicadaport/serving/line_budget.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

TEST(line_budget_test, limits_lines_per_second_and_counts_suppressed_lines)
{
    line_budget budget;
    const base::boot_clock::time_point start{1h};
    unsigned written = 0;
    for (unsigned line = 0; line < 3 * line_budget::max_lines_per_second; ++line) {
        written += budget.try_acquire(start + 10ms * line) ? 1 : 0;
    }
    EXPECT_EQ(written, line_budget::max_lines_per_second);
    EXPECT_EQ(budget.take_suppressed_count(), 2 * line_budget::max_lines_per_second);
    EXPECT_EQ(budget.take_suppressed_count(), 0U);
    EXPECT_TRUE(budget.try_acquire(start + 1s));
}

} // namespace
} // namespace cicadaport::serving
