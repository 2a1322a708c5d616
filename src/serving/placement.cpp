#include "cicadaport/serving/placement.h"

#include "cicadaport/serving/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cicadaport::serving {
namespace {

constexpr double bits_per_byte = 8;
constexpr double bits_per_ms_per_mbps = 1'000;

// Costs that exceed any wait: for stalling streams, and for an engine that fails.
constexpr fractional_milliseconds stall_cost{std::chrono::seconds{30}};
constexpr fractional_milliseconds last_resort{std::chrono::seconds{60}};
constexpr fractional_milliseconds unusable_cost{std::numeric_limits<double>::max()};

} // namespace

engine_placement::prompt_prefixes
engine_placement::prefixes_of(const std::vector<prompt_segment>& prompt)
{
    prompt_prefixes out;
    std::uint64_t key = 0;
    double tokens = 0;
    // The last part is specific to the request.
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        key = hash_number(key ^ prompt[index].id);
        tokens += prompt[index].tokens;
        out.keys.push_back(static_cast<std::uint32_t>(key));
        out.tokens.push_back(tokens);
    }
    return out;
}

std::uint32_t engine_placement::shared_prefix_digest(const std::vector<prompt_segment>& prompt)
{
    const auto all = prefixes_of(prompt);
    return all.keys.empty() || all.tokens.back() < min_transfer_tokens ? 0 : all.keys.back();
}

double engine_placement::rendezvous_weight(const prompt_prefixes& of, const endpoint& engine)
{
    const auto key = of.keys.empty() ? 0U : of.keys.back();
    constexpr double range = 0x1p64;
    return static_cast<double>(hash_number(key ^ engine_number(engine.report.id))) / range;
}

double engine_placement::known_cached_tokens(const prompt_prefixes& of, const endpoint& engine,
                                             const prompt_query& query, bool ready_only) const
{
    const auto number = engine_number(engine.report.id);
    for (auto index = of.keys.size(); index-- > 0;) {
        const auto key = of.keys[index];
        if (m_kv_cache.has_prefix(number, key, query.memory_tokens, query.now) &&
            (!ready_only || m_kv_cache.is_ready(number, key, query.now))) {
            return of.tokens[index];
        }
    }
    return 0;
}

void engine_placement::find_prefix_source(prompt_prefixes& of, const prompt_query& query,
                                          const std::vector<endpoint_pointer>& engines) const
{
    for (const auto& each : engines) {
        const auto cached_tokens = known_cached_tokens(of, *each, query, true);
        if (cached_tokens <= of.source_tokens) {
            continue;
        }
        const auto known = m_engines.find(each->report.id);
        const bool avoided =
            known != m_engines.end() && (known->second.health.is_ejected(query.now) ||
                                         known->second.kv_transfer_health.is_ejected(query.now));
        if (!avoided) {
            of.source = each;
            of.source_tokens = cached_tokens;
        }
    }
}

engine_placement::prefill_cost
engine_placement::estimate_prefill_cost(const prompt_query& query, const endpoint& engine,
                                        const prompt_prefixes& shared)
{
    const auto own_tokens = known_cached_tokens(shared, engine, query, false);
    const auto available_tokens = std::max(own_tokens, shared.source_tokens);
    const auto time_of = [this](double tokens) {
        constexpr double thousand = 1e3;
        return tokens / thousand * m_prefill_model.current().per_thousand_tokens;
    };
    prefill_cost out;
    out.is_transferred = available_tokens - own_tokens >= min_transfer_tokens;
    const auto cached_tokens =
        std::min(out.is_transferred ? available_tokens : own_tokens, query.prompt_tokens);
    const auto uncached_tokens = query.prompt_tokens - cached_tokens;
    const auto pairs = uncached_tokens * (cached_tokens + uncached_tokens / 2);
    const auto time = m_prefill_model.time(uncached_tokens, pairs);
    const auto speed_ratio =
        engine.report.stage == engine_stage::decode ? m_costs.decode_engine_speed_ratio : 1.0;
    out.nominal = time;
    out.tokens = uncached_tokens;
    out.pairs = pairs;
    out.time = time / speed_ratio * time_ratio(engine_number(engine.report.id), query.now);
    if (out.is_transferred) {
        out.prefix_transfer_time =
            m_costs.transfer_setup + transfer_time(query, available_tokens - own_tokens);
        out.time += out.prefix_transfer_time;
        // The copy evicts other prefixes.
        out.repeated_cost = m_costs.copy_weight * time_of(available_tokens - own_tokens);
    }
    else {
        out.repeated_cost =
            m_costs.repeated_prefill_weight * time_of(available_tokens - own_tokens);
    }
    return out;
}

