#include "cicadaport/entry/offered_work.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

#include <thread>

namespace cicadaport::entry {
namespace {

using namespace std::chrono_literals;

const offered_rates::clock::time_point start{1h};

TEST(offered_counter_test, sums_the_requests_of_all_threads)
{
    constexpr int threads = 8;
    constexpr int requests = 1'000;
    offered_counter counter;
    {
        std::vector<std::jthread> all;
        all.reserve(threads);
        for (int i = 0; i < threads; ++i) {
            all.emplace_back([&] {
                for (int n = 0; n < requests; ++n) {
                    counter.note("m", 10, 2);
                }
            });
        }
    }
    const auto sums = counter.sums();
    EXPECT_EQ(sums.at("m").requests, threads * requests);
    EXPECT_EQ(sums.at("m").prefill, 10.0 * threads * requests);
    EXPECT_EQ(sums.at("m").output, 2.0 * threads * requests);
}

TEST(offered_rates_test, converges_to_a_steady_rate_and_back_to_zero)
{
    offered_counter counter;
    offered_rates rates;
    auto now = start;
    for (int i = 0; i < 100; ++i, now += 200ms) {
        counter.note("m", 100, 20);
        rates.update(counter.sums(), now);
    }
    const auto steady = rates.update(counter.sums(), now).at(0);
    EXPECT_EQ(steady.model, "m");
    EXPECT_NEAR(steady.rates.requests, 5, 0.5);
    EXPECT_NEAR(steady.rates.prefill, 500, 50);
    EXPECT_NEAR(steady.rates.output, 100, 10);
    EXPECT_NEAR(rates.update(counter.sums(), now + 1min).at(0).rates.requests, 0, 0.01);
}

TEST(offered_rates_test, frequent_updates_lose_no_requests)
{
    offered_counter counter;
    offered_rates rates;
    rates.update(counter.sums(), start);
    counter.note("m", 100, 20);
    rates.update(counter.sums(), start + 10ms);
    EXPECT_GT(rates.update(counter.sums(), start + 200ms).at(0).rates.requests, 0);
}

} // namespace
} // namespace cicadaport::entry
