// Compares rules of choice among replicas when the known load is old and many hosts choose at the
// same time. No network: a simulation of queues.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

namespace cicadaport::balancing {
namespace {

constexpr std::size_t replica_count = 60;
constexpr double service_ms = 100;
constexpr double load = 0.8;
constexpr double simulated_ms = 60'000;

enum class rule {
    least_reported,
    two_choices,
    flattened,
    subset,
    own_corrected,
    own_and_flattened
};

const char* name_of(rule which)
{
    switch (which) {
    case rule::least_reported:
        return "least as reported";
    case rule::two_choices:
        return "two random choices";
    case rule::flattened:
        return "weights flattened by age";
    case rule::subset:
        return "least in a subset of 8";
    case rule::own_corrected:
        return "least, own requests added";
    case rule::own_and_flattened:
        return "flattened, own requests added";
    }
    return "";
}

struct result {
    // Mean of the longest queue divided by the mean queue.
    double imbalance = 0;
    // Mean fraction of the replicas that idle although requests for them wait at others.
    double idle_while_waiting = 0;
    double p99_ms = 0;
};

class simulation {
public:
    simulation(rule which, std::size_t hosts, double age_ms)
        : m_rule{which}, m_age{age_ms}, m_queues(replica_count), m_reported(replica_count, 0),
          m_own(hosts, std::vector<int>(replica_count, 0)), m_sent(hosts)
    {
    }

    result run()
    {
        const double rate = load * replica_count / service_ms;
        std::exponential_distribution<> gap{rate};
        std::exponential_distribution<> service{1 / service_ms};
        std::uniform_int_distribution<std::size_t> host{0, m_sent.size() - 1};
        double next_arrival = gap(m_random);
        while (m_now < simulated_ms) {
            const double next_end = m_ends.empty() ? simulated_ms : m_ends.top().first;
            const double next = std::min(next_arrival, next_end);
            account(next - m_now);
            m_now = next;
            apply_reports();
            if (next_end <= next_arrival) {
                const auto at = m_ends.top().second;
                m_ends.pop();
                m_times.push_back(m_now - m_queues[at].front().first);
                m_queues[at].pop_front();
                m_delayed.push_back({m_now + m_age, at, -1});
                if (!m_queues[at].empty()) {
                    m_ends.push({m_now + m_queues[at].front().second, at});
                }
            }
            else {
                const auto from = host(m_random);
                const auto at = choose(from);
                m_queues[at].push_back({m_now, service(m_random)});
                m_delayed.push_back({m_now + m_age, at, 1});
                m_sent[from].push_back({m_now + m_age, at});
                ++m_own[from][at];
                if (m_queues[at].size() == 1) {
                    m_ends.push({m_now + m_queues[at].front().second, at});
                }
                next_arrival = m_now + gap(m_random);
            }
        }
        result out;
        out.imbalance = m_imbalance / m_now;
        out.idle_while_waiting = m_idle / m_now;
        const auto place = m_times.begin() + static_cast<std::ptrdiff_t>(m_times.size() * 99 / 100);
        std::nth_element(m_times.begin(), place, m_times.end());
        out.p99_ms = *place;
        return out;
    }

private:
    struct report {
        double at;
        std::size_t replica;
        int change;
    };

    void account(double time)
    {
        std::size_t longest = 0;
        std::size_t total = 0;
        std::size_t idle = 0;
        std::size_t waiting = 0;
        for (const auto& each : m_queues) {
            longest = std::max(longest, each.size());
            total += each.size();
            idle += each.empty() ? 1 : 0;
            waiting += each.empty() ? 0 : each.size() - 1;
        }
        if (total > 0) {
            m_imbalance +=
                time * static_cast<double>(longest * replica_count) / static_cast<double>(total);
        }
        m_idle += time * static_cast<double>(std::min(idle, waiting)) / replica_count;
    }

    void apply_reports()
    {
        while (!m_delayed.empty() && m_delayed.front().at <= m_now) {
            m_reported[m_delayed.front().replica] += m_delayed.front().change;
            m_delayed.pop_front();
        }
    }

