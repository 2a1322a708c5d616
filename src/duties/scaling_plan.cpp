#include "cicadaport/duties/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cicadaport::duties {
namespace {

// Removals that are waiting for the list to show them count as carried out for this long.
constexpr std::chrono::seconds removal_time{10};
// After this time without unserved requests the pressure falls.
constexpr std::chrono::seconds pressure_hold{30};
// Recent demand that must be carried at once, also by ordinary replicas.
constexpr std::chrono::seconds urgent_window{5};

replica_kind other_kind(replica_kind kind)
{
    return kind == replica_kind::ordinary ? replica_kind::reclaimable : replica_kind::ordinary;
}

std::uint32_t rounded_up(double value)
{
    return static_cast<std::uint32_t>(std::ceil(std::max(value, 0.0)));
}

} // namespace

template <typename Value>
std::uint32_t scaling_plan::sum(Value value)
{
    std::uint32_t out = 0;
    for (auto& each : m_zones) {
        for (const auto kind : replica_kinds) {
            out += value(each.of(kind), kind);
        }
    }
    return out;
}

scaling_plan::zone& scaling_plan::zone_named(const std::string& name)
{
    const auto found = std::find_if(m_zones.begin(), m_zones.end(),
                                    [&](const zone& each) { return each.name == name; });
    if (found != m_zones.end()) {
        return *found;
    }
    auto& added = m_zones.emplace_back();
    added.name = name;
    return added;
}

void scaling_plan::update_record(record& known, replica_kind kind, std::uint32_t serving,
                                 const scaling_terms& terms, time_point now)
{
    const auto expected = known.staying();
    known.serving = serving;
    const bool is_lowering = known.lowered > known.raised && now - known.lowered < removal_time;
    if (serving < expected && kind == replica_kind::reclaimable) {
        // Replicas left that were not ordered away.
        known.blocked_until = std::max(known.blocked_until, now + reclaim_pause);
        known.desired = serving;
    }
    else if (serving < known.desired && now - known.raised > terms.boot_time + overdue_time) {
        known.desired = serving;
    }
    else if (serving > known.desired && !is_lowering) {
        known.desired = serving;
    }
}

void scaling_plan::update_pressure(const scaling_view& view, time_point now)
{
    if (now - m_pressure_checked < pressure_interval) {
        return;
    }
    const auto requests = view.requests - std::min(m_requests, view.requests);
    const auto unserved = view.unserved_requests - std::min(m_unserved, view.unserved_requests);
    const bool is_first = m_pressure_checked == time_point{};
    m_pressure_checked = now;
    m_requests = view.requests;
    m_unserved = view.unserved_requests;
    if (is_first) {
        return;
    }
    const auto serving = sum([](const record& of, replica_kind) { return of.serving; });
    if (unserved >= min_unserved &&
        m_demand.peak(now, urgent_window) >= min_pressure_utilization * serving &&
        static_cast<double>(unserved) >= unserved_share * static_cast<double>(requests)) {
        m_pressure = std::min(m_pressure * pressure_step, max_pressure);
        m_last_unserved = now;
    }
    else if (now - m_last_unserved > pressure_hold) {
        m_pressure = std::max(m_pressure / pressure_step, 1.0);
    }
}

void scaling_plan::check_list(const scaling_view& view, time_point now)
{
    std::uint32_t listed = 0;
    for (const auto& each : view.zones) {
        listed += each.of(replica_kind::ordinary).serving;
    }
    const auto expected = sum([](const record& of, replica_kind kind) {
        return kind == replica_kind::ordinary ? of.staying() : 0;
    });
    if (listed >= min_listed_fraction * expected) {
        m_doubtful_since.reset();
    }
    else if (!m_doubtful_since) {
        m_doubtful_since = now;
    }
}

bool scaling_plan::is_list_doubtful(time_point now) const
{
    return m_doubtful_since && now - *m_doubtful_since < max_doubt;
}

