#include "cicadaport/accounts/fair_admission.h"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>
#include <map>
#include <random>
#include <vector>

namespace cicadaport::accounts {
namespace {

using time_point = fair_admission::time_point;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

// Guards against shedding an account while every request can be served.
TEST(fair_admission_test, an_account_that_holds_all_capacity_is_within_its_share_while_it_is_alone)
{
    fair_admission admission;
    for (int number = 0; number < 1'000; ++number) {
        const auto now = start + number * 10ms;
        admission.record_demand("a", 5, now);
        EXPECT_FALSE(admission.is_over_share("a", now));
        admission.record_admission("a", 5, now);
    }
}

// Guards against a share that stays lent: the owner must not wait until the borrower's work has
// left the window.
TEST(fair_admission_test, a_lent_share_is_returned_with_the_first_request_of_its_owner)
{
    fair_admission admission;
    auto now = start;
    for (int number = 0; number < 1'000; ++number, now += 10ms) {
        admission.record_demand("borrower", 1, now);
        admission.record_admission("borrower", 1, now);
    }
    for (int number = 0; number < 200; ++number) {
        EXPECT_FALSE(admission.is_over_share("owner", now));
        admission.record_demand("owner", 1, now);
    }
    now += fair_admission::refresh_interval;
    EXPECT_FALSE(admission.is_over_share("owner", now));
    EXPECT_TRUE(admission.is_over_share("borrower", now));
}

// Guards against a state that grows with every account that was ever seen.
TEST(fair_admission_test, accounts_that_ask_for_nothing_are_forgotten)
{
    fair_admission admission;
    for (int number = 0; number < 1'000; ++number) {
        admission.record_demand("account-" + std::to_string(number), 1, start);
    }
    const auto later = start + 8 * fair_admission::default_window;
    admission.record_demand("a", 1, later);
    admission.is_over_share("a", later);
    EXPECT_EQ(admission.account_count(), 1U);
}

// Replays a fleet that is full: per second, all hosts together can admit `capacity` requests of
// one unit. Requests go to random hosts; each host has an equal part of the capacity and keeps a
// queue, whose length decides whether a request is late.
class full_fleet {
public:
    full_fleet(std::size_t hosts, double capacity)
        : m_hosts(hosts), m_capacity_per_host{capacity / static_cast<double>(hosts)}
    {
    }

    // Returns the admitted requests of each account in the second half of `time`.
    std::map<std::string, double> replay(const std::map<std::string, double>& rates,
                                         std::chrono::seconds time, bool fair = true)
    {
        std::vector<std::string> names;
        std::vector<double> weights;
        double total = 0;
        for (const auto& [name, rate] : rates) {
            names.push_back(name);
            weights.push_back(rate);
            total += rate;
        }
        std::discrete_distribution<std::size_t> account{weights.begin(), weights.end()};
        std::uniform_int_distribution<std::size_t> any_host{0, m_hosts.size() - 1};
        std::exponential_distribution<double> gap{total};
        std::map<std::string, double> admitted;
        const double end = std::chrono::duration<double>{time}.count();
        for (double at = gap(m_random); at < end; at += gap(m_random)) {
            const auto& name = names[account(m_random)];
            auto& to = m_hosts[any_host(m_random)];
            to.queue = std::max(0.0, to.queue - (at - to.updated) * m_capacity_per_host);
            to.updated = at;
            const auto now = start + std::chrono::duration_cast<time_point::duration>(
                                         std::chrono::duration<double>{at});
            to.admission.record_demand(name, 1, now);
            const bool late = to.queue > late_queue;
            const bool refused =
                to.queue > longest_queue || (fair && late && to.admission.is_over_share(name, now));
            if (refused) {
                continue;
            }
            to.queue += 1;
            to.admission.record_admission(name, 1, now);
            admitted[name] += at > end / 2 ? 2 / end : 0;
        }
        return admitted;
    }

private:
    static constexpr double late_queue = 1;
    static constexpr double longest_queue = 4;

    struct host {
        fair_admission admission;
        double queue = 0;
        double updated = 0;
    };

    std::vector<host> m_hosts;
    double m_capacity_per_host;
    std::mt19937_64 m_random{17};
};

// 81 accounts with 319 requests per second together, as deployment B; one sends ten times its part.
std::map<std::string, double> rates_with_one_large_account()
{
    constexpr int accounts = 81;
    constexpr double usual_rate = 319.0 / accounts;
    std::map<std::string, double> out{{"large", 10 * usual_rate}};
    for (int number = 1; number < accounts; ++number) {
        out["small-" + std::to_string(number)] = usual_rate;
    }
    return out;
}

struct served_fractions {
    double least_small = 1;
    double mean_small = 0;
    double large = 0;
    // The large account's admitted rate, relative to its max-min fair share.
    double large_to_share = 0;
};

served_fractions replay(std::size_t hosts, bool fair)
{
    const auto rates = rates_with_one_large_account();
    constexpr double capacity = 319;
    const auto admitted = full_fleet{hosts, capacity}.replay(rates, 120s, fair);
    served_fractions out;
    double small_demand = 0;
    for (const auto& [name, rate] : rates) {
        const auto found = admitted.find(name);
        const auto fraction = found == admitted.end() ? 0 : found->second / rate;
        if (name == "large") {
            out.large = fraction;
            out.large_to_share = found == admitted.end() ? 0 : found->second;
            continue;
        }
        small_demand += rate;
        out.least_small = std::min(out.least_small, fraction);
        out.mean_small += fraction / static_cast<double>(rates.size() - 1);
    }
    out.large_to_share /= capacity - small_demand;
    std::cout << "hosts=" << hosts << " fair=" << fair << " least_small=" << out.least_small
              << " mean_small=" << out.mean_small << " large=" << out.large
              << " large_to_share=" << out.large_to_share << "\n";
    return out;
}

// Guards against one account that takes the capacity of all others by sending ten times its share.
// Deployments require that each account is served at least a quarter as often as all accounts.
TEST(fair_admission_test, one_account_with_ten_times_its_share_displaces_no_other)
{
    constexpr double required_ratio = 0.25;
    for (const std::size_t hosts : {1, 77, 410}) {
        const auto before = replay(hosts, false);
        const auto served = replay(hosts, true);
        EXPECT_GT(served.mean_small, before.mean_small) << hosts;
        EXPECT_GT(served.least_small, required_ratio * served.mean_small) << hosts;
        EXPECT_GT(served.mean_small, served.large) << hosts;
    }
}

} // namespace
} // namespace cicadaport::accounts