    std::size_t choose(std::size_t host)
    {
        auto& sent = m_sent[host];
        while (!sent.empty() && sent.front().first <= m_now) {
            --m_own[host][sent.front().second];
            sent.pop_front();
        }
        const bool corrected = m_rule == rule::own_corrected || m_rule == rule::own_and_flattened;
        const auto known = [&](std::size_t replica) {
            return m_reported[replica] + (corrected ? m_own[host][replica] : 0);
        };
        std::uniform_int_distribution<std::size_t> any{0, replica_count - 1};
        if (m_rule == rule::two_choices) {
            const auto first = any(m_random);
            const auto second = any(m_random);
            return known(second) < known(first) ? second : first;
        }
        if (m_rule == rule::flattened || m_rule == rule::own_and_flattened) {
            return choose_flattened(known);
        }
        // Ties are broken at random.
        const auto start = any(m_random);
        std::size_t best = replica_count;
        for (std::size_t step = 0; step < replica_count; ++step) {
            const auto each = (start + step) % replica_count;
            const bool outside =
                m_rule == rule::subset &&
                (each + replica_count - host * 7 % replica_count) % replica_count >= 8;
            if (!outside && (best == replica_count || known(each) < known(best))) {
                best = each;
            }
        }
        return best;
    }

    // Chooses so that the requests which are expected to arrive within the age of the reports fill
    // the shortest queues to a common level (Dahlin 2000).
    std::size_t choose_flattened(const std::function<int(std::size_t)>& known)
    {
        std::vector<std::size_t> order(replica_count);
        std::iota(order.begin(), order.end(), 0U);
        std::shuffle(order.begin(), order.end(), m_random);
        std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return known(left) < known(right);
        });
        double unknown = load * replica_count / service_ms * m_age + 1;
        double level = known(order[0]);
        std::size_t filled = 1;
        for (; filled < replica_count; ++filled) {
            const double room = (known(order[filled]) - level) * static_cast<double>(filled);
            if (room >= unknown) {
                break;
            }
            unknown -= room;
            level = known(order[filled]);
        }
        level += unknown / static_cast<double>(filled);
        std::vector<double> weights;
        for (std::size_t index = 0; index < filled; ++index) {
            weights.push_back(level - known(order[index]));
        }
        return order[std::discrete_distribution<std::size_t>{weights.begin(),
                                                             weights.end()}(m_random)];
    }

    rule m_rule;
    double m_age;
    double m_now = 0;
    std::mt19937_64 m_random{1};
    // Arrival and service time of the requests at each replica.
    std::vector<std::deque<std::pair<double, double>>> m_queues;
    std::vector<int> m_reported;
    // Requests of each host that the reports do not contain yet.
    std::vector<std::vector<int>> m_own;
    std::vector<std::deque<std::pair<double, std::size_t>>> m_sent;
    std::deque<report> m_delayed;
    using event = std::pair<double, std::size_t>;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_ends;
    std::vector<double> m_times;
    double m_imbalance = 0;
    double m_idle = 0;
};

result simulate(rule which, std::size_t hosts, double age_ms)
{
    return simulation{which, hosts, age_ms}.run();
}

// Guards against the choice of the least loaded replica by old reports: all hosts choose the same
// replicas in turns while others idle. Prints the table of docs/design/balancing.md.
TEST(stale_load_test, flattened_weights_keep_queues_shorter_than_the_least_reported_load)
{
    std::printf(
        "| hosts | age, ms | rule | longest / mean queue | idle while waiting | p99, ms |\n");
    std::printf("|---|---|---|---|---|---|\n");
    for (const std::size_t hosts : {6U, 58U, 195U, 410U}) {
        for (const double age_ms : {100.0, 500.0, 2'000.0}) {
            std::map<rule, result> results;
            for (const auto which : {rule::least_reported, rule::two_choices, rule::flattened,
                                     rule::subset, rule::own_corrected, rule::own_and_flattened}) {
                const auto out = simulate(which, hosts, age_ms);
                results[which] = out;
                std::printf("| %zu | %.0f | %s | %.1f | %.2f | %.0f |\n", hosts, age_ms,
                            name_of(which), out.imbalance, out.idle_while_waiting, out.p99_ms);
            }
            const auto& least = results[rule::least_reported];
            const auto& flattened = results[rule::own_and_flattened];
            EXPECT_LT(flattened.p99_ms, least.p99_ms) << hosts << " hosts, " << age_ms << " ms";
            EXPECT_LT(flattened.imbalance, least.imbalance) << hosts << " hosts, " << age_ms;
        }
    }
}

} // namespace
} // namespace cicadaport::balancing