void scaling_plan::observe(const scaling_view& view, time_point now)
{
    m_demand.record(view, now);
    update_pressure(view, now);
    for (const auto& [name, price] : view.terms.zone_prices) {
        zone_named(name).price = price;
    }
    for (const auto& each : view.zones) {
        zone_named(each.name);
    }
    std::sort(m_zones.begin(), m_zones.end(), [](const zone& left, const zone& right) {
        return std::tie(left.price, left.name) < std::tie(right.price, right.name);
    });
    check_list(view, now);
    if (is_list_doubtful(now)) {
        return;
    }
    for (auto& each : m_zones) {
        const auto listed = std::find_if(view.zones.begin(), view.zones.end(),
                                         [&](const zone_view& of) { return of.name == each.name; });
        for (const auto kind : replica_kinds) {
            update_record(each.of(kind), kind,
                          listed != view.zones.end() ? listed->of(kind).serving : 0, view.terms,
                          now);
        }
    }
    const auto serving = sum([](const record& of, replica_kind) { return of.serving; });
    if (m_is_settled) {
        return;
    }
    if (serving > m_held_total) {
        m_held_total = serving;
        m_held_ordinary = rounded_up(ordinary_share_of_total * m_held_total);
        m_settled_at = now + settle_time;
    }
    else if (m_held_total > 0 && now >= m_settled_at) {
        m_is_settled = true;
    }
}

void scaling_plan::follow(const scaling_view& view, time_point now)
{
    m_acting_since.reset();
    observe(view, now);
    for (auto& each : m_zones) {
        for (auto& known : each.records) {
            known.desired = known.serving;
        }
    }
    if (m_demand.is_known(now)) {
        m_held_total = sum([](const record& of, replica_kind) { return of.serving; });
        m_held_ordinary = sum([](const record& of, replica_kind kind) {
            return kind == replica_kind::ordinary ? of.serving : 0;
        });
    }
}

bool scaling_plan::offers_reclaimable(const scaling_terms& terms) const
{
    return terms.reclaimable_price_ratio > 0 && terms.reclaimable_price_ratio < 1;
}

std::uint32_t scaling_plan::lowest_total(const scaling_terms& terms) const
{
    return std::max(min_total, terms.min_replicas * static_cast<std::uint32_t>(m_zones.size()));
}

std::uint32_t scaling_plan::wanted_total(const scaling_terms& terms, time_point now)
{
    const auto demand = m_demand.burst_demand(now) * m_pressure;
    m_basis.demand = demand;
    m_basis.pressure = m_pressure;
    auto out = std::max(rounded_up(demand / target_utilization), lowest_total(terms));
    if (!m_demand.is_known(now)) {
        // Too little is known of the demand to remove anything for it.
        out = std::max(out, m_held_total);
    }
    const auto ordinary = wanted_ordinary(terms, out, now);
    const auto zones = static_cast<std::uint32_t>(std::max<std::size_t>(m_zones.size(), 1));
    const auto rest_after_loss = [&] {
        const auto reclaimable = out > ordinary ? out - ordinary : 0;
        return out - (reclaimable + zones - 1) / zones;
    };
    if (zones > 1) {
        while (rest_after_loss() < demand / max_utilization_after_loss) {
            ++out;
        }
    }
    return std::min(out, terms.max_replicas * zones);
}

std::uint32_t scaling_plan::wanted_ordinary(const scaling_terms& terms, std::uint32_t total,
                                            time_point now)
{
    if (!offers_reclaimable(terms)) {
        return total;
    }
    auto out = rounded_up(ordinary_share_of_peak * m_demand.peak(now));
    if (!m_demand.is_known(now)) {
        out = std::max(out, m_held_ordinary);
    }
    return std::min(total, std::max(out, lowest_total(terms)));
}

void scaling_plan::spread(replica_kind kind, std::uint32_t total, const scaling_terms& terms,
                          time_point now)
{
    std::vector<zone*> open;
    std::uint32_t rest = total;
    for (auto& each : m_zones) {
        auto& known = each.of(kind);
        if (now < known.blocked_until) {
            known.target = known.desired;
            rest -= std::min(rest, known.desired);
            continue;
        }
        known.target = 0;
        open.push_back(&each);
    }
    // One to each zone in turn, the cheapest first, until none of them has room.
    for (bool added = true; added && rest > 0;) {
        added = false;
        for (auto* each : open) {
            const auto& of_other = each->of(other_kind(kind));
            const auto taken =
                kind == replica_kind::ordinary
                    ? 0
                    : std::max(of_other.target, std::max(of_other.desired, of_other.serving));
            if (rest > 0 && each->of(kind).target + taken < terms.max_replicas) {
                ++each->of(kind).target;
                --rest;
                added = true;
            }
        }
    }
}

