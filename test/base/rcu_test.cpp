#include "cicadaport/base/rcu.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace cicadaport::base {
namespace {

// Two halves that a reader must always see equal.
struct pair_of_counts {
    int first = 0;
    int second = 0;
};

TEST(rcu_test, readers_never_see_a_value_that_is_half_replaced_or_destroyed)
{
    constexpr int replacements = 2'000;
    constexpr int readers = 3;
    published<pair_of_counts> value{std::make_unique<pair_of_counts>()};
    std::atomic<bool> done{false};
    std::atomic<int> torn{0};
    std::vector<std::jthread> threads;
    for (int i = 0; i < readers; ++i) {
        threads.emplace_back([&] {
            while (!done.load()) {
                const rcu_reader guard;
                const auto& seen = value.read(guard);
                torn += seen.first == seen.second ? 0 : 1;
            }
        });
    }
    for (int i = 1; i <= replacements; ++i) {
        value.replace(std::make_unique<pair_of_counts>(pair_of_counts{i, i}));
    }
    done.store(true);
    threads.clear();
    EXPECT_EQ(torn.load(), 0);
}

} // namespace
} // namespace cicadaport::base
