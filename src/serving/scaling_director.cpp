#include "cicadaport/serving/scaling_director.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cicadaport::serving {
namespace {

// Share of an engine's slots up to which its streams keep their pace.
constexpr double usable_slot_fraction = 0.8;

duties::scaling_terms terms_of(const scale_terms& from)
{
    duties::scaling_terms out;
    out.min_replicas = from.min_replicas;
    out.max_replicas = from.max_replicas;
    out.boot_time = from.boot_time;
    out.reclaimable_price_ratio = from.reclaimable_price_ratio;
    out.zone_prices = from.zone_prices;
    return out;
}

duties::zone_view& zone_named(duties::scaling_view& view, const std::string& name)
{
    const auto found = std::find_if(view.zones.begin(), view.zones.end(),
                                    [&](const auto& each) { return each.name == name; });
    if (found != view.zones.end()) {
        return *found;
    }
    auto& added = view.zones.emplace_back();
    added.name = name;
    return added;
}

// Changes when the number of listed replicas of a zone and kind changes.
std::uint64_t digest_of(const duties::scaling_view& view)
{
    constexpr std::uint64_t factor = 1'000'003;
    std::uint64_t out = 0;
    for (const auto& each : view.zones) {
        for (const auto kind : duties::replica_kinds) {
            out = out * factor + each.of(kind).serving;
        }
    }
    return out;
}

} // namespace

duties::scaling_view make_scaling_view(host_state& host, const service& of, time_point now)
{
    duties::scaling_view out;
    out.terms = terms_of(*of.scale);
    for (const auto& [name, price] : out.terms.zone_prices) {
        zone_named(out, name);
    }
    double slots = 1;
    for (const auto& each : host.endpoints.serving(of.name)) {
        const auto& report = each->report;
        auto& counts = zone_named(out, report.availability_zone)
                           .of(report.is_reclaimable ? duties::replica_kind::reclaimable
                                                     : duties::replica_kind::ordinary);
        ++counts.serving;
        counts.prefill += report.stage == engine_stage::prefill ? 1 : 0;
        counts.decode += report.stage == engine_stage::decode ? 1 : 0;
        slots = std::max<double>(slots, report.slots);
    }
    const auto heard_since = host.gossip != nullptr ? host.gossip->heard_since() : std::nullopt;
    out.knows_demand =
        of.engines && heard_since && now - *heard_since >= scaling_director::min_heard_time;
    if (out.knows_demand) {
        // Other cells do not announce their work; they are of about the same size.
        const auto cells = static_cast<double>(host.gossip->cell_count());
        out.prefill_demand = cells * host.fleet.prefill_demand(now);
        out.decode_demand = cells * static_cast<double>(host.fleet.active_streams()) /
                            (usable_slot_fraction * slots);
    }
    const auto& counts = host.counts;
    out.requests = counts.answered + counts.refused + counts.failed + counts.cut;
    out.unserved_requests = counts.refused_for_load + counts.late;
    return out;
}

bool scaling_director::is_view_current() const
{
    const auto age = m_host.endpoints_position.age(m_host.timers.now());
    return age && *age <= max_list_age;
}

void scaling_director::evaluate()
{
    // Scheduled first, so that an exception does not end the series.
    m_evaluation_timer =
        m_host.timers.call_at(m_host.timers.now() + evaluation_interval, [this] { evaluate(); });
    if (m_host.deployed == nullptr || !is_view_current()) {
        return;
    }
    for (const auto& [name, each] : m_host.deployed->services()) {
        if (each.scale) {
            evaluate(each);
        }
    }
}

