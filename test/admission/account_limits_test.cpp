#include "cicadaport/admission/account_limits.h"

#include <gtest/gtest.h>

namespace cicadaport::admission {
namespace {

using namespace std::chrono_literals;

const clock::time_point start{std::chrono::hours{1}};

configuration::caller make_caller()
{
    configuration::caller out;
    out.account = "counter-desk";
    return out;
}

// Returns the number of admitted requests if one arrives every `gap` for `time`.
int admitted_in(account_limits& limits, const configuration::caller& caller, double share,
                std::chrono::milliseconds gap, std::chrono::milliseconds time)
{
    int out = 0;
    for (auto at = 0ms; at < time; at += gap) {
        out += limits.try_acquire(caller, 10, share, start + at) ? 0 : 1;
    }
    return out;
}

TEST(account_limits_test, an_account_without_limits_is_never_rejected)
{
    account_limits limits;
    EXPECT_EQ(admitted_in(limits, make_caller(), 0.2, 1ms, 1s), 1'000);
}

TEST(account_limits_test, all_processes_together_keep_the_request_rate)
{
    auto caller = make_caller();
    caller.requests_per_second = 60;
    int admitted = 0;
    for (int process = 0; process < 6; ++process) {
        account_limits limits;
        admitted += admitted_in(limits, caller, process_share(6), 2ms, 10s);
    }
    EXPECT_LE(admitted, 60 * 11) << "the rate for ten seconds plus one burst";
    EXPECT_GE(admitted, 60 * 10);
}

TEST(account_limits_test, partitioned_groups_use_at_most_the_limit_each)
{
    auto caller = make_caller();
    caller.requests_per_second = 60;
    account_limits alone;
    EXPECT_LE(admitted_in(alone, caller, process_share(1), 2ms, 10s), 60 * 11);
}

TEST(account_limits_test, a_request_larger_than_the_burst_passes_and_the_next_waits_for_it)
{
    auto caller = make_caller();
    caller.tokens_per_second = 100;
    account_limits limits;
    EXPECT_FALSE(limits.try_acquire(caller, 500, 1, start));
    const auto rejected = limits.try_acquire(caller, 50, 1, start + 1s);
    ASSERT_TRUE(rejected);
    EXPECT_EQ(rejected->reason, rejection_reason::token_rate);
    EXPECT_GE(rejected->retry_after, 3s);
    EXPECT_FALSE(limits.try_acquire(caller, 50, 1, start + 1s + rejected->retry_after));
}

TEST(account_limits_test, concurrent_requests_end_one_by_one)
{
    auto caller = make_caller();
    caller.concurrent_requests = 4;
    account_limits limits;
    EXPECT_FALSE(limits.try_acquire(caller, 1, 0.5, start));
    EXPECT_FALSE(limits.try_acquire(caller, 1, 0.5, start));
    EXPECT_EQ(limits.try_acquire(caller, 1, 0.5, start)->reason, rejection_reason::concurrency);
    limits.release(caller.account);
    EXPECT_FALSE(limits.try_acquire(caller, 1, 0.5, start));
}

} // namespace
} // namespace cicadaport::admission