void scaling_plan::set_targets(const scaling_terms& terms, time_point now)
{
    const auto total = wanted_total(terms, now);
    const auto ordinary = wanted_ordinary(terms, total, now);
    m_basis.target = total;
    spread(replica_kind::ordinary, ordinary, terms, now);
    const auto set = sum([](const record& of, replica_kind kind) {
        return kind == replica_kind::ordinary ? of.target : 0;
    });
    spread(replica_kind::reclaimable, total > set ? total - set : 0, terms, now);
    // What reclaimable replicas can't carry now is left to ordinary ones, as far as it is urgent.
    const auto urgent =
        rounded_up(m_demand.peak(now, urgent_window) * m_pressure / max_utilization_after_loss);
    const auto available = sum([&](const record& of, replica_kind kind) {
        return kind == replica_kind::reclaimable ? (now < of.blocked_until ? of.desired : of.target)
                                                 : std::max(of.target, of.desired);
    });
    if (urgent > available) {
        const auto present = sum([](const record& of, replica_kind kind) {
            return kind == replica_kind::ordinary ? std::max(of.target, of.desired) : 0;
        });
        spread(replica_kind::ordinary, present + urgent - available, terms, now);
    }
    m_basis.ordinary_target = sum([](const record& of, replica_kind kind) {
        return kind == replica_kind::ordinary ? of.target : 0;
    });
    if (m_demand.is_known(now)) {
        m_held_total = total;
        m_held_ordinary = ordinary;
    }
    m_basis.serving = sum([](const record& of, replica_kind) { return of.serving; });
    m_basis.pending = sum([](const record& of, replica_kind) { return of.pending(); });
}

std::vector<scaling_order> scaling_plan::raise(const scaling_terms& terms, time_point now)
{
    std::vector<scaling_order> out;
    for (const auto kind : replica_kinds) {
        std::uint32_t target = 0;
        std::uint32_t desired = 0;
        std::uint32_t lack = 0;
        for (auto& each : m_zones) {
            const auto& known = each.of(kind);
            target += known.target;
            desired += known.desired;
            lack += known.target > known.desired ? known.target - known.desired : 0;
        }
        // Reclaimable replicas must be spread over the zones; ordinary ones need not.
        const auto missing = kind == replica_kind::reclaimable ? lack
                             : target > desired                ? target - desired
                                                               : 0;
        if (missing < std::max(1U, rounded_up(shortage_ratio * target))) {
            continue;
        }
        for (auto& each : m_zones) {
            auto& known = each.of(kind);
            const auto& other = each.of(other_kind(kind));
            const auto taken = std::max(other.desired, other.serving);
            const auto room = terms.max_replicas > taken ? terms.max_replicas - taken : 0;
            const auto wanted = std::min(known.target, room);
            if (wanted <= known.desired || now < known.blocked_until) {
                continue;
            }
            known.desired = wanted;
            known.raised = now;
            out.push_back({each.name, kind, wanted});
        }
    }
    return out;
}

std::uint32_t scaling_plan::removable(const scaling_view& view, replica_kind kind,
                                      std::uint32_t removed)
{
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;
    std::uint32_t prefill_of_kind = 0;
    std::uint32_t decode_of_kind = 0;
    for (const auto& each : view.zones) {
        for (const auto which : replica_kinds) {
            prefill += each.of(which).prefill;
            decode += each.of(which).decode;
        }
        prefill_of_kind += each.of(kind).prefill;
        decode_of_kind += each.of(kind).decode;
    }
    const auto staying = sum([](const record& of, replica_kind) { return of.staying(); });
    const auto least = m_basis.target + removed;
    auto out = staying > least ? staying - least : 0;
    // The platform chooses which replicas leave: all of them may be of one stage.
    const auto limit_by_stage = [&](std::uint32_t count, std::uint32_t of_kind, double demand) {
        const auto reserve =
            m_demand.has_demand()
                ? std::max(min_per_stage, rounded_up(demand / max_utilization_after_loss))
                : std::max(min_per_stage, rounded_up(stage_share_without_demand * staying));
        const auto spare = count > reserve ? count - reserve : 0;
        if (of_kind + removed > spare) {
            out = std::min(out, spare > removed ? spare - removed : 0);
        }
    };
    if (prefill + decode > 0) {
        limit_by_stage(prefill, prefill_of_kind, m_demand.prefill_peak());
        limit_by_stage(decode, decode_of_kind, m_demand.decode_peak());
    }
    return out;
}