std::set<const endpoint*>
engine_placement::decode_only_engines(const std::vector<endpoint_pointer>& engines) const
{
    const auto found = find_decode_only(engines);
    return {found.begin(), found.end()};
}

std::vector<const endpoint*>
engine_placement::find_decode_only(const std::vector<endpoint_pointer>& engines) const
{
    // Ordered in the same way on all hosts: fast engines first.
    std::vector<std::tuple<bool, std::uint64_t, const endpoint*>> decoding;
    decoding.reserve(engines.size());
    double slots = 1;
    for (const auto& each : engines) {
        if (each->report.stage != engine_stage::prefill) {
            const auto number = engine_number(each->report.id);
            decoding.emplace_back(!m_pace.is_fast(number), hash_number(number), each.get());
            slots = std::max<double>(slots, each->report.slots);
        }
    }
    const auto needed =
        static_cast<double>(m_work.active_streams()) / (slots * m_costs.target_slot_fraction);
    const auto min_count = m_costs.min_decode_only_fraction * static_cast<double>(decoding.size());
    // At least two, so that the loss of one engine does not end all streams.
    const auto count = std::min(
        decoding.size(), static_cast<std::size_t>(std::ceil(std::max({2.0, needed, min_count}))));
    std::nth_element(decoding.begin(), decoding.begin() + static_cast<std::ptrdiff_t>(count),
                     decoding.end());
    std::vector<const endpoint*> out;
    out.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        out.push_back(std::get<const endpoint*>(decoding[index]));
    }
    std::sort(out.begin(), out.end());
    return out;
}

fractional_milliseconds engine_placement::zone_cost(const prompt_query& query,
                                                    const endpoint& engine) const
{
    return engine.report.availability_zone == query.availability_zone ? fractional_milliseconds{0}
                                                                      : m_costs.cross_zone_delay;
}

fractional_milliseconds engine_placement::transfer_time(const prompt_query& query, double tokens)
{
    const auto bits = tokens * query.bytes_per_token * bits_per_byte;
    return query.link_mbps > 0
               ? fractional_milliseconds{bits / query.link_mbps / bits_per_ms_per_mbps}
               : fractional_milliseconds{0};
}

const engine_state* engine_placement::find_state(const endpoint& engine) const
{
    const auto found = m_engines.find(engine.report.id);
    return found == m_engines.end() ? nullptr : &found->second;
}

fractional_milliseconds engine_placement::penalty_of(const prompt_query& query,
                                                     const endpoint& engine,
                                                     const engine_state* known) const
{
    if (changing_to(engine, query.now)) {
        return last_resort;
    }
    if (known == nullptr) {
        return fractional_milliseconds{0};
    }
    const auto& [health, kv_transfer_health] = std::tie(known->health, known->kv_transfer_health);
    if (health.is_ejected(query.now) || kv_transfer_health.is_ejected(query.now)) {
        return last_resort;
    }
    return std::max(health.failure_fraction(), kv_transfer_health.failure_fraction()) *
           m_costs.failure;
}

bool engine_placement::may_use(const prompt_query& query, const endpoint& engine,
                               const engine_state* known)
{
    const bool left_alone = known != nullptr && known->health.is_backing_off(query.now);
    return !left_alone && !query.excluded->contains(engine.report.id);
}

bool engine_placement::may_decode(const prompt_query& query, const endpoint& engine,
                                  const engine_state* known)
{
    return engine.report.stage != engine_stage::prefill && may_use(query, engine, known) &&
           (query.excluded_from_decode == nullptr ||
            !query.excluded_from_decode->contains(engine.report.id));
}

fractional_milliseconds engine_placement::needed_interval(const prompt_query& query,
                                                          fractional_milliseconds delay) const
{
    const auto by_pauses = m_costs.pause_objective_fraction * query.pause_objective;
    if (query.time_left <= fractional_milliseconds{0}) {
        return by_pauses;
    }
    const auto by_time = (query.time_left - delay) / std::max(query.long_events, 1.0);
    // Once the time is used up, the engines are told apart by their pace alone.
    return std::clamp(by_time, fractional_milliseconds{1},
                      std::max(by_pauses, fractional_milliseconds{1}));
}

fractional_milliseconds engine_placement::stream_time(const prompt_query& query,
                                                      const endpoint& engine) const
{
    const auto number = engine_number(engine.report.id);
    const auto streams = static_cast<double>(m_work.active_streams(number)) + 1;
    return query.usual_events *
           m_pace.interval(number, streams, query.now).value_or(fractional_milliseconds{0});
}

