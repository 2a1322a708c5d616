#include "cicadaport/serving/exchange.h"

#include "cicadaport/serving/single_call.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

using transport::exchange_failure;

// An endpoint ends its work at the time that it was given and says so; its
// answer is awaited for this long.
constexpr milliseconds answer_slack{30};
// With less time than this left, no further attempt can succeed.
constexpr milliseconds least_useful_time{15};
// Endpoints tried for one request that can't be connected to.
constexpr std::uint32_t most_connect_tries = 6;
// A first answer is awaited for this part of the objective before another
// replica is tried; what is left must suffice for it.
constexpr double patience_part = 0.55;
// Engines are given this many times what was predicted.
constexpr double engine_patience = 4;
constexpr milliseconds least_prompt_patience{900};
// A stream that has shown nothing for so many of its objective's pauses goes on
// elsewhere, if it may: callers leave after eight.
constexpr int silent_pauses = 4;
constexpr milliseconds least_silence{600};
// When callers may come back: after an empty service, and after a full one.
constexpr milliseconds pause_without_endpoint{400};
constexpr milliseconds pause_when_full{250};
// Urgencies between two priorities.
constexpr std::uint32_t urgency_step = 2;
// Bytes that wait for a slow caller before its endpoint is read no further.
constexpr std::size_t most_unsent = 128 * 1024;

// Larger answers, and larger events of a stream, are broken off.
constexpr std::size_t most_answer_bytes = 8 * 1024 * 1024;
constexpr std::size_t most_event_bytes = 1024 * 1024;

constexpr std::size_t longest_logged_path = 120;

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

// Statuses that promise that a request has not run.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == status_misdirected || status == 429 ||
           status == status_unavailable;
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
            m_host.timers.call_at(m_deadline + answer_slack, [this] { deadline_passed(); });
        place();
    }
}

bool exchange::find_route()
{
    try {
        m_terms = m_host.wire.read_request(m_head);
    }
    catch (const invalid_request& error) {
        fail(status_bad_request, error.what());
        return false;
    }
    m_deployment = m_host.deployed;
    if (m_deployment == nullptr) {
        refuse(pause_without_endpoint, "no configuration yet");
        return false;
    }
    m_route = m_deployment->find_route(m_terms.host, m_terms.path);
    if (m_route == nullptr) {
        tell_unrouted();
        const auto age = m_host.configuration_position.age(m_arrived);
        if (age && *age <= m_host.apply_time) {
            fail(status_not_found, "no such route");
        }
        else {
            refuse(pause_without_endpoint, "no such route when the configuration was last read");
        }
        return false;
    }
    const auto point = std::uniform_real_distribution<double>{0, 1}(m_host.random);
    m_service = deployment::pick_service(*m_route, point);
    m_deadline =
        m_arrived + std::min(m_terms.time_left.value_or(m_route->time_limit), m_route->time_limit);
    m_host.budget.count_request(m_service, m_arrived);
    if (m_route->has_prompt) {
        m_size = m_host.sizes.classify(m_route->name, m_terms.prompt_tokens);
    }
    return true;
}

void exchange::tell_unrouted() const
{
    if (m_host.unrouted_lines.take(m_arrived)) {
        spdlog::info("request_unrouted id={} host={} path={} version={} passed_over={} {}",
                     m_terms.id, m_terms.host,
                     std::string_view{m_terms.path}.substr(0, longest_logged_path),
                     m_deployment->version(), m_host.unrouted_lines.take_passed_over(),
                     to_fields(m_host.configuration_position, m_arrived));
    }
}

milliseconds exchange::left() const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - m_host.timers.now());
}

void exchange::place()
{
    const auto* target = m_deployment->find_service(m_service);
    if (left() < least_useful_time) {
        deadline_passed();
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
        replicas, m_host.availability_zone, m_host.closed_to(m_excluded),
        target != nullptr ? m_host.connection_share(*target) : service{}.most_connections, now,
        m_host.random);
    if (chosen == nullptr) {
        refuse(pause_until_return(), "no replica to use");
        return;
    }
    send_run(chosen, std::nullopt);
}

