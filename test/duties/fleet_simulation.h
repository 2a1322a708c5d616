// A service's replicas, its load and the platform that starts and ends replicas, in steps of 100
// ms without a network. Runs any rule for the number of replicas against the same events.
//
// Capacity and work are in engines. Work that waits for longer than `max_wait` counts as unserved.
#pragma once

#include "cicadaport/duties/scaling_view.h"

#include <algorithm>
#include <deque>
#include <functional>

namespace cicadaport::duties {

struct offered_load {
    double prefill = 0;
    double decode = 0;
};

struct simulation_events {
    std::function<offered_load(double seconds)> load;
    // All reclaimable replicas of a zone leave at this time, 2 s after they are listed as draining;
    // none are available there for 11 s, or in no zone.
    struct reclaim {
        double at = 0;
        std::string zone;
        bool blocks_all_zones = false;
    };
    std::vector<reclaim> reclaims;
    // The platform answers no order and carries out none between these times.
    double down_from = -1;
    double down_until = -1;
    double seconds = 120;
};

struct simulation_result {
    // Price times replica-seconds, and the same for the replicas of the start.
    double cost = 0;
    double cost_of_start = 0;
    double offered = 0;
    double unserved = 0;
    // Largest share of the work of one second that was unserved.
    double worst_second = 0;
    std::uint32_t min_serving = 0;
    std::uint32_t serving = 0;
    std::uint32_t ordinary = 0;
    std::uint32_t orders = 0;
    // Decisions that order replicas away.
    std::uint32_t steps_down = 0;
    // Orders that take back an earlier one within its boot time.
    std::uint32_t taken_back = 0;
    // Orders for a zone and kind sooner than 3 s after a refusal.
    std::uint32_t early_retries = 0;
    std::uint32_t min_prefill = 0;
    std::uint32_t min_decode = 0;

    double unserved_share() const { return offered > 0 ? unserved / offered : 0; }
    double cost_ratio() const { return cost / cost_of_start; }
};

class fleet_simulation {
public:
    explicit fleet_simulation(scaling_terms terms, std::uint32_t replicas_per_zone = 23)
        : m_terms{std::move(terms)}
    {
        for (const auto& [name, price] : m_terms.zone_prices) {
            zone added{name, price, {}};
            added.kinds[0].prefill = replicas_per_zone / 2;
            added.kinds[0].decode = replicas_per_zone - replicas_per_zone / 2;
            m_zones.push_back(added);
        }
    }

    template <typename Rule>
    simulation_result run(Rule& rule, const simulation_events& events)
    {
        return run(rule, events, [](Rule&, double) {});
    }

    // Calls `before(rule, seconds)` before each decision.
    template <typename Rule, typename Before>
    simulation_result run(Rule& rule, const simulation_events& events, Before before)
    {
        m_result = {};
        m_result.min_serving = m_result.min_prefill = m_result.min_decode = UINT32_MAX;
        const auto end = m_seconds + events.seconds;
        const auto start_price = price();
        for (; m_seconds < end; m_seconds += step) {
            apply_events(events);
            serve(events.load(m_seconds));
            m_result.cost += price() * step;
            m_result.cost_of_start += start_price * step;
            m_lists.push_back(list());
            if (m_lists.size() > list_delay_steps) {
                m_lists.pop_front();
            }
            if (m_step++ % steps_per_decision == 0) {
                before(rule, m_seconds);
                carry_out(rule, events);
            }
        }
        m_result.serving = total();
        for (auto& each : m_zones) {
            m_result.ordinary += each.kinds[0].serving();
        }
        return m_result;
    }

    std::uint32_t total() const
    {
        std::uint32_t out = 0;
        for (const auto& each : m_zones) {
            out += each.kinds[0].serving() + each.kinds[1].serving();
        }
        return out;
    }

    void set_limits(std::uint32_t min, std::uint32_t max)
    {
        m_terms.min_replicas = min;
        m_terms.max_replicas = max;
    }

