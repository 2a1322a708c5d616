#include "cicadaport/serving/request_limits.h"

#include <gmock/gmock.h>

#include <random>
#include <tuple>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

limit_statement named(double per_second, time_point asked = start)
{
    return {"i-1", 1, per_second, asked};
}

limit_statement not_named(time_point asked)
{
    return {"i-1", 1, std::nullopt, asked};
}

TEST(request_limits_test, a_limit_lasts_until_a_later_request_is_answered_without_it)
{
    request_limits limits;
    EXPECT_EQ(limits.note(named(5.6), start + 1s), limit_change::begun);
    EXPECT_EQ(limits.note(named(5.6), start + 2s), limit_change::none);
    EXPECT_EQ(limits.note(named(4), start + 2s), limit_change::changed);
    EXPECT_EQ(limits.note(not_named(start + 1s), start + 3s), limit_change::none)
        << "it may have been answered before the limit was named";
    EXPECT_EQ(limits.note(not_named(start + 3s), start + 4s), limit_change::ended);
    EXPECT_EQ(limits.note(not_named(start + 4s), start + 5s), limit_change::none);
}

TEST(request_limits_test, a_restarted_replica_has_named_nothing)
{
    request_limits limits;
    limits.note(named(5), start);
    limits.forget_before("i-1", 1);
    EXPECT_EQ(limits.note(named(5), start), limit_change::none);
    limits.forget_before("i-1", 2);
    EXPECT_EQ(limits.note({"i-1", 2, 5.0, start}, start), limit_change::begun);
    EXPECT_EQ(limits.note(named(9), start), limit_change::none) << "said before the restart";
}

TEST(request_limits_test, counts_what_is_sent_to_replicas_with_a_limit)
{
    request_limits limits;
    limits.count_sent("i-1", false);
    limits.note(named(5), start);
    limits.count_sent("i-1", false);
    limits.count_sent("i-1", true);
    limits.count_sent("i-1", true);
    const auto uses = limits.take_uses(start + 1s);
    ASSERT_EQ(uses.size(), 1U);
    EXPECT_EQ(uses[0].runs, 1U);
    EXPECT_EQ(uses[0].prompt_readings, 2U);
    EXPECT_EQ(uses[0].age, 1s);
    EXPECT_TRUE(limits.take_uses(start + 2s).empty());
}

// A fleet of hosts that all have more requests than a replica takes, and send it
// one whenever they may.
class limited_fleet {
public:
    // Each host knows this part of the others.
    limited_fleet(std::size_t hosts, double known_part) : m_limits(hosts), m_places(hosts)
    {
        std::mt19937_64 random{hosts};
        std::bernoulli_distribution knows{known_part};
        for (std::size_t host = 0; host < hosts; ++host) {
            for (std::size_t other = 0; other < hosts; ++other) {
                if (other != host && knows(random)) {
                    ++m_places[host].hosts;
                    m_places[host].rank += other < host ? 1 : 0;
                }
            }
        }
    }

    void name(double per_second)
    {
        for (auto& each : m_limits) {
            each.note(named(per_second), m_now);
        }
    }

    // Lets the hosts send for so long. They learn the limit again from each answer if
    // `heard`.
    void play(std::chrono::seconds time, std::optional<double> heard)
    {
        constexpr auto step = 10ms;
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            for (std::size_t host = 0; host < m_limits.size(); ++host) {
                while (m_limits[host].may_send("i-1", m_places[host], m_now)) {
                    m_limits[host].count_sent("i-1", false);
                    m_sent.push_back(m_now);
                    if (heard) {
                        name(*heard);
                    }
                }
            }
        }
    }

    std::size_t sent() const { return m_sent.size(); }

    std::size_t most_sent_in(std::chrono::seconds time) const
    {
        std::size_t most = 0;
        for (auto first = m_sent.begin(); first != m_sent.end(); ++first) {
            const auto last = std::upper_bound(first, m_sent.end(), *first + time);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

private:
    std::vector<request_limits> m_limits;
    std::vector<fleet_place> m_places;
    std::vector<time_point> m_sent;
    time_point m_now = start;
};

// What the users' rule allows a replica to get in 4 s.
constexpr auto judged_time = 4s;
double allowed(double per_second)
{
    return 1.5 * per_second * 4 + 5;
}

class shared_limit_test : public ::testing::TestWithParam<std::tuple<std::size_t, double>> {};

TEST_P(shared_limit_test, hosts_together_send_no_more_than_a_replica_takes_nor_much_less)
{
    const auto [hosts, per_second] = GetParam();
    limited_fleet fleet{hosts, 1};
    fleet.name(per_second);
    constexpr auto time = 60s;
    fleet.play(time, per_second);
    EXPECT_LE(static_cast<double>(fleet.most_sent_in(judged_time)), allowed(per_second));
    EXPECT_GE(static_cast<double>(fleet.sent()), 0.7 * per_second * 60);
    EXPECT_GE(fleet.sent(), 5U) << "or nobody would notice that the need has ended";
}

TEST_P(shared_limit_test, hosts_that_know_only_three_quarters_of_the_others_keep_it_too)
{
    const auto [hosts, per_second] = GetParam();
    limited_fleet fleet{hosts, 0.75};
    fleet.name(per_second);
    fleet.play(60s, per_second);
    EXPECT_LE(static_cast<double>(fleet.most_sent_in(judged_time)), allowed(per_second));
}

TEST_P(shared_limit_test, hosts_that_hear_nothing_more_of_it_try_the_replica_one_after_the_other)
{
    const auto [hosts, per_second] = GetParam();
    limited_fleet fleet{hosts, 1};
    fleet.name(per_second);
    fleet.play(120s, std::nullopt);
    EXPECT_LE(static_cast<double>(fleet.most_sent_in(judged_time)), allowed(per_second));
}

INSTANTIATE_TEST_SUITE_P(sizes_of_fleets, shared_limit_test,
                         ::testing::Combine(::testing::Values<std::size_t>(1, 6, 59, 195, 410),
                                            ::testing::Values(0.0, 0.3, 1.1, 5.6, 40.0, 300.0)));

TEST(request_limits_test, tells_when_the_next_request_may_be_sent)
{
    request_limits limits;
    EXPECT_EQ(limits.next_sending("i-1", fleet_place{}, start), start);
    limits.note(named(1 / request_limits::used_part), start);
    EXPECT_FALSE(limits.may_send("i-1", fleet_place{}, start));
    EXPECT_EQ(limits.next_sending("i-1", fleet_place{}, start), start + 1s);
    EXPECT_TRUE(limits.may_send("i-1", fleet_place{}, start + 1s));
    EXPECT_EQ(limits.next_sending("i-1", fleet_place{9, 8}, start), std::nullopt)
        << "others share it";
}

TEST(request_limits_test, a_limit_is_told_again_while_no_other_host_has_told_of_it)
{
    request_limits limits;
    limits.note(named(5), start);
    EXPECT_TRUE(limits.take_telling("i-1", start));
    EXPECT_FALSE(limits.take_telling("i-1", start + 900ms));
    limits.note_told("i-1", start + 900ms);
    EXPECT_FALSE(limits.take_telling("i-1", start + 1'100ms));
    EXPECT_TRUE(limits.take_telling("i-1", start + 2s));
    EXPECT_FALSE(limits.take_telling("i-2", start));
}

} // namespace
} // namespace cicadaport::serving