prompt_query exchange::make_prompt_query(const service& target) const
{
    prompt_query query;
    query.prompt = &m_terms.prompt;
    query.prompt_tokens = m_terms.prompt_tokens;
    query.urgency = std::min(m_route->priority * urgency_step, late_urgency - 1);
    if (target.engines) {
        query.bytes_per_token = target.engines->bytes_per_token;
        query.link_mbps = target.engines->link_mbps;
        query.memory_tokens = target.engines->memory_tokens;
    }
    query.availability_zone = m_host.availability_zone;
    query.now = m_host.timers.now();
    query.excluded = &m_host.closed_to(m_excluded);
    query.pause_objective = m_route->pause_objective;
    query.has_many_events = m_host.events.are_many(m_route->name);
    query.can_use_prefill_engine = !m_hand_over_tried && !m_events.last_event();
    return query;
}

void exchange::place_prompt(const service& target)
{
    auto query = make_prompt_query(target);
    const auto now = query.now;
    const auto& engines = m_host.engines_of(m_service);
    if (m_prompt && m_plan.prefill_engine) {
        m_plan.decode_engine =
            m_host.engines.choose_decode_engine(query, *m_plan.prefill_engine, engines);
        if (m_plan.decode_engine == nullptr) {
            refuse(pause_until_return(), "no engine to use");
            return;
        }
        send_run(m_plan.decode_engine, m_prompt);
        return;
    }
    m_plan = m_host.engines.choose(query, engines);
    if (m_plan.decode_engine == nullptr) {
        refuse(pause_until_return(), "no engine to use");
        return;
    }
    const fractional_milliseconds waited = now - m_arrived;
    if (waited + m_plan.first_event > m_route->latency_objective &&
        !m_host.sizes.is_behind(m_route->name, m_size)) {
        // It will be late: what can be in time goes first.
        query.urgency = late_urgency;
        m_plan = m_host.engines.choose(query, engines);
    }
    m_plan.urgency = query.urgency;
    if (m_attempts == 0 && refuse_late(query)) {
        return;
    }
    if (m_plan.prefill_engine != nullptr) {
        send_prompt(m_plan);
    }
    else {
        begin_reading(*m_plan.decode_engine);
        send_run(m_plan.decode_engine, std::nullopt);
    }
}

bool exchange::refuse_late(const prompt_query& query)
{
    late_prompt prompt;
    prompt.wait = m_plan.prefill_latency - m_plan.prefill_time;
    prompt.reading = m_plan.prefill_time;
    prompt.first_event = m_plan.first_event;
    prompt.patience =
        std::min<fractional_milliseconds>(left(), m_arrived + m_route->caller_patience - query.now);
    m_host.late.note(m_route->name, prompt.reading);
    const bool admitted = query.urgency == late_urgency ? m_host.late.admits(m_route->name, prompt)
                                                        : late_admission::can_be_served(prompt);
    if (!admitted) {
        refuse(pause_when_full, "no engine in time");
    }
    return !admitted;
}

void exchange::send_prompt(const prompt_plan& plan)
{
    m_hand_over_tried = true;
    ++m_host.counts.handed_over;
    begin_reading(*plan.prefill_engine);
    run_terms terms;
    terms.only_read_prompt = true;
    terms.urgency = plan.urgency;
    if (plan.prefix_source != nullptr) {
        terms.beginning_at = plan.prefix_source->report.address;
    }
    const auto patience = std::max<fractional_milliseconds>(engine_patience * plan.prefill_latency,
                                                            least_prompt_patience);
    be_patient(patience);
    send(step::reading_prompt, plan.prefill_engine, terms);
}

void exchange::send_run(const endpoint_pointer& to, std::optional<read_prompt> from)
{
    run_terms terms;
    if (m_route->has_prompt) {
        terms.urgency = m_plan.urgency;
        if (!from && m_plan.prefix_source != nullptr) {
            terms.beginning_at = m_plan.prefix_source->report.address;
        }
    }
    terms.from = std::move(from);
    terms.after_event = m_events.last_event();
    const auto expected =
        m_route->has_prompt ? engine_patience * m_plan.first_event : fractional_milliseconds{0};
    const auto patience = std::max<fractional_milliseconds>(
        expected, patience_part * fractional_milliseconds{m_route->latency_objective});
    be_patient(patience);
    if (m_route->has_prompt) {
        engine_work work;
        work.engine = engine_number(to->report.id);
        work.prefix_digest = engine_placement::shared_prefix_digest(m_terms.prompt);
        if (terms.from) {
            work.added_tokens = note_prompt_at(*to, fractional_milliseconds{0});
        }
        m_answering = m_host.begin_work(work);
    }
    else {
        ++m_host.replicas.state(to->report.id).in_flight;
    }
    send(step::running, to, terms);
}