void scaling_director::evaluate(const service& of)
{
    const auto now = m_host.timers.now();
    auto& state = m_services[of.name];
    const auto view = make_scaling_view(m_host, of, now);
    const auto own_rank = m_authority.rank(of.name);
    const bool may_act = !m_host.is_stopping() && own_rank <= duties::acting_turn::max_rank;
    const bool is_due = may_act && !state.acts && state.plan.has_due_orders(view, now);
    const bool acts = state.turn.may_act(
        may_act ? own_rank : duties::acting_turn::max_rank + 1,
        is_due || (state.acts && state.plan.has_due_orders(view, now)), digest_of(view), now);
    if (acts != state.acts) {
        m_counts.takeovers += acts ? 1 : 0;
        if (m_log_budget.try_acquire(now)) {
            spdlog::info("scaling_turn service={} acts={} rank={} passed_over={}", of.name, acts,
                         own_rank, m_log_budget.take_suppressed_count());
        }
        state.acts = acts;
    }
    if (!acts) {
        state.waiting.clear();
        state.plan.follow(view, now);
        return;
    }
    for (const auto& order : state.plan.decide(view, now)) {
        add_order(of.name, order);
    }
}

void scaling_director::add_order(const std::string& service, const duties::scaling_order& order)
{
    auto& state = m_services[service];
    ++m_counts.orders;
    const auto& basis = state.plan.basis();
    if (m_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::info("scaling_order service={} zone={} kind={} desired={} reason={} demand={:.2f} "
                     "pressure={:.2f} serving={} pending={} target={} ordinary_target={} "
                     "passed_over={}",
                     service, order.zone, duties::to_string(order.kind), order.desired,
                     basis.reason, basis.demand, basis.pressure, basis.serving, basis.pending,
                     basis.target, basis.ordinary_target, m_log_budget.take_suppressed_count());
    }
    auto& waiting = state.waiting[order.zone];
    // An order that has not been sent yet is replaced.
    std::erase_if(waiting, [&](const auto& each) { return each.kind == order.kind; });
    waiting.push_back(order);
    send_next(service, order.zone);
}

void scaling_director::send_next(const std::string& service, const std::string& zone)
{
    auto& state = m_services[service];
    auto& waiting = state.waiting[zone];
    if (state.is_sending[zone] || waiting.empty()) {
        return;
    }
    const auto order = waiting.front();
    waiting.pop_front();
    state.is_sending[zone] = true;
    const auto now = m_host.timers.now();
    m_authority.send(service, order, now + order_timeout,
                     [this, service, order, now](const scaling_authority::result& result) {
                         handle_result(service, order, now, result);
                     });
}

void scaling_director::handle_result(const std::string& service, const duties::scaling_order& order,
                                     time_point sent, const scaling_authority::result& result)
{
    using duties::order_outcome;
    auto& state = m_services[service];
    const auto now = m_host.timers.now();
    m_counts.accepted += result.outcome == order_outcome::accepted ? 1 : 0;
    m_counts.unavailable += result.outcome == order_outcome::unavailable ? 1 : 0;
    m_counts.unknown += result.outcome == order_outcome::unknown ? 1 : 0;
    if (m_log_budget.try_acquire(now)) {
        spdlog::info("scaling_outcome service={} zone={} kind={} desired={} outcome={} status={} "
                     "token={} time_ms={} passed_over={}",
                     service, order.zone, duties::to_string(order.kind), order.desired,
                     duties::to_string(result.outcome), result.status, result.fencing_token,
                     std::chrono::duration_cast<milliseconds>(now - sent).count(),
                     m_log_budget.take_suppressed_count());
    }
    state.is_sending[order.zone] = false;
    state.plan.record_outcome(order, result.outcome, now);
    send_next(service, order.zone);
}

void scaling_director::log_state()
{
    for (auto& [name, state] : m_services) {
        if (!state.acts) {
            continue;
        }
        const auto& basis = state.plan.basis();
        spdlog::info("scaling_state service={} demand={:.2f} pressure={:.2f} serving={} pending={} "
                     "target={} ordinary_target={} orders={} accepted={} unavailable={} unknown={} "
                     "takeovers={}",
                     name, basis.demand, basis.pressure, basis.serving, basis.pending, basis.target,
                     basis.ordinary_target, m_counts.orders, m_counts.accepted,
                     m_counts.unavailable, m_counts.unknown, m_counts.takeovers);
    }
}

} // namespace cicadaport::serving
