#include "cicadaport/authority/partition_roles.h"

#include "cicadaport/authority/service_floor.h"
#include "cicadaport/relay/log_readers.h"

#include <peer.pb.h>
#include <spdlog/spdlog.h>
#include <state.pb.h>

#include <algorithm>

namespace cicadaport::authority {
namespace {

using configuration::endpoint_kind;
using roles::change_outcome;

// A longer gap between two observations counts as this long.
constexpr roles::seconds max_observation_gap{2};

bool is_same(const configuration::engine_roles& a, const configuration::engine_roles& b)
{
    return a.policy == b.policy && a.least_prefill == b.least_prefill &&
           a.least_decode == b.least_decode && a.change_price_requests == b.change_price_requests &&
           a.change_time == b.change_time;
}

// Returns the map's element with this key, or null.
template <typename Map>
const typename Map::mapped_type* find_in(const Map& map, const std::string& name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

// Returns the work that entry processes have in flight, summed by endpoint.
std::map<std::string, routing::work_sum>
work_in_flight(std::span<const protocol::process_status> processes)
{
    std::map<std::string, routing::work_sum> out;
    for (const auto& status : processes) {
        for (const auto& work : status.work()) {
            out[work.endpoint()] +=
                {static_cast<double>(work.requests()), static_cast<double>(work.prefill_tokens()),
                 static_cast<double>(work.decode_tokens())};
        }
    }
    return out;
}

roles::engine_observation observe_engine(const fold::state& state,
                                         const configuration::endpoint& endpoint,
                                         const std::optional<engine_record>& seen)
{
    const auto& folded = state.message();
    const auto* wish = find_in(folded.wishes(), endpoint.name);
    const auto* orders = find_in(folded.orders(), endpoint.name);
    const bool outstanding = orders != nullptr && orders->has_intent();
    const bool drained = wish != nullptr && wish->drain();
    const bool fixed = wish != nullptr && !wish->role().empty();
    roles::engine_observation out;
    out.name = endpoint.name;
    out.alive = seen && !drained && !folded.conditions().contains(endpoint.name);
    if (seen) {
        out.role = routing::parse_role(seen->role);
        out.changing = seen->changing || outstanding;
        const auto* model = state.document()->find_model(endpoint.serves);
        out.alive = out.alive && model != nullptr && seen->model == model->name;
        out.can_change = !fixed && may_leave_service(state, endpoint) &&
                         !wanted_order(endpoint, *state.document(), wish, orders, *seen);
    }
    return out;
}

roles::role_counts count_serving(std::span<const roles::engine_observation> engines)
{
    roles::role_counts out;
    for (const auto& each : engines) {
        if (each.alive && !each.changing) {
            const auto prefill = each.role == routing::engine_role::prefill;
            const auto decode = each.role == routing::engine_role::decode;
            ++(prefill ? out.prefill : decode ? out.decode : out.mixed);
        }
    }
    return out;
}

} // namespace

void partition_roles::restart()
{
    m_controller.reset();
    m_settings.reset();
    m_seen.clear();
    m_last_observed_at.reset();
    for (auto& each : m_changes) {
        const bool running = each.outcome == change_outcome::running;
        each.outcome = running ? change_outcome::none : each.outcome;
    }
}

void partition_roles::record_answer(const std::string& engine, std::optional<engine_record> seen)
{
    m_seen[engine] = std::move(seen);
}

void partition_roles::follow_settings(const configuration::engine_roles& settings)
{
    if (!m_settings || !is_same(*m_settings, settings)) {
        m_settings = settings;
        m_controller.emplace(settings);
    }
}

std::vector<roles::engine_observation>
partition_roles::observe_engines(const fold::state& state,
                                 std::span<const protocol::process_status> processes) const
{
    const auto work = work_in_flight(processes);
    std::vector<roles::engine_observation> out;
    for (const auto& endpoint : state.document()->endpoints) {
        if (endpoint.kind != endpoint_kind::engine || partition_of(endpoint) != m_partition) {
            continue;
        }
        const auto* seen = find_in(m_seen, endpoint.name);
        if (seen == nullptr) {
            return {};
        }
        auto& engine = out.emplace_back(observe_engine(state, endpoint, *seen));
        if (const auto* sum = find_in(work, endpoint.name)) {
            engine.prefill_tokens = static_cast<std::uint64_t>(sum->prefill_tokens);
            engine.decode_tokens = static_cast<std::uint64_t>(sum->decode_tokens);
        }
    }
    return out;
}

// A model's engines may be in several partitions: each partition is assigned a
// fraction of the work that is proportional to its number of engines.
roles::offered_work
partition_roles::offered_to(const configuration::document& document,
                            std::span<const protocol::process_status> processes) const
{
    std::string model;
    double own = 0;
    std::map<std::string, double> engines;
    for (const auto& each : document.endpoints) {
        if (each.kind == endpoint_kind::engine) {
            ++engines[each.serves];
            if (partition_of(each) == m_partition) {
                ++own;
                model = each.serves;
            }
        }
    }
    if (own == 0) {
        return {};
    }
    const auto live = static_cast<std::uint32_t>(relay::live_age.count());
    auto rates = roles::sum_offers(processes, live)[model];
    const auto engine_fraction = own / engines[model];
    rates.requests *= engine_fraction;
    rates.prefill *= engine_fraction;
    rates.output *= engine_fraction;
    return roles::to_offered_work(rates, routing::engine_speed{});
}

void partition_roles::observe(const fold::state& state,
                              std::span<const protocol::process_status> processes, time_point now)
{
    follow_settings(state.document()->roles);
    const auto engines = observe_engines(state, processes);
    if (engines.empty()) {
        return;
    }
    m_offered = offered_to(*state.document(), processes);
    m_present = count_serving(engines);
    withdraw_superseded_proposal(state);
    auto order = m_controller->observe(engines, m_offered, now);
    settle_change();
    watch_change(now);
    if (order) {
        begin_change(std::move(*order), now);
    }
}

// Withdraws the proposal if an operator has set the engine's role, or if the log
// holds an intent for the engine whose proposer did not learn that it was accepted.
void partition_roles::withdraw_superseded_proposal(const fold::state& state)
{
    if (proposal() == nullptr) {
        return;
    }
    auto& change = m_changes.front();
    const auto* wish = find_in(state.message().wishes(), change.engine);
    const auto* orders = find_in(state.message().orders(), change.engine);
    const bool wished = wish != nullptr && !wish->role().empty();
    change.announced = wished || (orders != nullptr && orders->has_intent());
}

// The controller reports the outcome of its last change only, which is the newest.
void partition_roles::settle_change()
{
    if (m_changes.empty() || m_changes.front().outcome != change_outcome::running) {
        return;
    }
    auto& newest = m_changes.front();
    newest.outcome = m_controller->last_outcome();
    if (newest.outcome != change_outcome::running) {
        spdlog::info("role_change_ended partition={} engine={} role={} outcome={}", m_partition,
                     newest.engine, newest.to, roles::to_string(newest.outcome));
    }
}

void partition_roles::watch_change(time_point now)
{
    const auto passed = m_last_observed_at ? std::min<roles::seconds>(now - *m_last_observed_at,
                                                                      max_observation_gap)
                                           : roles::seconds{0};
    m_last_observed_at = now;
    if (m_changes.empty() || m_changes.front().outcome != change_outcome::applied) {
        return;
    }
    auto& newest = m_changes.front();
    const auto gain = roles::servable_requests(newest.why.after, m_offered) -
                      roles::servable_requests(newest.why.before, m_offered);
    newest.gained_requests += gain * passed.count();
    newest.watched += passed;
}

void partition_roles::begin_change(roles::role_order order, time_point now)
{
    role_change change;
    change.engine = order.engine;
    change.from = m_seen[order.engine]->role;
    change.to = routing::to_string(order.role);
    change.why = std::move(order.why);
    change.begun = now;
    m_changes.push_front(std::move(change));
    if (m_changes.size() > max_kept_changes) {
        m_changes.pop_back();
    }
    const auto& why = m_changes.front().why;
    spdlog::info("role_change partition={} engine={} from={} to={} policy={} lost_requests={:.1f} "
                 "price_requests={:.1f} predicted_gain={:.2f} offered_requests={:.2f} "
                 "offered_prefill={:.2f} offered_decode={:.2f}",
                 m_partition, order.engine, m_changes.front().from, m_changes.front().to,
                 why.policy, why.lost_requests, why.price_requests, why.predicted_gain,
                 why.offered.requests_per_second, why.offered.prefill, why.offered.decode);
}

const role_change* partition_roles::proposal() const
{
    const bool waits = !m_changes.empty() && !m_changes.front().announced &&
                       m_changes.front().outcome == change_outcome::running;
    return waits ? &m_changes.front() : nullptr;
}

std::string partition_roles::proposed_role(const std::string& engine) const
{
    const auto* change = proposal();
    return change != nullptr && change->engine == engine ? change->to : "";
}

void partition_roles::record_announced(const std::string& engine)
{
    if (!proposed_role(engine).empty()) {
        m_changes.front().announced = true;
    }
}

role_report partition_roles::report() const
{
    role_report out;
    out.partition = m_partition;
    out.offered = m_offered;
    out.present = m_present;
    out.changes = {m_changes.begin(), m_changes.end()};
    if (m_settings) {
        out.policy = m_settings->policy;
        out.price_requests = m_settings->change_price_requests;
    }
    if (m_controller) {
        out.standing = m_controller->progress();
    }
    return out;
}

} // namespace cicadaport::authority