void exchange::send(step what, const endpoint_pointer& to, const run_terms& terms)
{
    auto complete = terms;
    complete.endpoint = to->report.id;
    complete.time_left = std::max(left(), milliseconds{1});
    m_step = what;
    m_endpoint = to;
    m_address = to->report.address;
    m_sent = m_host.timers.now();
    m_answer.reset();
    m_answer_body.clear();
    m_events.restart();
    const bool once = m_route->repeats == repeat_rule::once && what == step::running;
    m_connection = m_host.connections.take(m_address, once ? transport::reuse_rule::certain
                                                           : transport::reuse_rule::any);
    if (what == step::running) {
        ++m_attempts;
        m_ran_before = m_ran_before || m_unsettled;
        m_unsettled = true;
    }
    m_host.limits.count_sent(to->report.id, what == step::reading_prompt);
    m_connection->send(m_host.wire.run_request(m_head, m_body, complete), *this);
}

bool exchange::owns(const transport::message_head& head)
{
    if (head.status < first_final_status) {
        return false;
    }
    const auto terms = m_host.wire.read_answer(head);
    return terms.request_id ? *terms.request_id == m_terms.id : !is_success(head.status);
}

void exchange::on_head(transport::message_head head)
{
    m_answer_terms = m_host.wire.read_answer(head);
    m_answer_certain = m_answer_terms.request_id || m_connection->is_first_exchange();
    m_answer = std::move(head);
    m_host.note_answer(*m_endpoint, m_route->has_prompt, m_answer->status, m_answer_terms,
                       m_terms.id, m_sent);
}

void exchange::on_body(std::string_view piece)
{
    const auto keep = shared_from_this();
    const bool forwarded = m_step == step::running && m_route->streamed &&
                           is_success(m_answer->status) && m_answer_terms.is_signed &&
                           !m_answer_terms.is_encoded;
    if (!forwarded) {
        m_answer_body += piece;
        bound_answer(m_answer_body.size(), most_answer_bytes);
        return;
    }
    m_events.feed(piece);
    forward_events(false);
    bound_answer(m_events.held(), most_event_bytes);
}

void exchange::bound_answer(std::size_t bytes, std::size_t most_bytes)
{
    if (m_connection == nullptr || bytes <= most_bytes) {
        return;
    }
    if (m_host.answer_lines.take(m_host.timers.now())) {
        spdlog::warn("answer_too_large id={} endpoint={} bytes={} passed_over={}", m_terms.id,
                     m_endpoint->report.id, bytes, m_host.answer_lines.take_passed_over());
    }
    m_connection->abandon();
    on_failure(exchange_failure::cut_short);
}

void exchange::forward_events(bool at_end)
{
    auto events = m_events.take_whole();
    if (at_end) {
        events += m_events.take_rest();
    }
    if (events.empty() && !at_end) {
        return;
    }
    if (!m_begun) {
        m_begun = true;
        m_patience.cancel();
        if (m_route->has_prompt) {
            end_reading();
            const fractional_milliseconds observed = m_host.timers.now() - m_sent;
            if (!m_prompt) {
                m_host.engines.record_time(m_endpoint->report.id, m_plan.prefill_latency, observed);
            }
        }
        m_caller->begin(m_answer->status, m_answer->fields);
    }
    if (!events.empty()) {
        note_event();
        if (m_route->resumable && !m_patience.is_set()) {
            watch_pauses();
        }
        m_caller->write(events);
    }
    if (m_caller != nullptr && m_caller->unsent() > most_unsent) {
        caller_is_slow();
    }
}

void exchange::note_event()
{
    const auto now = m_host.timers.now();
    auto& engine = m_host.engines.state(m_endpoint->report.id);
    if (m_first_event == time_point{}) {
        m_first_event = now;
        note_answer_wait();
    }
    else {
        m_longest_pause = std::max(m_longest_pause, now - m_last_event);
        engine.pause.record(now - m_last_event, now);
    }
    m_last_event = now;
}