std::optional<fractional_milliseconds>
engine_placement::stream_cost(const prompt_query& query, std::uint32_t engine, std::size_t streams,
                              fractional_milliseconds needed) const
{
    const auto interval = m_pace.interval(engine, static_cast<double>(streams) + 1, query.now);
    if (!interval) {
        return std::nullopt;
    }
    auto cost = query.usual_events * *interval;
    if (*interval > needed) {
        cost += m_costs.missed_pace * std::min(*interval / needed, m_costs.max_missed_pace_ratio);
    }
    return cost;
}

engine_placement::decode_engine_choice
engine_placement::best_decode_engine(const prompt_query& query, const endpoint& prefill_engine,
                                     fractional_milliseconds prefill_latency,
                                     const std::vector<endpoint_pointer>& engines,
                                     const std::vector<const endpoint*>& decode_only) const
{
    const auto needed = needed_interval(query, prefill_latency);
    const auto transfer = transfer_time(query, query.prompt_tokens);
    decode_engine_choice out{nullptr, unusable_cost};
    const bool at_random = query.random != nullptr && m_pace.is_known();
    std::vector<std::pair<fractional_milliseconds, const endpoint_pointer*>> costs;
    costs.reserve(at_random ? engines.size() : 0);
    for (const auto& each : engines) {
        if (each->report.stage == engine_stage::prefill) {
            continue;
        }
        const auto* const state = find_state(*each);
        if (!may_decode(query, *each, state)) {
            continue;
        }
        const auto number = engine_number(each->report.id);
        const auto streams = m_work.active_streams(number);
        const auto stream = stream_cost(query, number, streams, needed);
        auto cost = stream.value_or(static_cast<double>(streams) * m_costs.per_stream) +
                    zone_cost(query, *each) + penalty_of(query, *each, state);
        if (state != nullptr) {
            cost += state->decode_start_delay.at(query.now);
            if (!stream) {
                const auto pause = state->pause.at(query.now);
                const auto in_time = m_costs.pause_objective_fraction * query.pause_objective;
                cost +=
                    m_costs.pause_weight * std::max(pause - in_time, fractional_milliseconds{0});
            }
        }
        const bool near = each->report.availability_zone == prefill_engine.report.availability_zone;
        cost += near ? transfer : 2 * transfer;
        cost += m_costs.queued_prefill_weight * m_work.wait(number, late_urgency, query.now);
        if (streams >= each->report.slots) {
            // A running stream would be preempted.
            cost += m_costs.no_free_slot_penalty;
        }
        if (!std::binary_search(decode_only.begin(), decode_only.end(), each.get())) {
            cost += m_costs.mixed_engine_penalty;
            if (stream && query.has_many_events) {
                cost += m_costs.stalled_stream_penalty;
            }
        }
        if (at_random) {
            costs.emplace_back(cost, &each);
        }
        if (cost < out.cost) {
            out = {each, cost};
        }
    }
    if (at_random && out.decode_engine) {
        // Weights fall to 0 at the level to which the streams that are not known yet are expected
        // to raise the costs.
        const auto level = out.cost + m_costs.information_age;
        fractional_milliseconds total{0};
        for (const auto& [cost, engine] : costs) {
            total += std::max(level - cost, fractional_milliseconds{0});
        }
        auto rest = std::uniform_real_distribution<double>{0, 1}(*query.random) * total;
        for (const auto& [cost, engine] : costs) {
            rest -= std::max(level - cost, fractional_milliseconds{0});
            if (rest < fractional_milliseconds{0}) {
                return {*engine, cost};
            }
        }
    }
    return out;
}

endpoint_pointer
engine_placement::choose_decode_engine(const prompt_query& query, const endpoint& prefill_engine,
                                       const std::vector<endpoint_pointer>& engines)
{
    return best_decode_engine(query, prefill_engine, fractional_milliseconds{0}, engines,
                              find_decode_only(engines))
        .decode_engine;
}

