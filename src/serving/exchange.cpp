#include "cicadaport/serving/exchange.h"

#include "cicadaport/serving/single_call.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

using transport::exchange_failure;

// An endpoint stops at the deadline and then reports that. The host waits this much longer
// for the report.
constexpr milliseconds deadline_grace{30};
// With less time left than this, a further attempt can't succeed.
constexpr milliseconds min_useful_time{15};
// Endpoints that may fail to connect before a request is rejected.
constexpr std::uint32_t max_connect_attempts = 6;
// The timeout of an attempt's first bytes, as a fraction of the route's latency objective.
// The rest of the objective must suffice for another replica.
constexpr double answer_timeout_fraction = 0.55;
// The timeout of an engine's answer, as a multiple of the predicted time.
constexpr double engine_timeout_ratio = 4;
constexpr milliseconds min_prefill_timeout{900};
// A resumable stream continues on another replica after a silence of this many times the
// inter-token latency objective. Callers disconnect after 8 times the objective.
constexpr int silence_timeout_ratio = 4;
constexpr milliseconds min_silence_timeout{600};
// Retry-After times: when a service has no usable endpoint, and when it is overloaded.
constexpr milliseconds retry_after_no_endpoint{400};
constexpr milliseconds retry_after_overload{250};
// Difference in urgency between two adjacent route priorities.
constexpr std::uint32_t urgency_step = 2;
// Unsent bytes to a slow caller above which reading from the endpoint pauses.
constexpr std::size_t max_unsent_bytes = 128 * 1024;

// An engine that crashes on a prompt does so before its answer has lasted this long.
constexpr milliseconds answer_beginning_time{50};
// Callers of a quarantined prompt are asked to wait for at most this time.
constexpr milliseconds max_quarantine_retry_after{60'000};

// Larger answers, and larger events of a stream, are aborted.
constexpr std::size_t max_answer_bytes = 8 * 1024 * 1024;
constexpr std::size_t max_event_bytes = 1024 * 1024;

constexpr std::size_t max_logged_path_length = 120;
constexpr std::size_t max_logged_segments = 16;

constexpr unsigned first_final_status = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

// Returns whether the status tells callers that the request has not run.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == status_misdirected || status == 429 ||
           status == status_unavailable;
}

// Returns the ids of the prompt's segments in hexadecimal, separated by commas.
std::string to_text(const std::vector<prompt_segment>& prompt)
{
    std::string out;
    for (std::size_t index = 0; index < prompt.size() && index < max_logged_segments; ++index) {
        fmt::format_to(std::back_inserter(out), "{}{:x}", index > 0 ? "," : "", prompt[index].id);
    }
    return out;
}

// Returns the ids of the segments that other requests may share: all but the last one.
std::vector<segment_id> shared_segments_of(const std::vector<prompt_segment>& prompt)
{
    std::vector<segment_id> out;
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        if (out.size() == prompt_quarantine::max_segments_per_request) {
            spdlog::warn("prompt_segments_not_considered count={}", prompt.size() - index - 1);
            break;
        }
        out.push_back(prompt[index].id);
    }
    return out;
}

} // namespace

exchange::exchange(host_state& host, caller_port& caller, transport::message_head head,
                   std::string body)
    : m_host{host}, m_caller{&caller}, m_head{std::move(head)}, m_body{std::move(body)},
      m_arrived{host.timers.now()}
{
}

exchange::~exchange() = default;

void exchange::start()
{
    m_self = shared_from_this();
    if (find_route()) {
        m_deadline_timer =
            m_host.timers.call_at(m_deadline + deadline_grace, [this] { handle_deadline(); });
        place();
    }
}