void exchange::note_answer_wait()
{
    if (m_prompt && m_endpoint != nullptr) {
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
        m_terms.id, m_route != nullptr ? m_route->name : "",
        m_deployment != nullptr ? m_deployment->version() : 0, result, reason, m_attempts,
        m_endpoint ? m_endpoint->report.id : "",
        m_plan.prefill_engine ? m_plan.prefill_engine->report.id : "", m_terms.prompt_tokens,
        m_plan.urgency, m_plan.first_event.count(), ms(first - m_arrived), ms(m_longest_pause),
        ms(m_host.timers.now() - m_arrived), m_events.count());
}

void exchange::on_complete()
{
    m_patience.cancel();
    if (m_answer_certain) {
        m_host.connections.give_back(m_address, std::exchange(m_connection, nullptr));
    }
    else {
        // The request's own answer may still come.
        std::exchange(m_connection, nullptr)->abandon();
    }
    if (m_step == step::reading_prompt) {
        prompt_answered();
    }
    else {
        run_answered();
    }
}

void exchange::prompt_answered()
{
    const fractional_milliseconds observed = m_host.timers.now() - m_sent;
    end_reading();
    if (!is_success(m_answer->status)) {
        prompt_failed();
        return;
    }
    auto handle = m_host.wire.read_prompt_handle(m_answer_body);
    if (!handle) {
        prompt_failed();
        return;
    }
    spdlog::debug(
        "prompt_read id={} engine={} tokens={:.0f} pairs_millions={:.1f} fetching_ms={:.1f} "
        "wait_ms={:.1f} predicted_ms={:.1f} observed_ms={:.1f}",
        m_terms.id, m_endpoint->report.id, m_plan.prefilled_tokens, m_plan.prefilled_pairs / 1e6,
        m_plan.prefix_transfer_time.count(), (m_plan.prefill_latency - m_plan.prefill_time).count(),
        m_plan.prefill_latency.count(), observed.count());
    auto& state = m_host.engines.state(m_endpoint->report.id);
    state.health.succeeded(m_host.timers.now());
    m_host.engines.record_prefill_time(m_endpoint->report.id, m_plan, observed);
    m_prompt = read_prompt{m_address, std::move(*handle)};
    const auto& decode_engine = *m_plan.decode_engine;
    if (decode_engine.gone || !m_host.wants_request(decode_engine, true)) {
        place();
        return;
    }
    send_run(m_plan.decode_engine, m_prompt);
}

void exchange::prompt_failed()
{
    end_reading();
    m_host.engines.state(m_endpoint->report.id).health.failed(m_host.timers.now());
    m_excluded.insert(m_endpoint->report.id);
    // Only a reading that an engine accepted is free. The request itself has
    // not been sent for running.
    ++m_attempts;
    if (!try_again()) {
        refuse(pause_when_full, "the engine read no prompt");
    }
}

void exchange::run_answered()
{
    const auto now = m_host.timers.now();
    const auto status = m_answer->status;
    const bool genuine =
        !is_success(status) || (m_answer_terms.is_signed && !m_answer_terms.is_encoded);
    auto& health = health_of_endpoint();
    if (!m_answer_certain) {
        run_unanswered();
        return;
    }
    if (!is_success(status) && (m_answer_terms.states_not_run || status == status_misdirected)) {
        run_rejected();
        return;
    }
    if (!genuine) {
        health.failed(now);
        run_unanswered();
        return;
    }
    if (is_success(status)) {
        health.succeeded(now);
        if (m_prompt && m_plan.prefill_engine) {
            m_host.engines.state(m_plan.prefill_engine->report.id)
                .kv_transfer_health.succeeded(now);
        }
        m_prompt.reset();
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
        health.failed(now);
    }
    m_excluded.insert(m_endpoint->report.id);
    const bool may_repeat = m_route->repeats == repeat_rule::any && status >= 500;
    if (may_repeat && !m_begun && try_again()) {
        return;
    }
    if (m_begun) {
        fail(status_bad_gateway, "the stream could not be continued");
        return;
    }
    if (promises_not_run(status)) {
        // Without the endpoint's own statement this would promise too much.
        fail(status_bad_gateway, "the replica failed");
        return;
    }
    ++m_host.counts.failed;
    m_caller->answer(status, m_answer->fields, m_answer_body);
    finish();
}