prompt_plan engine_placement::choose(const prompt_query& query,
                                     const std::vector<endpoint_pointer>& engines)
{
    auto shared = prefixes_of(*query.prompt);
    find_prefix_source(shared, query, engines);
    const auto decode_only = find_decode_only(engines);
    prompt_plan single_plan;
    prompt_plan split_plan;
    auto best_single_cost = unusable_cost;
    auto best_split_cost = unusable_cost;
    for (const auto& each : engines) {
        const bool is_prefill_engine = each->report.stage == engine_stage::prefill;
        const auto* const state = find_state(*each);
        if (is_prefill_engine ? !may_use(query, *each, state) : !may_decode(query, *each, state)) {
            continue;
        }
        const auto wait = m_work.wait(engine_number(each->report.id), query.urgency, query.now);
        const auto prefill = estimate_prefill_cost(query, *each, shared);
        const auto prefill_latency = wait + prefill.time;
        const auto distance = zone_cost(query, *each);
        auto cost = prefill_latency + prefill.repeated_cost + distance +
                    penalty_of(query, *each, state) +
                    m_costs.spread * rendezvous_weight(shared, *each);
        if (!is_prefill_engine &&
            (query.has_many_events ||
             std::binary_search(decode_only.begin(), decode_only.end(), each.get()))) {
            // Prefill would stall the streams of the engine, or this one.
            cost += stall_cost;
        }
        if (!is_prefill_engine) {
            const auto number = engine_number(each->report.id);
            const auto streams = m_work.active_streams(number);
            cost += static_cast<double>(streams) * m_costs.per_stalled_stream;
            if (cost < best_single_cost) {
                cost += stream_cost(query, number, streams, needed_interval(query, prefill_latency))
                            .value_or(fractional_milliseconds{0});
            }
        }
        if (cost < (is_prefill_engine ? best_split_cost : best_single_cost)) {
            auto& plan = is_prefill_engine ? split_plan : single_plan;
            (is_prefill_engine ? best_split_cost : best_single_cost) = cost;
            (is_prefill_engine ? plan.prefill_engine : plan.decode_engine) = each;
            plan.prefix_source = prefill.is_transferred ? shared.source : nullptr;
            plan.prefill_time = prefill.time;
            plan.nominal_prefill_time = prefill.nominal;
            plan.prefilled_tokens = prefill.tokens;
            plan.prefilled_pairs = prefill.pairs;
            plan.prefix_transfer_time = prefill.prefix_transfer_time;
            plan.prefill_latency = prefill_latency;
            plan.first_event = prefill_latency + distance + m_costs.first_event;
        }
    }
    if (single_plan.decode_engine) {
        single_plan.stream_time = stream_time(query, *single_plan.decode_engine);
    }
    if (!query.can_use_prefill_engine || !split_plan.prefill_engine) {
        return single_plan;
    }
    const auto choice = best_decode_engine(query, *split_plan.prefill_engine,
                                           split_plan.prefill_latency, engines, decode_only);
    if (!choice.decode_engine) {
        return single_plan;
    }
    split_plan.decode_engine = choice.decode_engine;
    split_plan.stream_time = stream_time(query, *choice.decode_engine);
    split_plan.first_event +=
        transfer_time(query, query.prompt_tokens) + m_costs.kv_transfer_overhead;
    const auto split_cost = best_split_cost + choice.cost + m_costs.kv_transfer_overhead;
    return single_plan.decode_engine == nullptr || split_cost < best_single_cost ? split_plan
                                                                                 : single_plan;
}

std::optional<engine_stage> engine_placement::changing_to(const endpoint& engine,
                                                          time_point now) const
{
    const auto found = m_changing.find(engine_number(engine.report.id));
    return found != m_changing.end() && now < found->second.until ? std::optional{found->second.to}
                                                                  : std::nullopt;
}

fractional_milliseconds recent_average::at(time_point now) const noexcept
{
    const fractional_milliseconds passed = now - m_at;
    const fractional_milliseconds time = decay_time;
    return m_value * std::exp(-std::max(passed / time, 0.0));
}

double engine_placement::record_prompt(const prompt_query& query, const endpoint& engine,
                                       fractional_milliseconds prefill_latency)
{
    const auto number = engine_number(engine.report.id);
    const auto all = prefixes_of(*query.prompt);
    const auto added_tokens =
        std::max(query.prompt_tokens - known_cached_tokens(all, engine, query, false), 0.0);
    m_kv_cache.record_added_tokens(number, added_tokens);
    const auto ready = query.now + std::chrono::duration_cast<clock::duration>(prefill_latency);
    for (const auto key : all.keys) {
        m_kv_cache.record_prefix(number, key, ready, query.now);
    }
    return added_tokens;
}

void engine_placement::record_work(const engine_work& work, time_point now)
{
    m_kv_cache.record_added_tokens(work.engine, work.added_tokens);
    if (work.prefix_digest != 0) {
        // The prompt waits for the prefill queued on the engine, which includes its own.
        const auto prefill_latency = work.prefill_time > fractional_milliseconds{0}
                                         ? m_work.wait(work.engine, work.urgency, now)
                                         : fractional_milliseconds{0};
        m_kv_cache.record_prefix(work.engine, work.prefix_digest,
                                 now + std::chrono::duration_cast<clock::duration>(prefill_latency),
                                 now);
    }
}

} // namespace cicadaport::serving