    // Hides what the rule sees of the demand.
    bool knows_demand = true;

private:
    static constexpr double step = 0.1;
    static constexpr unsigned steps_per_decision = 3;
    static constexpr std::size_t list_delay_steps = 5;
    static constexpr double max_wait = 0.5;
    static constexpr double demand_time = 1.5;
    // Work to prefill again the shared prompt parts that a replica had cached.
    static constexpr double work_per_lost_cache = 0.5;

    struct group {
        std::uint32_t prefill = 0;
        std::uint32_t decode = 0;
        std::uint32_t draining = 0;
        double drained_at = 0;
        std::vector<std::pair<double, std::uint32_t>> booting;
        double unavailable_until = -1;
        double raised_at = -1e9;
        double refused_at = -1e9;

        std::uint32_t serving() const { return prefill + decode; }
        std::uint32_t booting_count() const
        {
            std::uint32_t out = 0;
            for (const auto& each : booting) {
                out += each.second;
            }
            return out;
        }
    };
    struct zone {
        std::string name;
        double price = 1;
        std::array<group, replica_kind_count> kinds{};
    };

    double price() const
    {
        double out = 0;
        for (const auto& each : m_zones) {
            for (std::size_t kind = 0; kind < replica_kind_count; ++kind) {
                const auto& of = each.kinds.at(kind);
                const auto count = of.serving() + of.booting_count() + of.draining;
                out += each.price * count * (kind == 0 ? 1 : m_terms.reclaimable_price_ratio);
            }
        }
        return out;
    }

    void leave(group& of, std::uint32_t count)
    {
        // The least favorable choice: all of one stage first.
        const auto prefill = std::min(count, of.prefill);
        of.prefill -= prefill;
        of.decode -= count - prefill;
        of.draining += count;
        of.drained_at = m_seconds + 2;
        m_backlog += work_per_lost_cache * count;
    }

    void apply_events(const simulation_events& events)
    {
        for (const auto& each : events.reclaims) {
            if (m_seconds < each.at || m_seconds >= each.at + step) {
                continue;
            }
            for (auto& of : m_zones) {
                auto& kind = of.kinds[1];
                if (of.name == each.zone) {
                    kind.booting.clear();
                    leave(kind, kind.serving());
                }
                if (of.name == each.zone || each.blocks_all_zones) {
                    kind.unavailable_until = m_seconds + 11;
                }
            }
        }
        for (auto& each : m_zones) {
            for (auto& of : each.kinds) {
                of.draining = m_seconds >= of.drained_at ? 0 : of.draining;
                for (const auto& [at, count] : of.booting) {
                    if (at <= m_seconds) {
                        of.prefill += count / 2;
                        of.decode += count - count / 2;
                    }
                }
                std::erase_if(of.booting, [&](const auto& one) { return one.first <= m_seconds; });
            }
        }
    }

    // Moves an engine to the stage that has too few, as the stage director does.
    void balance_stages()
    {
        constexpr unsigned steps_per_change = 5;
        const auto demand = m_seen.prefill + m_seen.decode;
        if (m_step % steps_per_change != 0 || demand < 1) {
            return;
        }
        std::uint32_t prefill = 0;
        for (const auto& each : m_zones) {
            prefill += each.kinds[0].prefill + each.kinds[1].prefill;
        }
        const bool needs_prefill = prefill < m_seen.prefill / demand * total();
        for (auto& each : m_zones) {
            for (auto& of : each.kinds) {
                auto& from = needs_prefill ? of.decode : of.prefill;
                if (from > 0) {
                    --from;
                    ++(needs_prefill ? of.prefill : of.decode);
                    return;
                }
            }
        }
    }