std::vector<scaling_order> scaling_plan::remove(replica_kind kind, std::uint32_t count,
                                                const scaling_terms& terms, time_point now)
{
    struct choice {
        zone* from = nullptr;
        std::uint32_t surplus = 0;
    };
    std::vector<choice> choices;
    // The most expensive zone is first among equals.
    for (auto each = m_zones.rbegin(); each != m_zones.rend(); ++each) {
        const auto& known = each->of(kind);
        const auto others = each->of(other_kind(kind)).staying();
        const auto min = terms.min_replicas > others ? terms.min_replicas - others : 0;
        const auto wanted = std::max(known.target, min);
        if (known.desired > wanted && known.desired == known.serving &&
            now >= known.blocked_until && now - known.raised >= terms.boot_time + list_delay) {
            choices.push_back({&*each, known.desired - wanted});
        }
    }
    for (; count > 0; --count) {
        const auto most = std::max_element(
            choices.begin(), choices.end(),
            [](const choice& left, const choice& right) { return left.surplus < right.surplus; });
        if (most == choices.end() || most->surplus == 0) {
            break;
        }
        --most->surplus;
        --most->from->of(kind).desired;
    }
    std::vector<scaling_order> out;
    for (const auto& each : choices) {
        auto& known = each.from->of(kind);
        if (known.desired < known.serving) {
            known.lowered = now;
            out.push_back({each.from->name, kind, known.desired});
        }
    }
    return out;
}

std::vector<scaling_order> scaling_plan::lower(const scaling_view& view, time_point now)
{
    const auto& terms = view.terms;
    const bool is_removing = sum([](const record& of, replica_kind) {
                                 return of.serving > of.desired ? of.serving - of.desired : 0;
                             }) > 0;
    const auto hold = m_demand.has_demand() ? clock::duration{hold_time} : list_delay;
    if (is_removing || m_basis.pending > 0 || now - m_last_lowered < hold ||
        now - *m_acting_since < terms.boot_time + list_delay ||
        (m_demand.has_demand() && now - m_last_unserved < pressure_hold)) {
        return {};
    }
    const auto surplus = [&](replica_kind kind) {
        return sum([&](const record& of, replica_kind which) {
            return which == kind && of.desired > of.target ? of.desired - of.target : 0;
        });
    };
    const auto staying = sum([](const record& of, replica_kind) { return of.staying(); });
    // The limits of a zone may have become lower than what runs.
    const bool is_beyond_limit = std::any_of(m_zones.begin(), m_zones.end(), [&](const zone& each) {
        return each.records[0].desired + each.records[1].desired > terms.max_replicas;
    });
    if (!is_beyond_limit &&
        surplus(replica_kind::ordinary) <
            std::max(1.0, ordinary_excess_ratio * m_basis.ordinary_target) &&
        staying <= excess_ratio * m_basis.target) {
        return {};
    }
    std::vector<scaling_order> out;
    std::uint32_t removed = 0;
    for (const auto kind : replica_kinds) {
        auto count = std::min(surplus(kind), removable(view, kind, removed));
        if (kind == replica_kind::reclaimable) {
            const auto most = rounded_up(max_step_share * staying);
            count = std::min(count, most > removed ? most - removed : 0);
        }
        for (const auto& each : remove(kind, count, terms, now)) {
            out.push_back(each);
        }
        removed += count;
    }
    if (!out.empty()) {
        m_last_lowered = now;
    }
    return out;
}

std::vector<scaling_order> scaling_plan::decide(const scaling_view& view, time_point now)
{
    if (!m_acting_since) {
        m_acting_since = now;
    }
    observe(view, now);
    set_targets(view.terms, now);
    if (!m_is_settled || is_list_doubtful(now)) {
        m_basis.reason = "none";
        return {};
    }
    auto out = raise(view.terms, now);
    m_basis.reason = out.empty() ? "none" : "lack";
    if (out.empty()) {
        out = lower(view, now);
        m_basis.reason = out.empty() ? "none" : "surplus";
    }
    return out;
}

bool scaling_plan::has_due_orders(const scaling_view& view, time_point now) const
{
    auto other = *this;
    other.m_acting_since = time_point{};
    return !other.decide(view, now).empty();
}

void scaling_plan::record_outcome(const scaling_order& order, order_outcome outcome, time_point now)
{
    const auto found = std::find_if(m_zones.begin(), m_zones.end(),
                                    [&](const zone& each) { return each.name == order.zone; });
    if (found == m_zones.end() || outcome == order_outcome::accepted) {
        return;
    }
    auto& known = found->of(order.kind);
    if (outcome == order_outcome::unknown && order.desired < known.serving) {
        // The list shows whether the order was carried out.
        return;
    }
    // What is listed is in force, until the list shows something else.
    known.desired = known.serving;
    const auto pause = outcome == order_outcome::unavailable ? unavailable_pause : unknown_pause;
    known.blocked_until = std::max(known.blocked_until, now + pause);
}

} // namespace cicadaport::duties
