// Simulates fleets of hosts before engines that crash: because of a prompt segment, or without a
// cause. Each host decides with its own prompt_quarantine; gossip between them may be lost.
#include "cicadaport/serving/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;
using time_point = prompt_quarantine::time_point;

// Crashes by one segment in all, and requests with it that may reach engines later than
// `contact_time` after the fifth crash.
constexpr std::size_t tolerated_crashes = 5;
constexpr std::size_t allowed_late_count = 3;
constexpr auto contact_time = 3s;

struct fleet_settings {
    std::size_t hosts = 6;
    std::size_t engines = 9;
    // Requests per second of the whole fleet, and those of them with each deadly segment.
    double rate = 60;
    double deadly_rate = 0.6;
    std::size_t deadly_segments = 1;
    // Fraction of the gossip messages to each host that are lost.
    double loss = 0.02;
    // Crashes without a cause per second, and the fraction of the engines that end at each.
    double crash_rate = 0;
    double crash_share = 0;
    // Fraction of the hosts that restart, once, during the day.
    double restart_share = 0;
    std::chrono::seconds length{30};
};

// One simulated day in steps of `step`.
class simulated_fleet {
public:
    simulated_fleet(const fleet_settings& settings, unsigned seed)
        : m_settings{settings}, m_random{seed}, m_hosts(settings.hosts), m_engines(settings.engines)
    {
        std::uniform_int_distribution<std::int64_t> any_time{
            0, std::chrono::milliseconds{settings.length}.count()};
        for (std::size_t host = 0; host < settings.hosts; ++host) {
            if (chance(settings.restart_share)) {
                m_restarts.emplace(m_now + std::chrono::milliseconds{any_time(m_random)}, host);
            }
        }
    }

    void run()
    {
        const auto end = m_now + m_settings.length;
        for (; m_now < end; m_now += step) {
            restart_hosts();
            crash_at_random();
            arrive(m_settings.rate, false);
            arrive(m_settings.deadly_rate, true);
            advance();
            deliver();
            if ((m_now - start) % 1s == 0s) {
                repeat_announcements();
            }
        }
    }

    // Crashes by deadly segments, the most by one of them.
    std::size_t max_deadly_crashes() const
    {
        std::size_t out = 0;
        for (const auto& each : m_deadly_crashes) {
            out = std::max(out, each.second.size());
        }
        return out;
    }

    // Requests with one deadly segment that reached engines too late, the most of one segment.
    std::size_t max_late_count() const
    {
        std::size_t out = 0;
        for (const auto& [segment, times] : m_deadly_arrivals) {
            const auto crashes = m_deadly_crashes.find(segment);
            if (crashes == m_deadly_crashes.end() || crashes->second.size() < tolerated_crashes) {
                continue;
            }
            const auto limit = crashes->second[tolerated_crashes - 1] + contact_time;
            out = std::max(
                out, static_cast<std::size_t>(std::count_if(
                         times.begin(), times.end(), [&](time_point at) { return at > limit; })));
        }
        return out;
    }

    std::size_t sound_rejected() const { return m_sound_rejected; }
    std::size_t sound_count() const { return m_sound_count; }

private:
    static constexpr auto step = 10ms;
    static constexpr time_point start{1h};
    static constexpr auto restart_time = 3s;
    static constexpr auto gossip_delay = 10ms;
    static constexpr std::size_t first_deadly = 1'000'000;
    static constexpr std::size_t second_segments = 85;
    // The time between the arrival of a request at an engine and its first event.
    static constexpr auto min_begin_time = 20ms;
    static constexpr auto max_begin_time = 400ms;

    struct running_request {
        std::size_t host = 0;
        std::vector<segment_id> segments;
        segment_id deadly = 0;
        time_point begins{};
        bool retried = false;
    };
    struct engine {
        std::uint64_t incarnation = 0;
        time_point up_at{};
        std::vector<running_request> waiting;
    };
    struct message {
        std::size_t to = 0;
        std::optional<engine_crash> crash;
        std::optional<segment_survival> survival;
        std::optional<segment_id> trial;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>{0, 1}(m_random) < probability;
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(m_random);
    }

