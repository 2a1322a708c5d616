// Chooses endpoints for a request and sends it to them.
#include "cicadaport/serving/exchange.h"

#include "internal/exchange_constants.h"

namespace cicadaport::serving {
namespace {

// The timeout of an attempt's first bytes, as a fraction of the route's latency objective.
// The rest of the objective must suffice for another replica.
constexpr double answer_timeout_fraction = 0.55;
// The timeout of an engine's answer, as a multiple of the predicted time.
constexpr double engine_timeout_ratio = 4;
constexpr milliseconds min_prefill_timeout{900};
// Difference in urgency between two adjacent route priorities.
constexpr std::uint32_t urgency_step = 2;

// Returns the work that a prompt costs its account. A prompt whose prefix is in the KV cache also
// occupies an engine.
double work_of(fractional_milliseconds prefill_time)
{
    constexpr fractional_milliseconds least{1};
    return std::max(prefill_time, least).count();
}

} // namespace

void exchange::place()
{
    const auto* target = m_deployment->find_service(m_service);
    exclude_other_versions();
    if (remaining_time() < min_useful_time) {
        handle_deadline();
    }
    else if (m_host.paths.is_cut_off() && relay()) {
        return;
    }
    else if (lacks_origin()) {
        find_origin();
    }
    else if (m_route->has_prompt && target != nullptr && target->engines) {
        place_prompt(*target);
    }
    else {
        place_plain(target);
    }
}

void exchange::place_plain(const service* target)
{
    if (reject_if_quarantined()) {
        return;
    }
    const auto now = m_host.timers.now();
    const auto& replicas = m_host.endpoints.serving(m_service);
    auto excluded = m_excluded;
    excluded.insert(m_other_versions.begin(), m_other_versions.end());
    const auto chosen = m_host.replicas.choose(
        replicas, m_host.availability_zone, m_host.excluded_endpoints(excluded),
        target != nullptr ? m_host.connection_share(*target) : service{}.max_connections, now,
        m_host.random);
    if (chosen == nullptr) {
        reject(retry_after_without_replica(), "no replica to use");
        return;
    }
    send_run(chosen, std::nullopt);
}

prompt_query exchange::make_prompt_query(const service& target) const
{
    prompt_query query;
    query.prompt = &m_metadata.prompt;
    query.prompt_tokens = m_metadata.prompt_tokens;
    query.urgency = std::min(m_priority * urgency_step, late_urgency - 1);
    if (target.engines) {
        query.bytes_per_token = target.engines->bytes_per_token;
        query.link_mbps = target.engines->link_mbps;
        query.memory_tokens = target.engines->memory_tokens;
    }
    query.availability_zone = m_host.availability_zone;
    query.now = m_host.timers.now();
    query.excluded = &m_host.excluded_endpoints(m_excluded);
    query.excluded_from_decode = &m_other_versions;
    query.pause_objective = m_route->pause_objective;
    query.has_many_events = m_host.events.has_many(m_route->name);
    query.usual_events = m_host.events.usual(m_route->name);
    query.long_events = m_host.events.long_response(m_route->name);
    query.time_left = remaining_time();
    const bool alone = m_host.gossip == nullptr || m_host.gossip->peer_count() == 0;
    query.random = alone ? nullptr : &m_host.random;
    query.can_use_prefill_engine = !m_kv_transfer_attempted && !m_events.last_event_id();
    return query;
}

void exchange::place_prompt(const service& target)
{
    auto query = make_prompt_query(target);
    const auto now = query.now;
    if (reject_if_quarantined()) {
        return;
    }
    const auto& engines =
        m_origin ? m_host.endpoints.serving(m_service) : m_host.engines_of(m_service);
    if (m_kv_cache && m_plan.prefill_engine) {
        m_plan.decode_engine =
            m_host.engines.choose_decode_engine(query, *m_plan.prefill_engine, engines);
        if (m_plan.decode_engine == nullptr) {
            reject(retry_after_without_replica(), "no engine to use");
            return;
        }
        send_run(m_plan.decode_engine, m_kv_cache);
        return;
    }
    m_plan = m_host.engines.choose(query, engines);
    if (m_plan.decode_engine == nullptr) {
        reject(retry_after_without_replica(), "no engine to use");
        return;
    }
    const fractional_milliseconds waited = now - m_arrived;
    if (waited + m_plan.first_event > m_route->latency_objective &&
        !m_host.sizes.is_behind(m_route->name, m_size)) {
        // The first event is predicted to miss the latency objective. Requests that can
        // still meet theirs go first.
        query.urgency = late_urgency;
        m_plan = m_host.engines.choose(query, engines);
    }
    m_plan.urgency = query.urgency;
    if (m_attempts == 0 && reject_if_late(query)) {
        return;
    }
    if (m_plan.prefill_engine != nullptr) {
        send_prefill(m_plan);
    }
    else {
        begin_prefill(*m_plan.decode_engine);
        send_run(m_plan.decode_engine, std::nullopt);
    }
}

bool exchange::reject_if_late(const prompt_query& query)
{
    prompt_prediction prompt;
    prompt.wait = m_plan.prefill_latency - m_plan.prefill_time;
    prompt.prefill_time = m_plan.prefill_time;
    prompt.first_event = m_plan.first_event;
    prompt.stream_time = m_plan.stream_time;
    prompt.time_left = remaining_time();
    prompt.patience = std::min<fractional_milliseconds>(
        remaining_time(), m_arrived + m_route->caller_patience - query.now);
    m_host.late.record_prefill_time(m_route->name, prompt.prefill_time);
    const bool is_late = query.urgency == late_urgency;
    const bool over_share = is_over_share(prompt.prefill_time, is_late);
    const bool admitted = (is_late ? m_host.late.admits(m_route->name, prompt)
                                   : late_admission::can_be_served(prompt)) &&
                          !over_share;
    if (admitted && m_account_determined) {
        m_host.fairness.record_admission(m_account, work_of(prompt.prefill_time), query.now);
    }
    if (!admitted) {
        ++m_host.counts.refused_for_load;
        reject(retry_after_overload, "no engine in time");
    }
    return !admitted;
}

bool exchange::is_over_share(fractional_milliseconds work, bool is_late)
{
    if (!m_account_determined) {
        return false;
    }
    const auto now = m_host.timers.now();
    if (!std::exchange(m_demand_recorded, true)) {
        m_host.fairness.record_demand(m_account, work_of(work), now);
    }
    const bool out = is_late && m_host.fairness.is_over_share(m_account, now);
    m_host.authentications.over_share += out ? 1 : 0;
    return out;
}

void exchange::send_prefill(const prompt_plan& plan)
{
    m_kv_transfer_attempted = true;
    ++m_host.counts.handed_over;
    begin_prefill(*plan.prefill_engine);
    run_parameters parameters;
    parameters.only_prefill = true;
    parameters.urgency = plan.urgency;
    if (plan.prefix_source != nullptr) {
        parameters.prefix_source = plan.prefix_source->report.address;
    }
    const auto patience = std::max<fractional_milliseconds>(
        engine_timeout_ratio * plan.prefill_latency, min_prefill_timeout);
    start_answer_timeout(patience);
    send(step::prefilling, plan.prefill_engine, parameters);
}

void exchange::send_run(const endpoint_pointer& to, std::optional<prompt_kv_cache> from)
{
    run_parameters parameters;
    if (m_route->has_prompt) {
        parameters.urgency = m_plan.urgency;
        if (!from && m_plan.prefix_source != nullptr) {
            parameters.prefix_source = m_plan.prefix_source->report.address;
        }
    }
    parameters.from = std::move(from);
    parameters.after_event = m_events.last_event_id();
    const auto expected = m_route->has_prompt ? engine_timeout_ratio * m_plan.first_event
                                              : fractional_milliseconds{0};
    const auto patience = std::max<fractional_milliseconds>(
        expected, answer_timeout_fraction * fractional_milliseconds{m_route->latency_objective});
    start_answer_timeout(patience);
    if (m_route->has_prompt) {
        engine_work work;
        work.engine = engine_number(to->report.id);
        work.prefix_digest = engine_placement::shared_prefix_digest(m_metadata.prompt);
        if (parameters.from) {
            work.added_tokens = record_prompt_at(*to, fractional_milliseconds{0});
        }
        m_decode_work = m_host.begin_work(work);
    }
    else {
        ++m_host.replicas.state(to->report.id).in_flight;
    }
    send(step::running, to, parameters);
}

void exchange::begin_attempt(step what, const endpoint_pointer& to)
{
    m_step = what;
    m_endpoint = to;
    m_address = to->report.address;
    m_sent = m_host.timers.now();
    m_answer.reset();
    m_answer_body.clear();
    m_events.restart();
    m_run_first_event = time_point{};
    m_run_survived = false;
    const bool once = m_route->repeats == repeat_rule::once && what != step::prefilling;
    m_connection = m_answered_at.contains(m_address)
                       ? m_host.connections.open(m_address)
                       : m_host.connections.take(m_address, once ? transport::reuse_rule::certain
                                                                 : transport::reuse_rule::any);
}

void exchange::send(step what, const endpoint_pointer& to, const run_parameters& parameters)
{
    auto complete = parameters;
    complete.endpoint = to->report.id;
    complete.account = m_account;
    complete.time_left = std::max(remaining_time(), milliseconds{1});
    begin_attempt(what, to);
    if (what == step::running) {
        ++m_attempts;
        m_earlier_may_have_run = m_earlier_may_have_run || m_attempt_may_have_run;
        m_attempt_may_have_run = true;
    }
    m_host.limits.count_sent(to->report.id, what == step::prefilling);
    if (what == step::running && m_route->has_prompt) {
        m_host.crashes.add_pending(*this);
    }
    if (what == step::running) {
        log_continuation(*to);
    }
    m_connection->send(m_host.wire.run_request(m_head, m_body, complete), *this);
}

void exchange::begin_prefill(const endpoint& engine)
{
    engine_work work;
    work.engine = engine_number(engine.report.id);
    work.urgency = m_plan.urgency;
    work.prefill_time = m_plan.prefill_time;
    work.nominal_prefill_time = m_plan.nominal_prefill_time;
    work.prefix_digest = engine_placement::shared_prefix_digest(m_metadata.prompt);
    work.added_tokens = record_prompt_at(engine, m_plan.prefill_latency);
    m_prefill_work = m_host.begin_work(work);
}

double exchange::record_prompt_at(const endpoint& engine, fractional_milliseconds prefill_latency)
{
    const auto* target = m_deployment->find_service(m_service);
    return target != nullptr
               ? m_host.engines.record_prompt(make_prompt_query(*target), engine, prefill_latency)
               : 0;
}

void exchange::end_prefill(double time_ratio)
{
    if (m_prefill_work != 0) {
        m_host.end_work(std::exchange(m_prefill_work, 0), time_ratio);
    }
}

fractional_milliseconds exchange::observed_event_interval() const
{
    // Fewer intervals say little about the pace of an engine.
    constexpr std::size_t min_interval_count = 4;
    const auto count = m_events.count() - std::min(m_run_first_count, m_events.count());
    if (m_run_first_event == time_point{} || m_caller_was_blocked || count < min_interval_count) {
        return fractional_milliseconds{0};
    }
    return fractional_milliseconds{m_last_event - m_run_first_event} / static_cast<double>(count);
}

} // namespace cicadaport::serving