    void serve(const offered_load& load)
    {
        balance_stages();
        const auto capacity = static_cast<double>(total());
        const auto offered = (load.prefill + load.decode) * step;
        m_backlog += offered;
        m_backlog -= std::min(m_backlog, capacity * step);
        const auto unserved = std::max(0.0, m_backlog - capacity * max_wait);
        m_backlog -= unserved;
        m_result.offered += offered;
        m_result.unserved += unserved;
        constexpr double requests_per_work = 20;
        m_requests += offered * requests_per_work;
        m_unserved += unserved * requests_per_work;
        m_second_offered += offered;
        m_second_unserved += unserved;
        if (m_step % 10 == 9) {
            m_result.worst_second =
                std::max(m_result.worst_second,
                         std::min(m_second_unserved / std::max(m_second_offered, 1e-9), 1.0));
            m_second_offered = m_second_unserved = 0;
        }
        // Hosts see the demand of admitted requests only.
        const auto admitted = offered > 0 ? std::max(0.0, 1 - unserved / offered) : 0;
        m_seen.prefill += (load.prefill * admitted - m_seen.prefill) * step / demand_time;
        m_seen.decode += (load.decode * admitted - m_seen.decode) * step / demand_time;
        std::uint32_t prefill = 0;
        for (const auto& each : m_zones) {
            prefill += each.kinds[0].prefill + each.kinds[1].prefill;
        }
        m_result.min_serving = std::min(m_result.min_serving, total());
        m_result.min_prefill = std::min(m_result.min_prefill, prefill);
        m_result.min_decode = std::min(m_result.min_decode, total() - prefill);
    }

    std::vector<zone_view> list() const
    {
        std::vector<zone_view> out;
        for (const auto& each : m_zones) {
            auto& added = out.emplace_back();
            added.name = each.name;
            for (std::size_t kind = 0; kind < replica_kind_count; ++kind) {
                const auto& of = each.kinds.at(kind);
                added.replicas.at(kind) = {of.serving(), of.prefill, of.decode};
            }
        }
        return out;
    }

    template <typename Rule>
    void carry_out(Rule& rule, const simulation_events& events)
    {
        const auto now =
            time_point{std::chrono::hours{1}} +
            std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>{m_seconds});
        scaling_view view;
        view.terms = m_terms;
        view.zones = m_lists.front();
        view.knows_demand = knows_demand;
        view.prefill_demand = knows_demand ? m_seen.prefill : 0;
        view.decode_demand = knows_demand ? m_seen.decode : 0;
        view.requests = static_cast<std::uint64_t>(m_requests);
        view.unserved_requests = static_cast<std::uint64_t>(m_unserved);
        bool is_down = false;
        for (const auto& order : rule.decide(view, now)) {
            ++m_result.orders;
            const bool no_answer = m_seconds >= events.down_from && m_seconds < events.down_until;
            const auto outcome = no_answer ? order_outcome::unknown : apply(order, is_down);
            rule.record_outcome(order, outcome, now);
        }
        m_result.steps_down += is_down ? 1 : 0;
    }

    order_outcome apply(const scaling_order& order, bool& is_down)
    {
        const auto found = std::find_if(m_zones.begin(), m_zones.end(),
                                        [&](const zone& each) { return each.name == order.zone; });
        auto& of = found->kinds.at(static_cast<std::size_t>(order.kind));
        const auto present = of.serving() + of.booting_count();
        if (order.desired > present) {
            if (m_seconds < of.unavailable_until) {
                m_result.early_retries += m_seconds - of.refused_at < 3 ? 1 : 0;
                of.refused_at = m_seconds;
                return order_outcome::unavailable;
            }
            const auto boot = std::chrono::duration<double>{m_terms.boot_time}.count();
            of.booting.emplace_back(m_seconds + boot, order.desired - present);
            of.raised_at = m_seconds;
        }
        else if (order.desired < present) {
            is_down = true;
            const auto boot = std::chrono::duration<double>{m_terms.boot_time}.count();
            m_result.taken_back += m_seconds - of.raised_at < boot ? 1 : 0;
            leave(of, std::min(of.serving(), present - order.desired));
        }
        return order_outcome::accepted;
    }

    scaling_terms m_terms;
    std::vector<zone> m_zones;
    std::deque<std::vector<zone_view>> m_lists;
    simulation_result m_result;
    offered_load m_seen;
    double m_seconds = 0;
    std::uint64_t m_step = 0;
    double m_backlog = 0;
    double m_requests = 0;
    double m_unserved = 0;
    double m_second_offered = 0;
    double m_second_unserved = 0;
};

} // namespace cicadaport::duties