    void restart_hosts()
    {
        while (!m_restarts.empty() && m_restarts.begin()->first <= m_now) {
            const auto host = m_restarts.begin()->second;
            m_restarts.erase(m_restarts.begin());
            m_hosts[host] = {};
            // Its greeting is answered by the other hosts.
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                for (auto& each : m_hosts[other].all_crashes()) {
                    send(host, {host, std::move(each), std::nullopt, std::nullopt});
                }
            }
        }
    }

    void crash_at_random()
    {
        if (!chance(m_settings.crash_rate * std::chrono::duration<double>{step}.count())) {
            return;
        }
        for (std::size_t number = 0; number < m_engines.size(); ++number) {
            if (chance(m_settings.crash_share)) {
                crash(number);
            }
        }
    }

    void arrive(double rate, bool is_deadly)
    {
        const auto count = std::poisson_distribution<int>{
            rate * std::chrono::duration<double>{step}.count()}(m_random);
        for (int number = 0; number < count; ++number) {
            running_request added;
            added.host = pick(m_hosts.size());
            const auto second = 10 + std::min(pick(second_segments), pick(second_segments));
            added.segments = {1 + second % 3, second};
            if (is_deadly) {
                added.deadly = first_deadly + pick(m_settings.deadly_segments);
                added.segments.push_back(added.deadly);
            }
            else {
                ++m_sound_count;
            }
            place(std::move(added));
        }
    }

    void place(running_request request)
    {
        const auto admission = m_hosts[request.host].admit(request.segments, m_now);
        if (admission.rejected) {
            m_sound_rejected += request.deadly == 0 ? 1 : 0;
            return;
        }
        for (const auto each : admission.tried) {
            broadcast(request.host, {0, std::nullopt, std::nullopt, each});
        }
        auto& chosen = m_engines[pick(m_engines.size())];
        if (chosen.up_at > m_now) {
            return;
        }
        if (request.deadly != 0) {
            m_deadly_arrivals[request.deadly].push_back(m_now);
        }
        std::uniform_int_distribution<std::int64_t> time{
            std::chrono::milliseconds{min_begin_time}.count(),
            std::chrono::milliseconds{max_begin_time}.count()};
        request.begins = m_now + std::chrono::milliseconds{time(m_random)};
        chosen.waiting.push_back(std::move(request));
    }

    void advance()
    {
        for (std::size_t number = 0; number < m_engines.size(); ++number) {
            auto& waiting = m_engines[number].waiting;
            for (std::size_t index = 0; index < waiting.size();) {
                if (waiting[index].begins > m_now) {
                    ++index;
                    continue;
                }
                if (waiting[index].deadly != 0) {
                    m_deadly_crashes[waiting[index].deadly].push_back(m_now);
                    crash(number);
                    break;
                }
                const auto begun = waiting[index];
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
                const auto cleared =
                    m_hosts[begun.host].record_survival(begun.segments, m_now, m_now);
                for (const auto& each : cleared) {
                    broadcast(begun.host, {0, std::nullopt, segment_survival{each.segment, m_now},
                                           std::nullopt});
                }
            }
        }
    }

    void crash(std::size_t number)
    {
        auto& ended = m_engines[number];
        if (ended.up_at > m_now) {
            return;
        }
        const auto key = number * 1'000 + ++ended.incarnation;
        ended.up_at = m_now + restart_time;
        std::map<std::size_t, std::set<segment_id>> by_host;
        const auto interrupted = std::exchange(ended.waiting, {});
        // Some host had an answer there that was past its beginning.
        by_host[pick(m_hosts.size())];
        for (const auto& each : interrupted) {
            by_host[each.host].insert(each.segments.begin(), each.segments.end());
        }
        for (const auto& [host, segments] : by_host) {
            const auto result =
                m_hosts[host].record_crash({key, m_now, {segments.begin(), segments.end()}}, m_now);
            engine_crash told{key, m_now, {}};
            for (const auto& each : result.suspected) {
                told.segments.push_back(each.segment);
            }
            if (result.is_new || !told.segments.empty()) {
                broadcast(host, {0, told, std::nullopt, std::nullopt});
            }
        }
        for (auto each : interrupted) {
            if (!each.retried && m_hosts[each.host].max_evidence(each.segments) < 1.5) {
                each.retried = true;
                place(std::move(each));
            }
        }
    }

    void repeat_announcements()
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            for (auto& each : m_hosts[host].take_due_announcements(m_now)) {
                // The others count it as announced at once, as they would within milliseconds.
                broadcast(host, {0, std::move(each), std::nullopt, std::nullopt});
            }
            deliver(m_now);
        }
    }

    void broadcast(std::size_t from, const message& what)
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (host != from) {
                auto copy = what;
                copy.to = host;
                send(host, std::move(copy));
            }
        }
    }

    void send(std::size_t to, message what)
    {
        what.to = to;
        if (!chance(m_settings.loss)) {
            m_gossip.emplace(m_now + gossip_delay, std::move(what));
        }
    }

    void deliver() { deliver(m_now - gossip_delay); }

    void deliver(time_point sent_before)
    {
        while (!m_gossip.empty() && m_gossip.begin()->first <= sent_before + gossip_delay) {
            const auto what = std::move(m_gossip.extract(m_gossip.begin()).mapped());
            auto& host = m_hosts[what.to];
            if (what.crash) {
                for (const auto& each : host.record_crash(*what.crash, m_now).contradicted) {
                    broadcast(what.to, {0, std::nullopt, each, std::nullopt});
                }
            }
            if (what.survival) {
                host.record_survival({&what.survival->segment, 1}, what.survival->at, m_now);
            }
            if (what.trial) {
                host.record_trial(*what.trial, m_now);
            }
        }
    }

    fleet_settings m_settings;
    std::mt19937 m_random;
    time_point m_now = start;
    std::vector<prompt_quarantine> m_hosts;
    std::vector<engine> m_engines;
    std::multimap<time_point, std::size_t> m_restarts;
    std::multimap<time_point, message> m_gossip;
    std::map<segment_id, std::vector<time_point>> m_deadly_crashes;
    std::map<segment_id, std::vector<time_point>> m_deadly_arrivals;
    std::size_t m_sound_rejected = 0;
    std::size_t m_sound_count = 0;
};