bool exchange::find_route()
{
    try {
        m_metadata = m_host.wire.read_request(m_head);
    }
    catch (const invalid_request& error) {
        fail(status_bad_request, error.what());
        return false;
    }
    m_deployment = m_host.deployed;
    if (m_deployment == nullptr) {
        reject(retry_after_no_endpoint, "no configuration yet");
        return false;
    }
    m_route = m_deployment->find_route(m_metadata.host, m_metadata.path);
    if (m_route == nullptr) {
        log_unrouted();
        const auto age = m_host.configuration_position.age(m_arrived);
        if (age && *age <= m_host.max_apply_delay) {
            fail(status_not_found, "no such route");
        }
        else {
            reject(retry_after_no_endpoint, "no such route when the configuration was last read");
        }
        return false;
    }
    const auto point = std::uniform_real_distribution<double>{0, 1}(m_host.random);
    m_service = deployment::pick_service(*m_route, point);
    m_deadline = m_arrived +
                 std::min(m_metadata.time_left.value_or(m_route->time_limit), m_route->time_limit);
    m_host.budget.count_request(m_service, m_arrived);
    if (m_route->has_prompt) {
        m_size = m_host.sizes.classify(m_route->name, m_metadata.prompt_tokens);
        m_shared_segments = shared_segments_of(m_metadata.prompt);
    }
    return true;
}

bool exchange::reject_if_quarantined()
{
    const auto evidence = m_host.crashes.max_evidence(m_shared_segments);
    if (m_admitted_evidence && evidence <= *m_admitted_evidence) {
        return false;
    }
    m_admitted_evidence = evidence;
    const auto rejected = m_host.crashes.check(m_shared_segments, m_metadata.id);
    if (!rejected) {
        return false;
    }
    ++m_host.counts.quarantined;
    const auto left =
        std::chrono::duration_cast<milliseconds>(rejected->retry_at - m_host.timers.now());
    reject(std::clamp(left, retry_after_no_endpoint, max_quarantine_retry_after),
           "engines crash on this prompt");
    return true;
}

void exchange::cancel(const segment_verdict& verdict)
{
    const auto keep = shared_from_this();
    ++m_host.counts.quarantined;
    spdlog::info("request_cancelled id={} endpoint={} segment={:x} crashes={} running_ms={:.0f}",
                 m_metadata.id, m_endpoint->report.id, verdict.segment, verdict.crashes,
                 fractional_milliseconds{m_host.timers.now() - m_sent}.count());
    fail(status_bad_gateway, "engines crash on this prompt");
}

void exchange::record_survival()
{
    if (!m_run_survived && m_route->has_prompt) {
        m_run_survived = true;
        m_host.crashes.handle_answer(m_shared_segments, m_metadata.id);
    }
}

void exchange::report_interrupted_answer()
{
    const bool is_beginning = m_run_first_event == time_point{} ||
                              m_host.timers.now() - m_run_first_event < answer_beginning_time;
    if (m_route->has_prompt) {
        const std::span<const segment_id> suspected = m_shared_segments;
        m_host.crashes.handle_interrupted_answer(
            *m_endpoint, is_beginning && !m_run_survived ? suspected : suspected.first(0),
            m_metadata.id);
    }
}

void exchange::log_unrouted() const
{
    if (m_host.unrouted_log_budget.try_acquire(m_arrived)) {
        spdlog::info("request_unrouted id={} host={} path={} version={} passed_over={} {}",
                     m_metadata.id, m_metadata.host,
                     std::string_view{m_metadata.path}.substr(0, max_logged_path_length),
                     m_deployment->version(), m_host.unrouted_log_budget.take_suppressed_count(),
                     to_fields(m_host.configuration_position, m_arrived));
    }
}

milliseconds exchange::remaining_time() const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - m_host.timers.now());
}

