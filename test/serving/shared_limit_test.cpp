// Simulates fleets of hosts that share the rate limit of one replica while gossip is lost and hosts
// join, leave, restart and freeze.
#include "cicadaport/serving/host_directory.h"
#include "cicadaport/serving/request_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <tuple>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};
constexpr auto step = 25ms;
constexpr auto heartbeat_interval = 1s;
const std::string replica = "i-1";

// The required bound: from 3 s after a limit was first named, any 4 s contain at most 1.5 times the
// requests that the limit allows, plus 5. Only requests of hosts that received the limit at least
// half a second before count.
constexpr auto check_start = 3s;
constexpr auto check_window = 4s;
constexpr auto min_knowledge_time = 500ms;

double allowed(double per_second)
{
    return 1.5 * per_second * 4 + 5;
}

struct simulated_host {
    simulated_host(std::uint32_t ip, host_number with_number, time_point now)
        : at{ip, 7'380}, number{with_number}, directory{at, with_number, 1, now}
    {
    }

    peer_address at;
    host_number number;
    host_directory directory;
    request_limits limits;
    fleet_place place;
    // When the host first received the limit in a response of its own.
    std::optional<time_point> limit_received_at;
    time_point frozen_until{};
    double demand = 1;
};

class limited_fleet {
public:
    limited_fleet(std::size_t hosts, double delivery_probability)
        : m_random{hosts}, m_delivery_probability{delivery_probability}
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            add();
        }
    }

    void advertise_limit(std::optional<double> per_second)
    {
        m_per_second = per_second;
        m_first_advertised = m_first_advertised.value_or(m_now);
    }

    // Restarts all hosts at once. Later gossip arrives with the given probability, so a low one
    // makes them discover each other slowly.
    void restart_all(double delivery_probability)
    {
        m_delivery_probability = delivery_probability;
        for (auto& each : m_hosts) {
            restart(each);
        }
    }

    // During a partition, gossip between hosts with even and with odd addresses is lost.
    void set_partitioned(bool is_partitioned) { m_is_partitioned = is_partitioned; }

    // Gives each host a random probability of having requests for the replica in a step.
    void make_demand_uneven()
    {
        std::uniform_real_distribution<double> probability{0.05, 1};
        for (auto& each : m_hosts) {
            each.demand = probability(m_random);
        }
    }

    // With `inject_faults`, each second one host restarts, freezes, leaves or joins.
    void run(std::chrono::seconds time, bool inject_faults = false)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            if ((m_now - start) % heartbeat_interval == 0ms) {
                exchange_heartbeats();
                if (inject_faults) {
                    inject_fault();
                }
            }
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                send_from(m_hosts[host]);
            }
        }
    }

    std::size_t sent_since(time_point then) const
    {
        return static_cast<std::size_t>(m_sent.end() -
                                        std::lower_bound(m_sent.begin(), m_sent.end(), then));
    }

    std::size_t max_checked_count() const
    {
        std::size_t most = 0;
        for (auto first = m_checked.begin(); first != m_checked.end(); ++first) {
            const auto last = std::upper_bound(first, m_checked.end(), *first + check_window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    time_point now() const { return m_now; }

private:
    void add()
    {
        ++m_last_ip;
        m_hosts.emplace_back(m_last_ip, m_random() | 1U, m_now);
    }

    void restart(simulated_host& host)
    {
        host = simulated_host{host.at.ip, m_random() | 1U, m_now};
        host.place = host.directory.place_for(1, false, m_now);
    }

    bool receives_from(const simulated_host& host, const simulated_host& other)
    {
        const bool is_partitioned = m_is_partitioned && host.at.ip % 2 != other.at.ip % 2;
        return &host != &other && !is_partitioned && !is_frozen(host) && !is_frozen(other) &&
               std::bernoulli_distribution{m_delivery_probability}(m_random);
    }

    bool is_frozen(const simulated_host& host) const { return m_now < host.frozen_until; }

    void exchange_heartbeats()
    {
        for (auto& each : m_hosts) {
            if (is_frozen(each)) {
                continue;
            }
            for (const auto& other : m_hosts) {
                if (receives_from(each, other)) {
                    each.directory.record_message(other.at, other.number, 1, m_now);
                }
            }
            each.directory.forget_silent(m_now);
            each.place = each.directory.place_for(1, false, m_now);
        }
    }

    void inject_fault()
    {
        auto& host =
            m_hosts[std::uniform_int_distribution<std::size_t>{0, m_hosts.size() - 1}(m_random)];
        switch (std::uniform_int_distribution<int>{0, 3}(m_random)) {
        case 0:
            restart(host);
            break;
        case 1:
            host.frozen_until =
                m_now + std::chrono::seconds{std::uniform_int_distribution<int>{1, 6}(m_random)};
            break;
        case 2:
            if (m_hosts.size() > 1) {
                std::swap(host, m_hosts.back());
                m_hosts.pop_back();
            }
            break;
        default:
            add();
        }
    }

    void send_from(simulated_host& host)
    {
        std::bernoulli_distribution has_request{host.demand};
        if (is_frozen(host) || !has_request(m_random)) {
            return;
        }
        // Enough for a single host to use up the whole limit.
        constexpr int max_requests = 20;
        for (int number = 0; number < (m_per_second ? max_requests : 1); ++number) {
            if (!host.limits.may_send(replica, host.place, m_now)) {
                return;
            }
            host.limits.count_sent(replica, false);
            m_sent.push_back(m_now);
            if (host.limit_received_at && m_now - *host.limit_received_at >= min_knowledge_time &&
                m_first_advertised && m_now - *m_first_advertised >= check_start) {
                m_checked.push_back(m_now);
            }
            take_answer(host);
        }
    }

    void take_answer(simulated_host& host)
    {
        const limit_statement statement{replica, 1, m_per_second, m_now - 1ms};
        const auto change = host.limits.apply(statement, m_now);
        if (m_per_second) {
            host.limit_received_at = host.limit_received_at.value_or(m_now);
        }
        else {
            host.limit_received_at.reset();
        }
        if (change == limit_change::none && !host.limits.take_due_announcement(replica, m_now)) {
            return;
        }
        for (auto& other : m_hosts) {
            if (receives_from(other, host)) {
                other.limits.apply(statement, m_now);
                other.limits.record_announcement(replica, m_now);
            }
        }
    }

    std::mt19937_64 m_random;
    double m_delivery_probability;
    bool m_is_partitioned = false;
    std::vector<simulated_host> m_hosts;
    std::optional<double> m_per_second;
    std::optional<time_point> m_first_advertised;
    std::vector<time_point> m_sent;
    std::vector<time_point> m_checked;
    time_point m_now = start;
    std::uint32_t m_last_ip = 0;
};

class shared_limit_test : public ::testing::TestWithParam<std::tuple<std::size_t, double>> {
protected:
    std::size_t hosts = std::get<0>(GetParam());
    double per_second = std::get<1>(GetParam());
    // Time in which the hosts discover each other before the limit is named.
    static constexpr auto discovery_time = 8s;
};

TEST_P(shared_limit_test, a_replica_receives_most_of_its_limit_and_no_more)
{
    limited_fleet fleet{hosts, 1};
    fleet.run(discovery_time);
    fleet.advertise_limit(per_second);
    fleet.run(4s);
    const auto steady = fleet.now();
    constexpr auto time = 20s;
    fleet.run(time);
    EXPECT_LE(static_cast<double>(fleet.max_checked_count()), allowed(per_second));
    const auto sent = static_cast<double>(fleet.sent_since(steady));
    const auto taken = per_second * std::chrono::duration<double>(time).count();
    EXPECT_LE(sent, std::max(taken, 4 * 5.0)) << "exceeds the limit in steady state";
    constexpr std::size_t few_hosts = 6;
    EXPECT_GE(sent, (hosts <= few_hosts ? 0.8 : 0.6) * taken)
        << "leaves too much of the limit unused";
    // At least one request in ten seconds, so that the end of the limit is noticed.
    EXPECT_GE(sent, 2) << "no host would notice the end of the limit";
}

TEST_P(shared_limit_test,
       the_limit_holds_when_a_quarter_of_the_gossip_is_lost_and_traffic_is_uneven)
{
    limited_fleet fleet{hosts, 0.75};
    fleet.make_demand_uneven();
    fleet.run(discovery_time);
    fleet.advertise_limit(per_second);
    fleet.run(20s);
    EXPECT_LE(static_cast<double>(fleet.max_checked_count()), allowed(per_second));
}

TEST_P(shared_limit_test, the_limit_holds_while_hosts_restart_freeze_join_and_leave)
{
    limited_fleet fleet{hosts, 0.9};
    fleet.run(discovery_time);
    fleet.advertise_limit(per_second);
    fleet.run(40s, true);
    EXPECT_LE(static_cast<double>(fleet.max_checked_count()), allowed(per_second));
}

TEST_P(shared_limit_test,
       the_limit_holds_while_hosts_discover_each_other_after_a_simultaneous_restart)
{
    limited_fleet fleet{hosts, 1};
    fleet.run(discovery_time);
    fleet.advertise_limit(per_second);
    fleet.run(6s);
    constexpr double low_delivery_probability = 0.3;
    fleet.restart_all(low_delivery_probability);
    fleet.run(15s);
    EXPECT_LE(static_cast<double>(fleet.max_checked_count()), allowed(per_second));
}

TEST_P(shared_limit_test, the_limit_holds_during_a_partition_into_halves)
{
    limited_fleet fleet{hosts, 1};
    fleet.run(discovery_time);
    fleet.advertise_limit(per_second);
    fleet.run(4s);
    fleet.set_partitioned(true);
    fleet.run(12s);
    fleet.set_partitioned(false);
    fleet.run(4s);
    EXPECT_LE(static_cast<double>(fleet.max_checked_count()), allowed(per_second));
}

TEST_P(shared_limit_test, all_hosts_use_the_replica_again_soon_after_the_limit_ends)
{
    limited_fleet fleet{hosts, 0.9};
    fleet.run(discovery_time);
    fleet.advertise_limit(per_second);
    fleet.run(20s);
    fleet.advertise_limit(std::nullopt);
    // At the minimum rate, a host learns of the end of the limit within this time.
    fleet.run(12s);
    const auto before = fleet.now();
    fleet.run(1s);
    // Every host sends one request per step when it is not limited.
    constexpr std::size_t steps_in_second = 40;
    EXPECT_GE(fleet.sent_since(before), hosts * steps_in_second);
}

INSTANTIATE_TEST_SUITE_P(fleets, shared_limit_test,
                         ::testing::Combine(::testing::Values<std::size_t>(1, 6, 87, 195, 410),
                                            ::testing::Values(0.0, 1.1, 5.6, 40.0)));

} // namespace
} // namespace cicadaport::serving
