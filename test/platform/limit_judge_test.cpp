#include "platform/soak/limit_judge.h"

#include <gtest/gtest.h>

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

const limit_judge::clock::time_point start{1h};

class limit_judge_test : public ::testing::Test {
protected:
    // Sends a request every 100 ms from `from` until `to`. Returns whether any broke the rule.
    bool breaks(std::size_t host, std::chrono::milliseconds from, std::chrono::milliseconds to)
    {
        bool out = false;
        for (auto at = from; at < to; at += 100ms) {
            out = judge.arrived(host, start + at).has_value() || out;
        }
        return out;
    }

    limit_judge judge{3s};
};

TEST_F(limit_judge_test, detects_a_host_that_ignores_the_limit)
{
    EXPECT_FALSE(breaks(1, 0s, 5s)) << "no limit is advertised";
    judge.name(2, start + 5s);
    EXPECT_FALSE(breaks(1, 5s, 8s)) << "the rule does not apply yet";
    EXPECT_TRUE(breaks(1, 8s, 9s));
}

TEST_F(limit_judge_test, detects_hosts_that_each_use_the_whole_limit)
{
    judge.name(2, start);
    bool broken = false;
    for (auto at = 0ms; at < 12s; at += 500ms) {
        for (std::size_t host = 1; host <= 4; ++host) {
            broken = judge.arrived(host, start + at).has_value() || broken;
        }
    }
    EXPECT_TRUE(broken);
}

TEST_F(limit_judge_test, allows_the_limit_uninformed_hosts_and_any_rate_after_the_limit_ended)
{
    judge.name(2, start);
    for (auto at = 0ms; at < 12s; at += 400ms) {
        EXPECT_FALSE(judge.arrived(1, start + at)) << "2.5 a second is within the allowed 3";
    }
    for (std::size_t process = 2; process < 40; ++process) {
        EXPECT_FALSE(judge.arrived(process, start + 12s)) << "it does not know the limit yet";
    }
    judge.name(std::nullopt, start + 16s);
    EXPECT_FALSE(breaks(1, 16s, 24s));
}

TEST_F(limit_judge_test, applies_a_lower_limit_after_the_window_of_the_higher_one)
{
    judge.name(20, start);
    EXPECT_FALSE(breaks(1, 0s, 8s));
    judge.name(1, start + 8s);
    EXPECT_FALSE(breaks(1, 8s, 11s));
    EXPECT_TRUE(breaks(1, 11s, 13s));
}

} // namespace
} // namespace cicadaport::platform::testing