void exchange::place()
{
    const auto* target = m_deployment->find_service(m_service);
    if (remaining_time() < min_useful_time) {
        handle_deadline();
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
    const auto now = m_host.timers.now();
    const auto& replicas = m_host.endpoints.serving(m_service);
    const auto chosen = m_host.replicas.choose(
        replicas, m_host.availability_zone, m_host.excluded_endpoints(m_excluded),
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
    query.urgency = std::min(m_route->priority * urgency_step, late_urgency - 1);
    if (target.engines) {
        query.bytes_per_token = target.engines->bytes_per_token;
        query.link_mbps = target.engines->link_mbps;
        query.memory_tokens = target.engines->memory_tokens;
    }
    query.availability_zone = m_host.availability_zone;
    query.now = m_host.timers.now();
    query.excluded = &m_host.excluded_endpoints(m_excluded);
    query.pause_objective = m_route->pause_objective;
    query.has_many_events = m_host.events.has_many(m_route->name);
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
    const auto& engines = m_host.engines_of(m_service);
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
    prompt.patience = std::min<fractional_milliseconds>(
        remaining_time(), m_arrived + m_route->caller_patience - query.now);
    m_host.late.record_prefill_time(m_route->name, prompt.prefill_time);
    const bool admitted = query.urgency == late_urgency ? m_host.late.admits(m_route->name, prompt)
                                                        : late_admission::can_be_served(prompt);
    if (!admitted) {
        reject(retry_after_overload, "no engine in time");
    }
    return !admitted;
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

void exchange::send(step what, const endpoint_pointer& to, const run_parameters& parameters)
{
    auto complete = parameters;
    complete.endpoint = to->report.id;
    complete.time_left = std::max(remaining_time(), milliseconds{1});
    m_step = what;
    m_endpoint = to;
    m_address = to->report.address;
    m_sent = m_host.timers.now();
    m_answer.reset();
    m_answer_body.clear();
    m_events.restart();
    m_run_first_event = time_point{};
    m_run_survived = false;
    const bool once = m_route->repeats == repeat_rule::once && what == step::running;
    m_connection = m_host.connections.take(m_address, once ? transport::reuse_rule::certain
                                                           : transport::reuse_rule::any);
    if (what == step::running) {
        ++m_attempts;
        m_earlier_may_have_run = m_earlier_may_have_run || m_attempt_may_have_run;
        m_attempt_may_have_run = true;
    }
    m_host.limits.count_sent(to->report.id, what == step::prefilling);
    if (what == step::running && m_route->has_prompt) {
        m_host.crashes.add_pending(*this);
    }
    m_connection->send(m_host.wire.run_request(m_head, m_body, complete), *this);
}

bool exchange::owns(const transport::message_head& head)
{
    if (head.status < first_final_status) {
        return false;
    }
    const auto metadata = m_host.wire.read_answer(head);
    return metadata.request_id ? *metadata.request_id == m_metadata.id : !is_success(head.status);
}

void exchange::on_head(transport::message_head head)
{
    m_answer_metadata = m_host.wire.read_answer(head);
    m_answer_confirmed = m_answer_metadata.request_id || m_connection->is_first_exchange();
    m_answer = std::move(head);
    m_host.apply_response_terms(*m_endpoint, m_route->has_prompt, m_answer->status,
                                m_answer_metadata, m_metadata.id, m_sent);
}

void exchange::on_body(std::string_view piece)
{
    const auto keep = shared_from_this();
    const bool forwarded = m_step == step::running && m_route->streamed &&
                           is_success(m_answer->status) && m_answer_metadata.is_signed &&
                           !m_answer_metadata.is_encoded;
    if (!forwarded) {
        m_answer_body += piece;
        enforce_answer_limit(m_answer_body.size(), max_answer_bytes);
        return;
    }
    m_events.feed(piece);
    forward_events(false);
    enforce_answer_limit(m_events.pending_bytes(), max_event_bytes);
}

void exchange::enforce_answer_limit(std::size_t bytes, std::size_t max_bytes)
{
    if (m_connection == nullptr || bytes <= max_bytes) {
        return;
    }
    if (m_host.response_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::warn("answer_too_large id={} endpoint={} bytes={} passed_over={}", m_metadata.id,
                     m_endpoint->report.id, bytes,
                     m_host.response_log_budget.take_suppressed_count());
    }
    m_connection->abandon();
    on_failure(exchange_failure::cut_short);
}

void exchange::forward_events(bool at_end)
{
    const auto events = m_events.take_complete();
    if (events.empty() && !at_end) {
        return;
    }
    if (!m_answer_started) {
        m_answer_started = true;
        m_answer_timer.cancel();
        if (m_route->has_prompt) {
            end_prefill();
            const fractional_milliseconds observed = m_host.timers.now() - m_sent;
            if (!m_kv_cache) {
                m_host.engines.record_time(m_endpoint->report.id, m_plan.prefill_latency, observed);
            }
        }
        m_caller->begin(m_answer->status, m_answer->fields);
    }
    if (!events.empty()) {
        record_event();
        if (m_route->resumable && !m_answer_timer.is_set()) {
            start_silence_timeout();
        }
        m_caller->write(events);
    }
    if (m_caller != nullptr && m_caller->unsent() > max_unsent_bytes) {
        on_caller_blocked();
    }
}

void exchange::record_event()
{
    const auto now = m_host.timers.now();
    auto& engine = m_host.engines.state(m_endpoint->report.id);
    if (m_run_first_event == time_point{}) {
        m_run_first_event = now;
        m_host.crashes.remove_pending(*this);
    }
    else if (now - m_run_first_event >= answer_beginning_time) {
        record_survival();
    }
    if (m_first_event == time_point{}) {
        m_first_event = now;
        record_decode_wait();
    }
    else {
        m_longest_pause = std::max(m_longest_pause, now - m_last_event);
        engine.pause.record(now - m_last_event, now);
    }
    m_last_event = now;
}

void exchange::record_decode_wait()
{
    if (m_kv_cache && m_endpoint != nullptr) {
        const auto now = m_host.timers.now();
        m_host.engines.state(m_endpoint->report.id).decode_start_delay.record(now - m_sent, now);
    }
}

void exchange::log_end(std::string_view result, std::string_view reason) const
{
    if (!spdlog::should_log(spdlog::level::debug)) {
        return;
    }
    const auto ms = [](clock::duration time) { return fractional_milliseconds{time}.count(); };
    const auto first = m_first_event == time_point{} ? time_point{m_arrived} : m_first_event;
    spdlog::debug(
        "request_ended id={} route={} version={} result={} reason=\"{}\" attempts={} "
        "endpoint={} reader={} tokens={} urgency={} predicted_ms={:.1f} first_event_ms={:.1f} "
        "longest_pause_ms={:.1f} total_ms={:.1f} events={}",
        m_metadata.id, m_route != nullptr ? m_route->name : "",
        m_deployment != nullptr ? m_deployment->version() : 0, result, reason, m_attempts,
        m_endpoint ? m_endpoint->report.id : "",
        m_plan.prefill_engine ? m_plan.prefill_engine->report.id : "", m_metadata.prompt_tokens,
        m_plan.urgency, m_plan.first_event.count(), ms(first - m_arrived), ms(m_longest_pause),
        ms(m_host.timers.now() - m_arrived), m_events.count());
}

void exchange::on_complete()
{
    m_host.crashes.remove_pending(*this);
    m_answer_timer.cancel();
    if (m_answer_confirmed) {
        m_host.connections.give_back(m_address, std::exchange(m_connection, nullptr));
    }
    else {
        // The request's own answer may still arrive on this connection.
        std::exchange(m_connection, nullptr)->abandon();
    }
    if (m_step == step::prefilling) {
        handle_prefill_answer();
    }
    else {
        handle_run_answer();
    }
}

void exchange::handle_prefill_answer()
{
    const fractional_milliseconds observed = m_host.timers.now() - m_sent;
    end_prefill();
    if (!is_success(m_answer->status)) {
        handle_prefill_failure();
        return;
    }
    auto handle = m_host.wire.read_kv_handle(m_answer_body);
    if (!handle) {
        handle_prefill_failure();
        return;
    }
    spdlog::debug(
        "prompt_read id={} engine={} tokens={:.0f} pairs_millions={:.1f} fetching_ms={:.1f} "
        "wait_ms={:.1f} predicted_ms={:.1f} observed_ms={:.1f}",
        m_metadata.id, m_endpoint->report.id, m_plan.prefilled_tokens, m_plan.prefilled_pairs / 1e6,
        m_plan.prefix_transfer_time.count(), (m_plan.prefill_latency - m_plan.prefill_time).count(),
        m_plan.prefill_latency.count(), observed.count());
    auto& state = m_host.engines.state(m_endpoint->report.id);
    state.health.record_success(m_host.timers.now());
    m_host.engines.record_prefill_time(m_endpoint->report.id, m_plan, observed);
    m_kv_cache = prompt_kv_cache{m_address, std::move(*handle)};
    if (reject_if_quarantined()) {
        return;
    }
    const auto& decode_engine = *m_plan.decode_engine;
    if (decode_engine.gone || !m_host.accepts_request(decode_engine, true)) {
        place();
        return;
    }
    send_run(m_plan.decode_engine, m_kv_cache);
}

void exchange::handle_prefill_failure()
{
    end_prefill();
    m_host.engines.state(m_endpoint->report.id).health.record_failure(m_host.timers.now());
    m_excluded.insert(m_endpoint->report.id);
    // A prefill counts as an attempt unless it succeeds. The request itself has not been
    // sent to be run.
    ++m_attempts;
    if (!retry_elsewhere()) {
        reject(retry_after_overload, "the engine read no prompt");
    }
}

void exchange::handle_run_answer()
{
    const auto now = m_host.timers.now();
    const auto status = m_answer->status;
    const bool genuine =
        !is_success(status) || (m_answer_metadata.is_signed && !m_answer_metadata.is_encoded);
    auto& health = health_of_endpoint();
    if (!m_answer_confirmed) {
        handle_run_failure();
        return;
    }
    if (!is_success(status) && (m_answer_metadata.states_not_run || status == status_misdirected)) {
        handle_run_rejection();
        return;
    }
    if (!genuine) {
        health.record_failure(now);
        handle_run_failure();
        return;
    }
    if (is_success(status) && m_route->streamed && m_events.is_inside_event()) {
        // The engine broke the stream off.
        on_failure(exchange_failure::cut_short);
        return;
    }
    if (is_success(status)) {
        health.record_success(now);
        record_survival();
        if (m_kv_cache && m_plan.prefill_engine) {
            m_host.engines.state(m_plan.prefill_engine->report.id)
                .kv_transfer_health.record_success(now);
        }
        m_kv_cache.reset();
        m_served = true;
        log_end("answered", "");
        ++m_host.counts.answered;
        if (m_route->streamed) {
            forward_events(true);
            m_host.events.learn(m_route->name, m_events.count());
            if (m_caller != nullptr) {
                m_caller->finish();
            }
        }
        else {
            m_caller->answer(status, m_answer->fields, m_answer_body);
        }
        finish();
        return;
    }
    if (status >= 500) {
        health.record_failure(now);
    }
    m_excluded.insert(m_endpoint->report.id);
    const bool may_repeat = m_route->repeats == repeat_rule::any && status >= 500;
    if (may_repeat && !m_answer_started && retry_elsewhere()) {
        return;
    }
    if (m_answer_started) {
        fail(status_bad_gateway, "the stream could not be continued");
        return;
    }
    if (promises_not_run(status)) {
        // The endpoint has not stated that the request did not run, so the status, which
        // would tell the caller so, is not forwarded.
        fail(status_bad_gateway, "the replica failed");
        return;
    }
    ++m_host.counts.failed;
    m_caller->answer(status, m_answer->fields, m_answer_body);
    finish();
}

void exchange::handle_run_rejection()
{
    const auto now = m_host.timers.now();
    m_attempt_may_have_run = false;
    end_prefill();
    m_excluded.insert(m_endpoint->report.id);
    if (m_route->has_prompt) {
        m_host.engines.state(m_endpoint->report.id).health.record_failure(now);
    }
    if (m_kv_cache && m_plan.prefill_engine) {
        // Either the decode engine accepts no work, or the KV transfer failed.
        auto& memory = m_host.engines.state(m_plan.prefill_engine->report.id).kv_transfer_health;
        memory.record_failure(now);
        if (memory.is_ejected(now)) {
            release_held_kv_cache();
        }
    }
    if (retry_elsewhere()) {
        return;
    }
    if (m_answer_started) {
        fail(status_bad_gateway, "the stream could not be continued");
    }
    else {
        reject(retry_after_overload, "the replica took no request");
    }
}

void exchange::handle_run_failure()
{
    end_prefill();
    release_held_kv_cache();
    m_excluded.insert(m_endpoint->report.id);
    if (m_route->repeats == repeat_rule::any &&
        m_host.crashes.may_retry_after_crash(m_shared_segments) && retry_elsewhere()) {
        return;
    }
    fail(status_bad_gateway, "the replica gave no whole answer");
}

endpoint_health& exchange::health_of_endpoint()
{
    return m_host.health_of(*m_endpoint, m_route->has_prompt);
}

milliseconds exchange::retry_after_without_replica() const
{
    const auto first = m_host.earliest_acceptance_time(m_service);
    return first ? std::max(std::chrono::duration_cast<milliseconds>(*first - m_host.timers.now()),
                            retry_after_no_endpoint)
                 : retry_after_no_endpoint;
}

void exchange::log_interrupted_run() const
{
    const auto now = m_host.timers.now();
    if (!m_host.response_log_budget.try_acquire(now)) {
        return;
    }
    spdlog::info("run_interrupted id={} route={} endpoint={} incarnation={} attempt={} "
                 "running_ms={:.0f} events={} prompt={} passed_over={}",
                 m_metadata.id, m_route->name, m_endpoint->report.id,
                 m_endpoint->report.incarnation, m_attempts,
                 fractional_milliseconds{now - m_sent}.count(), m_events.count(),
                 to_text(m_metadata.prompt), m_host.response_log_budget.take_suppressed_count());
}

bool exchange::try_acquire_attempt()
{
    if (m_attempts >= m_route->max_attempts || remaining_time() < min_useful_time ||
        !m_host.budget.try_acquire(m_service, m_host.timers.now())) {
        return false;
    }
    ++m_host.counts.retries;
    return true;
}

bool exchange::retry_elsewhere()
{
    if (!try_acquire_attempt()) {
        return false;
    }
    release_endpoint();
    place();
    return true;
}

void exchange::on_failure(exchange_failure failure)
{
    m_answer_timer.cancel();
    m_host.crashes.remove_pending(*this);
    m_connection.reset();
    const auto now = m_host.timers.now();
    auto& health = health_of_endpoint();
    if (failure == exchange_failure::not_sent) {
        health.record_unreachable(now);
        end_prefill();
        m_excluded.insert(m_endpoint->report.id);
        if (m_step == step::running) {
            --m_attempts;
            m_attempt_may_have_run = m_answer_started;
        }
        else {
            m_kv_transfer_attempted = false;
        }
        if (++m_connect_attempts < max_connect_attempts) {
            release_endpoint();
            place();
        }
        else {
            reject(retry_after_no_endpoint, "no replica could be reached");
        }
        return;
    }
    health.record_failure(now);
    if (m_step == step::prefilling) {
        handle_prefill_failure();
    }
    else {
        log_interrupted_run();
        report_interrupted_answer();
        handle_run_failure();
    }
}

void exchange::start_answer_timeout(fractional_milliseconds time)
{
    const auto limit = std::chrono::duration_cast<clock::duration>(time);
    m_answer_timer = m_host.timers.call_at(m_host.timers.now() + limit, [this, limit] {
        auto& health = health_of_endpoint();
        const auto now = m_host.timers.now();
        if (m_route->has_prompt && health.has_answered_since(now - limit)) {
            // The engine has answered other requests in this time, so this one is still
            // queued there.
            start_answer_timeout(fractional_milliseconds{limit});
            return;
        }
        health.record_failure(now);
        handle_answer_timeout();
    });
}

void exchange::start_silence_timeout()
{
    const auto limit =
        std::max(silence_timeout_ratio * m_route->pause_objective, min_silence_timeout);
    const auto silent_since = std::max(m_last_event, m_silence_start);
    m_answer_timer = m_host.timers.call_at(silent_since + limit, [this, limit] {
        const auto now = m_host.timers.now();
        auto& health = health_of_endpoint();
        if (now - m_last_event < limit || health.has_answered_since(now - limit)) {
            m_silence_start = now - limit / 2;
            start_silence_timeout();
            return;
        }
        health.record_failure(now);
        m_excluded.insert(m_endpoint->report.id);
        if (!retry_elsewhere()) {
            spdlog::debug("stream_silent id={} endpoint={}", m_metadata.id, m_endpoint->report.id);
        }
    });
}

void exchange::handle_answer_timeout()
{
    if (m_step == step::prefilling) {
        // Giving up an engine that has not answered counts as an attempt, so a second one
        // must be left for the run itself.
        if (m_attempts + 1 < m_route->max_attempts && try_acquire_attempt()) {
            ++m_attempts;
            m_excluded.insert(m_endpoint->report.id);
            release_endpoint();
            end_prefill();
            place();
        }
        return;
    }
    const bool may_repeat = m_route->repeats == repeat_rule::any;
    if (!m_answer_started && may_repeat && !m_answer) {
        m_excluded.insert(m_endpoint->report.id);
        if (try_acquire_attempt()) {
            release_endpoint();
            end_prefill();
            release_held_kv_cache();
            place();
        }
    }
}

void exchange::handle_deadline()
{
    release_endpoint();
    if (m_answer_started || may_have_run()) {
        fail(status_timeout, "out of time");
    }
    else {
        reject(retry_after_overload, "out of time");
    }
}

void exchange::on_caller_disconnected()
{
    if (m_caller == nullptr) {
        return;
    }
    ++m_host.counts.client_disconnects;
    log_end("caller_left", "");
    if (m_step == step::running && m_first_event == time_point{}) {
        record_decode_wait();
    }
    m_caller = nullptr;
    finish();
}

void exchange::on_caller_blocked()
{
    if (m_connection != nullptr) {
        m_connection->pause_reading();
    }
}

void exchange::on_caller_drained()
{
    if (m_connection != nullptr) {
        m_connection->resume_reading();
    }
}

void exchange::release_endpoint()
{
    m_answer_timer.cancel();
    if (m_decode_work != 0) {
        m_host.end_work(std::exchange(m_decode_work, 0));
    }
    if (m_endpoint != nullptr && !m_route->has_prompt && m_step == step::running) {
        auto& in_flight = m_host.replicas.state(m_endpoint->report.id).in_flight;
        in_flight -= in_flight > 0 ? 1 : 0;
    }
    m_step = step::idle;
    m_host.crashes.remove_pending(*this);
    if (m_connection != nullptr) {
        std::exchange(m_connection, nullptr)->abandon();
    }
}

void exchange::release_held_kv_cache()
{
    if (!m_kv_cache) {
        return;
    }
    const auto prompt = *std::exchange(m_kv_cache, std::nullopt);
    const auto& prefill_engine = m_plan.prefill_engine;
    if (prefill_engine != nullptr && !m_host.accepts_request(*prefill_engine, true)) {
        spdlog::debug("prompt_not_released engine={} reason=\"engine accepts no requests\"",
                      prefill_engine->report.id);
        return;
    }
    if (prefill_engine != nullptr) {
        m_host.limits.count_call(prefill_engine->report.id);
    }
    release_kv_cache(m_host, prompt);
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

void exchange::end_prefill()
{
    if (m_prefill_work != 0) {
        m_host.end_work(std::exchange(m_prefill_work, 0));
    }
}

void exchange::reject(milliseconds pause, std::string_view reason)
{
    if (m_answer_started || may_have_run()) {
        fail(status_bad_gateway, reason);
        return;
    }
    ++m_host.counts.refused;
    log_end("refused", reason);
    // Random jitter: callers rejected at the same time retry between one and two pauses
    // later.
    const auto spread =
        pause +
        milliseconds{std::uniform_int_distribution<std::int64_t>{0, pause.count()}(m_host.random)};
    http::field_list fields;
    const auto again = m_host.wire.make_retry_after_field(spread);
    fields.add(again.name, again.value);
    const auto identity = m_host.wire.make_request_id_field(m_metadata.id);
    fields.add(identity.name, identity.value);
    m_caller->answer(status_unavailable, fields, reason);
    finish();
}

void exchange::fail(unsigned status, std::string_view reason)
{
    if (m_answer_started) {
        ++m_host.counts.cut;
        m_caller->cut();
    }
    else {
        ++m_host.counts.failed;
        http::field_list fields;
        if (!m_metadata.id.empty()) {
            const auto identity = m_host.wire.make_request_id_field(m_metadata.id);
            fields.add(identity.name, identity.value);
        }
        m_caller->answer(status, fields, reason);
    }
    log_end(fmt::format("failed_{}", status), reason);
    finish();
}

void exchange::finish()
{
    const auto keep = std::exchange(m_self, nullptr);
    m_caller = nullptr;
    m_deadline_timer.cancel();
    if (m_route != nullptr) {
        if (m_route->has_prompt) {
            m_host.sizes.record_outcome(m_route->name, m_size, m_served);
        }
        release_endpoint();
        end_prefill();
        release_held_kv_cache();
    }
}

} // namespace cicadaport::serving
