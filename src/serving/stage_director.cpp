#include "cicadaport/serving/stage_director.h"

#include "cicadaport/serving/single_call.h"
#include "cicadaport/serving/stage_candidates.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cicadaport::serving {
namespace {

constexpr milliseconds store_timeout{500};
constexpr milliseconds engine_timeout{300};
// Time for running streams to end before an engine changes: the engine takes no work for
// this much longer than the change itself.
constexpr milliseconds drain_time{1'200};
// Backoff after a change that was abandoned.
constexpr milliseconds failure_backoff{2'000};

std::string_view to_string(engine_stage stage)
{
    return stage == engine_stage::prefill ? "prefill" : "decode";
}

std::optional<engine_stage> parse_stage(std::string_view text)
{
    if (text == "prefill") {
        return engine_stage::prefill;
    }
    return text == "decode" ? std::optional{engine_stage::decode} : std::nullopt;
}

orders::engine_key key_of(const std::string& engine)
{
    return {engine, engine_number(engine)};
}

} // namespace

void stage_director::evaluate()
{
    m_evaluation_timer =
        m_host.timers.call_at(m_host.timers.now() + evaluation_interval, [this] { evaluate(); });
    if (m_busy || m_host.is_stopping() || m_host.deployed == nullptr) {
        return;
    }
    log_speeds();
    for (const auto& [name, each] : m_host.deployed->services()) {
        if (!each.engines || decide(name).engines == 0) {
            continue;
        }
        m_busy = true;
        const auto delay = milliseconds{std::uniform_int_distribution<std::int64_t>{
            0, max_start_delay().count()}(m_host.random)};
        m_start_timer = m_host.timers.call_at(m_host.timers.now() + delay,
                                              [this, service = name] { begin(service); });
        return;
    }
}

milliseconds stage_director::max_start_delay() const
{
    const auto hosts = m_host.gossip != nullptr ? static_cast<int>(m_host.gossip->peer_count()) : 0;
    return std::max(base_start_delay, hosts * start_delay_per_host);
}

void stage_director::log_speeds()
{
    const auto now = m_host.timers.now();
    const auto& pace = m_host.engines.pace();
    if (!pace.is_known() || now - m_speeds_logged < speed_log_interval) {
        return;
    }
    m_speeds_logged = now;
    for (const auto& [name, each] : m_host.deployed->services()) {
        if (!each.engines) {
            continue;
        }
        std::size_t observed = 0;
        std::size_t fast = 0;
        std::size_t fast_prefill = 0;
        const auto& engines = m_host.engines_of(name);
        for (const auto& engine : engines) {
            const auto number = engine_number(engine->report.id);
            const bool is_fast = m_host.engines.is_fast(number);
            observed += pace.find(number) != nullptr ? 1 : 0;
            fast += is_fast ? 1 : 0;
            fast_prefill += is_fast && engine->report.stage == engine_stage::prefill ? 1 : 0;
        }
        spdlog::info("engine_speeds service={} engines={} observed={} fast={} fast_prefill={} "
                     "load_factor={:.4f}",
                     name, engines.size(), observed, fast, fast_prefill, pace.load_factor());
    }
}

engine_stage stage_director::stage_of(const endpoint& engine) const
{
    const auto now = m_host.timers.now();
    if (const auto announced = m_host.orders.changing_to(engine.report.id, now)) {
        return parse_stage(*announced).value_or(engine_stage::none);
    }
    return m_host.engines.changing_to(engine, now).value_or(engine.report.stage);
}

bool stage_director::is_changing(const endpoint& engine) const
{
    const auto now = m_host.timers.now();
    return m_host.orders.changing_to(engine.report.id, now) ||
           m_host.engines.changing_to(engine, now);
}

prompt_query stage_director::longest_stream_of(const std::string& service) const
{
    prompt_query out;
    out.now = m_host.timers.now();
    out.pause_objective = milliseconds::max();
    auto interval = fractional_milliseconds::max();
    for (const auto& each : m_host.deployed->routes()) {
        const bool serves =
            std::any_of(each.shares.begin(), each.shares.end(),
                        [&](const auto& share) { return share.service == service; });
        if (!each.has_prompt || !serves || !m_host.events.has_many(each.name)) {
            continue;
        }
        out.pause_objective =
            std::min<fractional_milliseconds>(out.pause_objective, each.pause_objective);
        const auto events = m_host.events.long_response(each.name);
        const auto longest = fractional_milliseconds{each.time_limit - each.latency_objective} /
                             std::max(events, 1.0);
        if (longest < interval) {
            interval = longest;
            out.time_left = each.time_limit - each.latency_objective;
            out.long_events = events;
        }
    }
    return out;
}

stage_view stage_director::view_of(const std::string& service)
{
    stage_view out;
    const auto now = m_host.timers.now();
    const auto query = longest_stream_of(service);
    double streams = 0;
    for (const auto& each : m_host.engines_of(service)) {
        const auto stage = stage_of(*each);
        out.prefill += stage == engine_stage::prefill ? 1 : 0;
        out.slots = std::max<double>(out.slots, each->report.slots);
        if (stage == engine_stage::decode) {
            ++out.decode;
            streams += m_host.engines.stream_capacity(query, *each);
        }
    }
    if (out.decode > 0) {
        // Streams beyond the pace that they need are lost, as if the engine had no slot for them.
        out.slots = std::min(out.slots, std::max(streams / static_cast<double>(out.decode), 1.0));
    }
    out.prefill_load = m_host.fleet.prefill_demand(now);
    out.active_streams = static_cast<double>(m_host.fleet.active_streams());
    const auto* configured = m_host.deployed->find_service(service);
    if (configured != nullptr && configured->engines) {
        out.switch_time = configured->engines->switch_time;
    }
    return out;
}

stage_change stage_director::decide(const std::string& service)
{
    return m_policy.decide(view_of(service), m_host.timers.now());
}

void stage_director::begin(const std::string& service)
{
    if (decide(service).engines == 0) {
        // Another host has announced its change in the meantime.
        m_busy = false;
        return;
    }
    const auto now = m_host.timers.now();
    if (const auto refused =
            orders::order_attempt::check_begin(m_host.orders, m_host.store_history, now)) {
        abandon_change(orders::to_string(*refused));
        return;
    }
    const auto current = std::make_shared<change>(
        change{service, {}, {}, {}, 0, {m_host.orders, m_host.store_history}});
    read_announcements(current, {});
}

void stage_director::read_announcements(const change_pointer& current, const std::string& after)
{
    ++m_host.store_calls.order_reads;
    call_once(m_host, m_store, m_host.wire.newest_request(feed::orders, after), store_timeout,
              [this, current](const store_answer& answer) {
                  if (!answer) {
                      abandon_change("no response from the store");
                      return;
                  }
                  try {
                      const auto next = record_announcements(current, *answer);
                      if (!next.empty()) {
                          read_announcements(current, next);
                          return;
                      }
                  }
                  catch (const std::exception& error) {
                      abandon_change(error.what());
                      return;
                  }
                  query_engines(current);
              });
}

std::string stage_director::record_announcements(const change_pointer& current,
                                                 const call_response& answer)
{
    if (!m_host.accept_store_answer(answer.epoch)) {
        throw std::runtime_error{"the answer belongs to an ended history of the store"};
    }
    const auto page = m_host.wire.read_newest(answer.status, answer.body);
    orders::list_page read;
    read.list_end = page.next_offset;
    read.is_last = !page.more || page.entries.empty();
    for (const auto& each : page.entries) {
        read.orders.push_back({key_of(each.key), each.offset, each.value.value_or("")});
    }
    if (const auto refused = current->attempt.read(read, m_host.timers.now())) {
        throw std::runtime_error{std::string{record_refusal(*refused)}};
    }
    return read.is_last ? std::string{} : page.entries.back().key;
}

std::string_view stage_director::record_refusal(orders::refusal reason)
{
    const auto text = orders::to_string(reason);
    if (reason == orders::refusal::list_contradicts) {
        m_host.record_unannounced_return(feed::orders, text);
    }
    return text;
}

std::vector<endpoint_pointer> stage_director::engines_to_change(const std::string& service,
                                                                const stage_change& wanted)
{
    const auto now = m_host.timers.now();
    const auto& engines = m_host.engines_of(service);
    const auto decode_only = m_host.engines.decode_only_engines(engines);
    std::vector<stage_candidate> candidates;
    std::vector<endpoint_pointer> decoding;
    for (const auto& each : engines) {
        if (stage_of(*each) == engine_stage::decode) {
            decoding.push_back(each);
        }
        const auto stage = each->report.stage;
        const bool fits = stage != engine_stage::none && stage != wanted.to && !is_changing(*each);
        if (!fits || !m_host.orders.can_announce(key_of(each->report.id), now) ||
            m_host.engines.state(each->report.id).health.is_ejected(now) ||
            !m_host.accepts_request(*each, true)) {
            continue;
        }
        const auto number = engine_number(each->report.id);
        auto cost = static_cast<double>(m_host.fleet.active_streams(number)) +
                    m_host.fleet.wait(number, late_urgency, now).count();
        constexpr double decode_only_cost = 1e6;
        cost += decode_only.contains(each.get()) ? decode_only_cost : 0;
        // More than the streams and the wait in milliseconds of an engine that is not overloaded.
        constexpr double misplaced_cost = 1e4;
        const bool wants_fast = wanted.to == engine_stage::decode;
        cost += m_host.engines.is_fast(number) == wants_fast ? 0 : misplaced_cost;
        candidates.push_back({each, cost});
    }
    const auto max_concurrent_changes =
        std::max(base_concurrent_changes, engines.size() / engines_per_concurrent_change);
    return choose_engines_to_change(std::move(candidates), decoding, wanted.to,
                                    std::min(wanted.engines, max_concurrent_changes));
}

void stage_director::query_engines(const change_pointer& current)
{
    // Orders announced by other hosts may already meet the need.
    current->wanted = decide(current->service);
    current->engines = engines_to_change(current->service, current->wanted);
    if (current->wanted.engines == 0 || current->engines.empty()) {
        m_policy.reset_losses();
        abandon_change("no change is needed or no engine is available");
        return;
    }
    current->pending_count = current->engines.size();
    const auto asked = m_host.timers.now();
    for (const auto& each : current->engines) {
        m_host.limits.count_call(each->report.id);
        call_once(
            m_host, each->report.address, m_host.wire.status_request(each->report), engine_timeout,
            [this, current, each, asked](const std::optional<call_response>& answer) {
                if (answer) {
                    m_host.apply_response_terms(*each, true, answer->status, answer->metadata, "",
                                                asked);
                }
                const auto status =
                    answer ? m_host.wire.read_status(answer->status, answer->body) : std::nullopt;
                if (status && !status->is_changing && !each->gone) {
                    stage_order order;
                    order.engine = each->report.id;
                    order.to = current->wanted.to;
                    order.holder = m_holder;
                    order.expected_orders = status->orders_accepted;
                    current->orders.push_back(order);
                }
                if (--current->pending_count == 0) {
                    announce(current);
                }
            });
    }
}

void stage_director::announce(const change_pointer& current)
{
    if (current->orders.empty() || m_host.is_stopping()) {
        abandon_change("no engine accepts an order, or the host is stopping");
        return;
    }
    std::vector<orders::planned_order> planned;
    for (const auto& each : current->orders) {
        planned.push_back({key_of(each.engine), std::string{to_string(each.to)}, 0, {}});
    }
    auto& attempt = current->attempt;
    if (const auto refused = attempt.announce(std::move(planned), m_holder, m_host.timers.now())) {
        abandon_change(orders::to_string(*refused));
        return;
    }
    std::vector<feed_entry> entries;
    for (const auto& each : attempt.planned()) {
        entries.emplace_back(each.engine.id, each.value);
    }
    ++m_host.store_calls.appends;
    call_once(
        m_host, m_store, m_host.wire.append_request(feed::orders, entries, attempt.list_end()),
        store_timeout, [this, current](const store_answer& answer) {
            const bool is_current = answer && m_host.accept_store_answer(answer->epoch);
            const auto offset =
                is_current ? m_host.wire.read_append(answer->status, answer->body) : std::nullopt;
            if (!offset) {
                abandon_change("announcing the orders failed");
                return;
            }
            if (const auto refused = current->attempt.acknowledge(*offset, m_host.timers.now())) {
                abandon_change(record_refusal(*refused));
                return;
            }
            send_orders(current);
        });
}

void stage_director::send_orders(const change_pointer& current)
{
    auto planned = current->attempt.planned().begin();
    for (auto& each : current->orders) {
        const auto& announced = *planned++;
        each.fencing_token = announced.token;
        const auto engine = m_host.endpoints.find(each.engine);
        const auto refused = current->attempt.check_sending(announced, m_host.timers.now());
        if (engine == nullptr || refused) {
            spdlog::warn("order_not_sent engine={} token={} reason=\"{}\"", each.engine,
                         each.fencing_token,
                         refused ? orders::to_string(*refused) : "the engine is gone");
            continue;
        }
        send_order(current, each, engine);
    }
    m_policy.reset_losses();
    m_busy = false;
}

void stage_director::send_order(const change_pointer& current, const stage_order& order,
                                const endpoint_pointer& engine)
{
    const auto now = m_host.timers.now();
    const auto number = engine_number(order.engine);
    spdlog::info("order_sent engine={} to={} token={} expected={} fast={}", order.engine,
                 to_string(order.to), order.fencing_token, order.expected_orders,
                 m_host.engines.is_fast(number));
    const auto* configured = m_host.deployed->find_service(current->service);
    const auto pause = drain_time + (configured != nullptr && configured->engines
                                         ? configured->engines->switch_time
                                         : milliseconds{0});
    m_host.engines.begin_stage_change(number, order.to, now + pause);
    if (m_host.gossip != nullptr) {
        m_host.gossip->announce_stage_change(number, order.to, pause, order.fencing_token);
    }
    m_host.limits.count_call(order.engine);
    call_once_before(m_host, engine->report.address,
                     m_host.wire.order_request(engine->report.address, order),
                     current->attempt.send_deadline(), engine_timeout,
                     [this, engine, now](const std::optional<call_response>& answer) {
                         spdlog::info("order_answered engine={} status={}", engine->report.id,
                                      answer ? answer->status : 0);
                         if (answer) {
                             m_host.apply_response_terms(*engine, true, answer->status,
                                                         answer->metadata, "", now);
                         }
                     });
}

void stage_director::abandon_change(std::string_view reason)
{
    spdlog::info("stage_change_given_up reason=\"{}\"", reason);
    m_start_timer =
        m_host.timers.call_at(m_host.timers.now() + failure_backoff, [this] { m_busy = false; });
}

} // namespace cicadaport::serving