void exchange::run_rejected()
{
    const auto now = m_host.timers.now();
    m_unsettled = false;
    end_reading();
    m_excluded.insert(m_endpoint->report.id);
    if (m_route->has_prompt) {
        m_host.engines.state(m_endpoint->report.id).health.failed(now);
    }
    if (m_prompt && m_plan.prefill_engine) {
        // Either it takes no work, or the prompt's memory could not be had.
        auto& memory = m_host.engines.state(m_plan.prefill_engine->report.id).kv_transfer_health;
        memory.failed(now);
        if (memory.is_avoided(now)) {
            drop_prompt();
        }
    }
    if (try_again()) {
        return;
    }
    if (m_begun) {
        fail(status_bad_gateway, "the stream could not be continued");
    }
    else {
        refuse(pause_when_full, "the replica took no request");
    }
}

void exchange::run_unanswered()
{
    end_reading();
    drop_prompt();
    m_excluded.insert(m_endpoint->report.id);
    if (m_route->repeats == repeat_rule::any && try_again()) {
        return;
    }
    fail(status_bad_gateway, "the replica gave no whole answer");
}

endpoint_health& exchange::health_of_endpoint()
{
    return m_host.health_of(*m_endpoint, m_route->has_prompt);
}

milliseconds exchange::pause_until_return() const
{
    const auto first = m_host.first_return(m_service);
    return first ? std::max(std::chrono::duration_cast<milliseconds>(*first - m_host.timers.now()),
                            pause_without_endpoint)
                 : pause_without_endpoint;
}

bool exchange::take_attempt()
{
    if (m_attempts >= m_route->most_attempts || left() < least_useful_time ||
        !m_host.budget.take(m_service, m_host.timers.now())) {
        return false;
    }
    ++m_host.counts.further_attempts;
    return true;
}

bool exchange::try_again()
{
    if (!take_attempt()) {
        return false;
    }
    leave_endpoint();
    place();
    return true;
}

void exchange::on_failure(exchange_failure failure)
{
    m_patience.cancel();
    m_connection.reset();
    const auto now = m_host.timers.now();
    auto& health = health_of_endpoint();
    if (failure == exchange_failure::not_sent) {
        health.unreachable(now);
        end_reading();
        m_excluded.insert(m_endpoint->report.id);
        if (m_step == step::running) {
            --m_attempts;
            m_unsettled = m_begun;
        }
        else {
            m_hand_over_tried = false;
        }
        if (++m_connect_tries < most_connect_tries) {
            leave_endpoint();
            place();
        }
        else {
            refuse(pause_without_endpoint, "no replica could be reached");
        }
        return;
    }
    health.failed(now);
    if (m_step == step::reading_prompt) {
        prompt_failed();
    }
    else {
        run_unanswered();
    }
}

void exchange::be_patient(fractional_milliseconds time)
{
    const auto limit = std::chrono::duration_cast<clock::duration>(time);
    m_patience = m_host.timers.call_at(m_host.timers.now() + limit, [this, limit] {
        auto& health = health_of_endpoint();
        const auto now = m_host.timers.now();
        if (m_route->has_prompt && health.has_answered_since(now - limit)) {
            // Others are served; this one's turn comes.
            be_patient(fractional_milliseconds{limit});
            return;
        }
        health.failed(now);
        out_of_patience();
    });
}

void exchange::watch_pauses()
{
    const auto limit = std::max(silent_pauses * m_route->pause_objective, least_silence);
    const auto silent_since = std::max(m_last_event, m_watched_since);
    m_patience = m_host.timers.call_at(silent_since + limit, [this, limit] {
        const auto now = m_host.timers.now();
        auto& health = health_of_endpoint();
        if (now - m_last_event < limit || health.has_answered_since(now - limit)) {
            m_watched_since = now - limit / 2;
            watch_pauses();
            return;
        }
        health.failed(now);
        m_excluded.insert(m_endpoint->report.id);
        if (!try_again()) {
            spdlog::debug("stream_silent id={} endpoint={}", m_terms.id, m_endpoint->report.id);
        }
    });
}

void exchange::out_of_patience()
{
    if (m_step == step::reading_prompt) {
        // To leave an engine that has not begun would use up an attempt.
        if (m_attempts + 1 < m_route->most_attempts && take_attempt()) {
            ++m_attempts;
            m_excluded.insert(m_endpoint->report.id);
            leave_endpoint();
            end_reading();
            place();
        }
        return;
    }
    const bool may_repeat = m_route->repeats == repeat_rule::any;
    if (!m_begun && may_repeat && !m_answer) {
        m_excluded.insert(m_endpoint->report.id);
        if (take_attempt()) {
            leave_endpoint();
            end_reading();
            drop_prompt();
            place();
        }
    }
}

