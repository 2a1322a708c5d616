#include "cicadaport/serving/host_state.h"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace cicadaport::serving {
namespace {

// Within a region a connection is established in milliseconds. An endpoint that takes longer
// than this is down or unreachable.
constexpr std::chrono::milliseconds connect_timeout{300};
// A peer that acknowledges no bytes for this time is unreachable.
constexpr std::chrono::milliseconds peer_silence{3'000};

// Names of response fields that the adapter does not know are logged once each, up to this
// many.
constexpr std::size_t max_unknown_fields = 32;
constexpr std::size_t max_logged_name_length = 60;

transport::exchange_connection::times endpoint_times()
{
    transport::exchange_connection::times out;
    out.connect = connect_timeout;
    out.socket.peer_silence = peer_silence;
    return out;
}

} // namespace

void event_counts::learn(const std::string& route, std::size_t events)
{
    constexpr double smoothing_fraction = 0.1;
    // The estimate of the quantile rises by nine times as much as it falls, relative to itself, so
    // that it rests where one of ten responses is longer.
    constexpr double quantile_rise = 0.09;
    constexpr double quantile_fall = 0.01;
    const auto count = static_cast<double>(events);
    const auto [found, added] = m_routes.try_emplace(route, record{count, count});
    if (added) {
        return;
    }
    auto& known = found->second;
    known.mean += smoothing_fraction * (count - known.mean);
    known.long_response *= count > known.long_response ? 1 + quantile_rise : 1 - quantile_fall;
    known.long_response = std::max(known.long_response, known.mean);
}

bool event_counts::has_many(const std::string& route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() || found->second.mean > max_short_response_events;
}

double event_counts::usual(const std::string& route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 1 : std::max(found->second.mean, 1.0);
}

double event_counts::long_response(const std::string& route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 1 : std::max(found->second.long_response, 1.0);
}

host_state::host_state(boost::asio::io_context& with_context, const wire_format& with_wire,
                       std::string zone, attempt_budget::bounds budget_bounds)
    : context{with_context}, memory{[this] {
          boost::asio::post(context, [this] { reclaim_memory(); });
      }},
      timers{with_context}, wire{with_wire}, availability_zone{std::move(zone)},
      connections{with_context, timers, transport::message_limits{}, endpoint_times()},
      budget{budget_bounds}, engines{fleet}, random{std::random_device{}()},
      crashes{with_context, timers, random}, origins{*this}, paths{*this}, liveness{*this}
{
}

void host_state::reclaim_memory()
{
    memory.restart();
    while (memory.is_exceeded()) {
        const auto* largest = memory.largest();
        if (largest == nullptr) {
            return;
        }
        auto& holder = largest->holder();
        const auto held = memory.held();
        if (memory_log_budget.try_acquire(timers.now())) {
            spdlog::warn("memory_reclaimed {} bytes={} held={} limit={} passed_over={}",
                         holder.memory_fields(), largest->bytes(), held, memory.limit(),
                         memory_log_budget.take_suppressed_count());
        }
        holder.release_memory();
        if (memory.held() >= held) {
            return;
        }
    }
}

const std::vector<endpoint_pointer>& host_state::engines_of(const std::string& service_name)
{
    const auto& all = endpoints.serving(service_name);
    if (gossip == nullptr || gossip->cell_count() == 1) {
        return all;
    }
    m_cell_engines.clear();
    std::size_t prefill_engine_count = 0;
    for (const auto& each : all) {
        if (gossip->is_in_cell(engine_number(each->report.id))) {
            m_cell_engines.push_back(each);
            prefill_engine_count += each->report.stage == engine_stage::prefill ? 1 : 0;
        }
    }
    const bool whole = prefill_engine_count > 0 && prefill_engine_count < m_cell_engines.size();
    return whole ? m_cell_engines : all;
}

std::uint32_t host_state::connection_share(const service& of) const noexcept
{
    // A host in a large fleet still needs connections to serve requests.
    constexpr std::uint32_t least = 2;
    const auto hosts = (gossip != nullptr ? gossip->peer_count() : 0) + 1;
    return std::max(least, of.max_connections / static_cast<std::uint32_t>(hosts));
}

void host_state::note_leaving(const endpoint& replica)
{
    const auto& report = replica.report;
    if (endpoints.note_leaving(report.id, report.incarnation, timers.now())) {
        spdlog::info("endpoint_changed id={} offered=false source=own_answer", report.id);
        forget_removed_replicas();
    }
}

void host_state::apply_response_terms(const endpoint& replica, bool is_engine, unsigned status,
                                      const answer_metadata& metadata, std::string_view request,
                                      time_point asked)
{
    constexpr unsigned status_misdirected = 421;
    if (metadata.requested_backoff) {
        spdlog::info("endpoint_left_alone id={} time_ms={} request={}", replica.report.id,
                     metadata.requested_backoff->count(), request);
        health_of(replica, is_engine).record_backoff(*metadata.requested_backoff, timers.now());
    }
    // This status comes from another replica that has taken over the address.
    if (status != status_misdirected) {
        apply_limit(replica, metadata, request, asked);
    }
    for (const auto& each : metadata.unknown_fields) {
        if (m_unknown_fields.size() < max_unknown_fields && m_unknown_fields.insert(each).second) {
            spdlog::info("answer_field_unknown name=\"{}\" id={} request={}",
                         std::string_view{each}.substr(0, max_logged_name_length),
                         replica.report.id, request);
        }
    }
    if (metadata.is_leaving) {
        note_leaving(replica);
    }
}

void host_state::apply_limit(const endpoint& replica, const answer_metadata& metadata,
                             std::string_view request, time_point asked)
{
    const auto now = timers.now();
    if (metadata.has_advertised_limit && !metadata.requests_per_second) {
        if (limit_log_budget.try_acquire(now)) {
            spdlog::warn("endpoint_limit_unreadable id={} request={} passed_over={}",
                         replica.report.id, request, limit_log_budget.take_suppressed_count());
        }
        return;
    }
    const limit_statement said{replica.report.id, replica.report.incarnation,
                               metadata.requests_per_second, asked};
    const auto change = limits.apply(said, now);
    log_limit_change(said, change, "own_answer", request);
    const bool again = limits.take_due_announcement(said.endpoint, now);
    if (gossip != nullptr && (again || change != limit_change::none)) {
        gossip->announce_limit(said);
    }
}

void host_state::apply_announced_limit(const limit_statement& said)
{
    const auto now = timers.now();
    log_limit_change(said, limits.apply(said, now), "other_host", "");
    limits.record_announcement(said.endpoint, now);
}

void host_state::log_limit_change(const limit_statement& said, limit_change change,
                                  std::string_view source, std::string_view request)
{
    const auto now = timers.now();
    if (change == limit_change::none || !limit_log_budget.try_acquire(now)) {
        return;
    }
    const auto place = place_for(said.endpoint);
    spdlog::info("endpoint_limit id={} change={} per_second={} source={} request={} asked_ms={} "
                 "hosts={} rank={} passed_over={}",
                 said.endpoint, to_string(change), said.per_second.value_or(0), source, request,
                 std::chrono::duration_cast<milliseconds>(now - said.request_sent_at).count(),
                 place.hosts, place.rank, limit_log_budget.take_suppressed_count());
}

fleet_place host_state::place_for(const std::string& replica) const
{
    if (gossip == nullptr) {
        return {};
    }
    const auto known = endpoints.find(replica);
    const bool is_engine = known != nullptr && known->report.stage != engine_stage::none;
    return gossip->place_for(engine_number(replica), is_engine);
}

const std::set<std::string>& host_state::excluded_endpoints(const std::set<std::string>& failed)
{
    const auto limited = limits.limited_endpoints();
    if (limited.empty()) {
        return failed;
    }
    m_excluded = failed;
    for (const auto& each : limited) {
        if (!limits.may_send(each, place_for(each), timers.now())) {
            m_excluded.insert(each);
        }
    }
    return m_excluded;
}

bool host_state::accepts_request(const endpoint& replica, bool is_engine)
{
    const auto& id = replica.report.id;
    return !health_of(replica, is_engine).is_backing_off(timers.now()) &&
           limits.may_send(id, place_for(id), timers.now());
}

void host_state::log_limit_usage()
{
    const auto now = timers.now();
    for (const auto& each : limits.take_uses(now)) {
        if (limit_log_budget.try_acquire(now)) {
            spdlog::info(
                "endpoint_limit_use id={} per_second={} age_ms={} runs={} prompt_readings={} "
                "calls={} passed_over={}",
                each.endpoint, each.per_second,
                std::chrono::duration_cast<milliseconds>(each.age).count(), each.run_count,
                each.prefill_count, each.call_count, limit_log_budget.take_suppressed_count());
        }
    }
}

void host_state::forget_removed_replicas()
{
    const auto now = timers.now();
    for (const auto& each : endpoints.take_dropped()) {
        const auto& id = each->report.id;
        const auto until = std::max(engines.state(id).health.backoff_until(),
                                    replicas.state(id).health.backoff_until());
        if (now < until) {
            m_kept_backoffs[id] = {each->report.incarnation, until};
        }
        engines.forget(id);
        replicas.forget(id);
        connections.forget(each->report.address);
    }
    std::erase_if(m_kept_backoffs, [&](const auto& each) { return each.second.until <= now; });
}

void host_state::handle_listed_replica(const endpoint_report& report)
{
    limits.forget_older_incarnations(report.id, report.incarnation);
    const auto found = m_kept_backoffs.find(report.id);
    if (found == m_kept_backoffs.end() || endpoints.find(report.id) == nullptr) {
        return;
    }
    const auto now = timers.now();
    if (found->second.incarnation == report.incarnation && now < found->second.until) {
        const auto time = std::chrono::ceil<milliseconds>(found->second.until - now);
        engines.state(report.id).health.record_backoff(time, now);
        replicas.state(report.id).health.record_backoff(time, now);
    }
    m_kept_backoffs.erase(found);
}

endpoint_health& host_state::health_of(const endpoint& replica, bool is_engine)
{
    const auto& id = replica.report.id;
    return is_engine ? engines.state(id).health : replicas.state(id).health;
}

std::optional<time_point> host_state::earliest_acceptance_time(const std::string& service_name)
{
    const auto* target = deployed != nullptr ? deployed->find_service(service_name) : nullptr;
    const bool has_engines = target != nullptr && target->engines;
    std::optional<time_point> out;
    for (const auto& each : endpoints.serving(service_name)) {
        if (accepts_request(*each, has_engines)) {
            continue;
        }
        const auto& id = each->report.id;
        const auto sending = limits.next_send_time(id, place_for(id), timers.now());
        if (sending) {
            const auto wanted = std::max(*sending, health_of(*each, has_engines).backoff_until());
            out = std::min(out.value_or(time_point::max()), wanted);
        }
    }
    return out;
}

bool host_state::accept_store_answer(const history::epoch_statement& stated)
{
    const auto before = store_history.epoch();
    const auto related = store_history.observe(stated, timers.now());
    switch (related) {
    case history::store_history::relation::newer:
        spdlog::warn("store_returned epoch_before={} epoch={} generation={} "
                     "effect=\"all lists are read anew\" configuration_{} endpoints_{}",
                     before.value_or(0), *stated.epoch, store_history.generation(),
                     to_fields(configuration_position, timers.now()),
                     to_fields(endpoints_position, timers.now()));
        return true;
    case history::store_history::relation::older:
    case history::store_history::relation::unknown:
        if ((stated.is_stated || before) && epoch_log_budget.try_acquire(timers.now())) {
            spdlog::warn("store_epoch_unusable reason={} stated={} known={} effect=\"the known one "
                         "is kept\" "
                         "passed_over={}",
                         !stated.is_stated ? "missing"
                         : stated.epoch    ? "older"
                                           : "unreadable",
                         stated.epoch.value_or(0), before.value_or(0),
                         epoch_log_budget.take_suppressed_count());
        }
        return related != history::store_history::relation::older;
    case history::store_history::relation::current:
        break;
    }
    return true;
}

void host_state::record_unannounced_return(feed of, std::string_view evidence)
{
    store_history.record_unannounced_return(timers.now());
    spdlog::warn("store_returned_unannounced feed={} evidence=\"{}\" generation={} "
                 "effect=\"all lists are read anew\"",
                 to_string(of), evidence, store_history.generation());
}

bool host_state::is_store_refilling(time_point now) const noexcept
{
    const auto returned = store_history.last_return();
    return returned && now - *returned < history::store_history::refill_time;
}

void host_state::log_accounts() const
{
    const auto* keys = deployed != nullptr ? deployed->keys() : nullptr;
    if (keys != nullptr) {
        spdlog::info("accounts version={} accounts={} keys={} accepted={} anonymous={} "
                     "unknown_key={} stale_view={} relayed={} over_share={}",
                     deployed->version(), keys->account_count(), keys->key_count(),
                     authentications.accepted, authentications.anonymous,
                     authentications.unknown_key, authentications.stale_view,
                     authentications.relayed, authentications.over_share);
    }
}

std::uint64_t host_state::begin_work(const engine_work& work)
{
    const auto id = ++last_work_id;
    fleet.begin(0, id, work, timers.now());
    if (gossip != nullptr) {
        gossip->announce_work_start(id, work);
    }
    return id;
}

void host_state::end_work(std::uint64_t id, double observed)
{
    const auto ended = fleet.end(0, id, timers.now());
    if (ended) {
        engines.record_result(*ended, observed, timers.now());
    }
    if (gossip != nullptr) {
        gossip->announce_work_end(id, ended && ended->is_prefill, ended ? observed : 0);
    }
}

} // namespace cicadaport::serving