struct fleet_case {
    const char* name;
    fleet_settings settings;
    unsigned days;
};

class crashing_fleet_test : public ::testing::TestWithParam<fleet_case> {};

TEST_P(crashing_fleet_test, few_engines_crash_and_sound_prompts_are_served)
{
    const auto& [name, settings, days] = GetParam();
    std::size_t sound = 0;
    std::size_t rejected = 0;
    for (unsigned seed = 1; seed <= days; ++seed) {
        simulated_fleet fleet{settings, seed};
        fleet.run();
        EXPECT_LE(fleet.max_late_count(), allowed_late_count) << "seed " << seed;
        sound += fleet.sound_count();
        rejected += fleet.sound_rejected();
    }
    // At most one sound prompt in a thousand.
    EXPECT_LE(rejected * 1'000, sound);
}

fleet_settings fleet_of(std::size_t hosts, std::size_t engines, double rate, double deadly_rate)
{
    fleet_settings out;
    out.hosts = hosts;
    out.engines = engines;
    out.rate = rate;
    out.deadly_rate = deadly_rate;
    return out;
}

fleet_settings with(fleet_settings base, void (*change)(fleet_settings&))
{
    change(base);
    return base;
}

INSTANTIATE_TEST_SUITE_P(
    fleets, crashing_fleet_test,
    ::testing::Values(
        fleet_case{"one_host", fleet_of(1, 9, 60, 0.6), 40},
        fleet_case{"six_hosts", fleet_of(6, 9, 60, 0.6), 40},
        fleet_case{"many_deadly", fleet_of(6, 9, 60, 12), 20},
        fleet_case{"many_hosts", fleet_of(87, 60, 400, 5), 4},
        fleet_case{"hundreds_of_hosts", fleet_of(195, 156, 600, 6), 2},
        fleet_case{"three_deadly_segments",
                   with(fleet_of(6, 18, 120, 6), [](auto& each) { each.deadly_segments = 3; }), 20},
        fleet_case{"lost_gossip",
                   with(fleet_of(6, 18, 120, 2), [](auto& each) { each.loss = 0.3; }), 20},
        fleet_case{"hosts_restart",
                   with(fleet_of(6, 18, 120, 2), [](auto& each) { each.restart_share = 0.8; }), 20},
        fleet_case{"other_crashes_too",
                   with(fleet_of(6, 18, 120, 2),
                        [](auto& each) {
                            each.crash_rate = 0.3;
                            each.crash_share = 0.2;
                        }),
                   20}),
    [](const auto& each) { return std::string{each.param.name}; });

TEST(random_crash_test, crashes_without_a_deadly_segment_reject_no_prompt)
{
    for (const auto share : {0.15, 0.5, 1.0}) {
        for (unsigned seed = 1; seed <= 60; ++seed) {
            auto settings = fleet_of(6, 18, 120, 0);
            settings.crash_rate = 0.4;
            settings.crash_share = share;
            simulated_fleet fleet{settings, seed};
            fleet.run();
            EXPECT_EQ(fleet.sound_rejected(), 0U) << "share " << share << " seed " << seed;
        }
    }
}

} // namespace
} // namespace cicadaport::serving
