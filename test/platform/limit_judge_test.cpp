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

TEST_F(limit_judge_test, finds_a_host_that_goes_on_as_before)
{
    EXPECT_FALSE(breaks(1, 0s, 5s)) << "no limit is advertised";
    judge.name(2, start + 5s);
    EXPECT_FALSE(breaks(1, 5s, 8s)) << "the rule does not apply yet";
    EXPECT_TRUE(breaks(1, 8s, 9s));
}

TEST_F(limit_judge_test, finds_hosts_that_each_keep_the_limit_alone)
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

TEST_F(limit_judge_test, allows_the_limit_hosts_that_were_not_told_and_a_limit_that_has_ended)
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

TEST_F(limit_judge_test, judges_a_lower_limit_once_the_higher_is_past)
{
    judge.name(20, start);
    EXPECT_FALSE(breaks(1, 0s, 8s));
    judge.name(1, start + 8s);
    EXPECT_FALSE(breaks(1, 8s, 11s));
    EXPECT_TRUE(breaks(1, 11s, 13s));
}

} // namespace
} // namespace cicadaport::platform::testing