void exchange::deadline_passed()
{
    leave_endpoint();
    if (m_begun || may_have_run()) {
        fail(status_timeout, "out of time");
    }
    else {
        refuse(pause_when_full, "out of time");
    }
}

void exchange::caller_left()
{
    if (m_caller == nullptr) {
        return;
    }
    ++m_host.counts.callers_left;
    log_end("caller_left", "");
    if (m_step == step::running && m_first_event == time_point{}) {
        note_answer_wait();
    }
    m_caller = nullptr;
    finish();
}

void exchange::caller_is_slow()
{
    if (m_connection != nullptr) {
        m_connection->pause_reading();
    }
}

void exchange::caller_drained()
{
    if (m_connection != nullptr) {
        m_connection->resume_reading();
    }
}

void exchange::leave_endpoint()
{
    m_patience.cancel();
    if (m_answering != 0) {
        m_host.end_work(std::exchange(m_answering, 0));
    }
    if (m_endpoint != nullptr && !m_route->has_prompt && m_step == step::running) {
        auto& in_flight = m_host.replicas.state(m_endpoint->report.id).in_flight;
        in_flight -= in_flight > 0 ? 1 : 0;
    }
    m_step = step::idle;
    if (m_connection != nullptr) {
        std::exchange(m_connection, nullptr)->abandon();
    }
}

void exchange::drop_prompt()
{
    if (!m_prompt) {
        return;
    }
    const auto prompt = *std::exchange(m_prompt, std::nullopt);
    const auto& prefill_engine = m_plan.prefill_engine;
    if (prefill_engine != nullptr && !m_host.wants_request(*prefill_engine, true)) {
        spdlog::debug("prompt_not_released engine={} reason=\"it wants no requests\"",
                      prefill_engine->report.id);
        return;
    }
    if (prefill_engine != nullptr) {
        m_host.limits.count_call(prefill_engine->report.id);
    }
    release_prompt(m_host, prompt);
}

void exchange::begin_reading(const endpoint& engine)
{
    engine_work work;
    work.engine = engine_number(engine.report.id);
    work.urgency = m_plan.urgency;
    work.prefill_time = m_plan.prefill_time;
    work.nominal_prefill_time = m_plan.nominal_prefill_time;
    work.prefix_digest = engine_placement::shared_prefix_digest(m_terms.prompt);
    work.added_tokens = note_prompt_at(engine, m_plan.prefill_latency);
    m_reading = m_host.begin_work(work);
}

double exchange::note_prompt_at(const endpoint& engine, fractional_milliseconds prefill_latency)
{
    const auto* target = m_deployment->find_service(m_service);
    return target != nullptr
               ? m_host.engines.record_prompt(make_prompt_query(*target), engine, prefill_latency)
               : 0;
}

void exchange::end_reading()
{
    if (m_reading != 0) {
        m_host.end_work(std::exchange(m_reading, 0));
    }
}

void exchange::refuse(milliseconds pause, std::string_view reason)
{
    if (m_begun || may_have_run()) {
        fail(status_bad_gateway, reason);
        return;
    }
    ++m_host.counts.refused;
    log_end("refused", reason);
    // Callers that were refused together come back spread over twice the pause.
    const auto spread =
        pause +
        milliseconds{std::uniform_int_distribution<std::int64_t>{0, pause.count()}(m_host.random)};
    http::field_list fields;
    const auto again = m_host.wire.come_back_after(spread);
    fields.add(again.name, again.value);
    const auto identity = m_host.wire.identity_field(m_terms.id);
    fields.add(identity.name, identity.value);
    m_caller->answer(status_unavailable, fields, reason);
    finish();
}

void exchange::fail(unsigned status, std::string_view reason)
{
    if (m_begun) {
        ++m_host.counts.cut;
        m_caller->cut();
    }
    else {
        ++m_host.counts.failed;
        http::field_list fields;
        if (!m_terms.id.empty()) {
            const auto identity = m_host.wire.identity_field(m_terms.id);
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
        leave_endpoint();
        end_reading();
        drop_prompt();
    }
}

} // namespace cicadaport::serving
