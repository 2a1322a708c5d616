#include "cicadaport/serving/placement.h"

#include "cicadaport/serving/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cicadaport::serving {
namespace {

constexpr double bits_per_byte = 8;
constexpr double bits_per_ms_per_mbps = 1'000;
// Bounds of an observed time ratio. Engines differ in speed up to 2.5 times.
constexpr double min_time_ratio = 0.4;
constexpr double max_time_ratio = 8;
// An engine with a shorter predicted wait counts as idle.
constexpr fractional_milliseconds max_idle_wait{1};

// Costs that exceed any wait: for stalling streams, and for an engine that fails.
constexpr fractional_milliseconds stall_cost{std::chrono::seconds{30}};
constexpr fractional_milliseconds last_resort{std::chrono::seconds{60}};
constexpr fractional_milliseconds unusable_cost{std::numeric_limits<double>::max()};

// Cost of a replica that fails all requests, in requests in flight per slot.
constexpr double failure_cost = 4;
constexpr double last_resort_cost = 1'000;

// Returns the engines for which `fits` is true, in the same order on all hosts: those that are fast
// according to `pace` first.
template <typename Fits>
std::vector<const endpoint*> in_common_order(const std::vector<endpoint_pointer>& engines,
                                             const balancing::decode_model& pace, Fits fits)
{
    std::vector<std::pair<std::pair<bool, std::uint64_t>, const endpoint*>> ordered;
    ordered.reserve(engines.size());
    for (const auto& each : engines) {
        if (fits(*each)) {
            const auto number = engine_number(each->report.id);
            ordered.emplace_back(std::pair{!pace.is_fast(number), hash_number(number)}, each.get());
        }
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<const endpoint*> out;
    out.reserve(ordered.size());
    for (const auto& [weight, each] : ordered) {
        out.push_back(each);
    }
    return out;
}

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
    const auto decoding = in_common_order(engines, m_pace, [](const endpoint& each) {
        return each.report.stage != engine_stage::prefill;
    });
    double slots = 1;
    for (const auto* each : decoding) {
        slots = std::max<double>(slots, each->report.slots);
    }
    const auto needed =
        static_cast<double>(m_work.active_streams()) / (slots * m_costs.target_slot_fraction);
    const auto min_count = m_costs.min_decode_only_fraction * static_cast<double>(decoding.size());
    // At least two, so that the loss of one engine does not end all streams.
    const auto count = std::min(
        decoding.size(), static_cast<std::size_t>(std::ceil(std::max({2.0, needed, min_count}))));
    return {decoding.begin(), decoding.begin() + static_cast<std::ptrdiff_t>(count)};
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

fractional_milliseconds engine_placement::penalty_of(const prompt_query& query,
                                                     const endpoint& engine) const
{
    if (changing_to(engine, query.now)) {
        return last_resort;
    }
    const auto found = m_engines.find(engine.report.id);
    if (found == m_engines.end()) {
        return fractional_milliseconds{0};
    }
    const auto& [health, kv_transfer_health] =
        std::tie(found->second.health, found->second.kv_transfer_health);
    if (health.is_ejected(query.now) || kv_transfer_health.is_ejected(query.now)) {
        return last_resort;
    }
    return std::max(health.failure_fraction(), kv_transfer_health.failure_fraction()) *
           m_costs.failure;
}

bool engine_placement::may_use(const prompt_query& query, const endpoint& engine) const
{
    const auto known = m_engines.find(engine.report.id);
    const bool left_alone =
        known != m_engines.end() && known->second.health.is_backing_off(query.now);
    return !left_alone && !query.excluded->contains(engine.report.id);
}

bool engine_placement::may_decode(const prompt_query& query, const endpoint& engine) const
{
    return engine.report.stage != engine_stage::prefill && may_use(query, engine) &&
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
                                     const std::set<const endpoint*>& decode_only) const
{
    const auto needed = needed_interval(query, prefill_latency);
    const auto transfer = transfer_time(query, query.prompt_tokens);
    decode_engine_choice out{nullptr, unusable_cost};
    for (const auto& each : engines) {
        if (!may_decode(query, *each)) {
            continue;
        }
        const auto number = engine_number(each->report.id);
        const auto streams = m_work.active_streams(number);
        const auto stream = stream_cost(query, number, streams, needed);
        auto cost = stream.value_or(static_cast<double>(streams) * m_costs.per_stream) +
                    zone_cost(query, *each) + penalty_of(query, *each);
        if (const auto known = m_engines.find(each->report.id); known != m_engines.end()) {
            const auto& state = known->second;
            cost += state.decode_start_delay.at(query.now);
            if (!stream) {
                const auto pause = state.pause.at(query.now);
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
        if (!decode_only.contains(each.get())) {
            cost += m_costs.mixed_engine_penalty;
            if (stream && query.has_many_events) {
                cost += m_costs.stalled_stream_penalty;
            }
        }
        if (cost < out.cost) {
            out = {each, cost};
        }
    }
    return out;
}

endpoint_pointer
engine_placement::choose_decode_engine(const prompt_query& query, const endpoint& prefill_engine,
                                       const std::vector<endpoint_pointer>& engines)
{
    return best_decode_engine(query, prefill_engine, fractional_milliseconds{0}, engines,
                              decode_only_engines(engines))
        .decode_engine;
}

prompt_plan engine_placement::choose(const prompt_query& query,
                                     const std::vector<endpoint_pointer>& engines)
{
    auto shared = prefixes_of(*query.prompt);
    find_prefix_source(shared, query, engines);
    const auto decode_only = decode_only_engines(engines);
    prompt_plan single_plan;
    prompt_plan split_plan;
    auto best_single_cost = unusable_cost;
    auto best_split_cost = unusable_cost;
    for (const auto& each : engines) {
        const bool is_prefill_engine = each->report.stage == engine_stage::prefill;
        if (is_prefill_engine ? !may_use(query, *each) : !may_decode(query, *each)) {
            continue;
        }
        const auto wait = m_work.wait(engine_number(each->report.id), query.urgency, query.now);
        const auto prefill = estimate_prefill_cost(query, *each, shared);
        const auto prefill_latency = wait + prefill.time;
        const auto distance = zone_cost(query, *each);
        auto cost = prefill_latency + prefill.repeated_cost + distance + penalty_of(query, *each) +
                    m_costs.spread * rendezvous_weight(shared, *each);
        if (!is_prefill_engine && (query.has_many_events || decode_only.contains(each.get()))) {
            // Prefill would stall the streams of the engine, or this one.
            cost += stall_cost;
        }
        if (!is_prefill_engine) {
            const auto number = engine_number(each->report.id);
            const auto streams = m_work.active_streams(number);
            cost += static_cast<double>(streams) * m_costs.per_stalled_stream;
            cost += stream_cost(query, number, streams, needed_interval(query, prefill_latency))
                        .value_or(fractional_milliseconds{0});
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

void engine_placement::record_result(const ended_work& work, double observed, time_point now)
{
    if (!(observed > 0)) {
        return;
    }
    if (work.is_prefill) {
        m_time_ratios[work.engine].record(std::clamp(observed, min_time_ratio, max_time_ratio),
                                          now);
    }
    else {
        m_pace.record(work.engine, work.mean_streams, fractional_milliseconds{observed}, now);
    }
}

double engine_placement::learn_prefill_time(const std::string& engine, const prompt_plan& plan,
                                            fractional_milliseconds observed, time_point now)
{
    const auto wait = plan.prefill_latency - plan.prefill_time;
    if (wait < max_idle_wait) {
        m_prefill_model.learn(plan.prefilled_tokens, plan.prefilled_pairs,
                              observed - plan.prefix_transfer_time);
    }
    return observed_time_ratio(engine, plan.prefill_latency, observed, now);
}

double engine_placement::observed_time_ratio(const std::string& engine,
                                             fractional_milliseconds predicted,
                                             fractional_milliseconds observed, time_point now) const
{
    const auto seen = time_ratio(engine_number(engine), now) *
                      (observed / std::max(predicted, fractional_milliseconds{1}));
    return std::clamp(seen, min_time_ratio, max_time_ratio);
}

bool engine_placement::is_fast(std::uint32_t engine) const
{
    if (m_pace.find(engine) != nullptr) {
        return m_pace.is_fast(engine);
    }
    const auto known = m_time_ratios.find(engine);
    if (known == m_time_ratios.end()) {
        return false;
    }
    double sum = 0;
    for (const auto& each : m_time_ratios) {
        sum += each.second.value();
    }
    const auto mean = sum / static_cast<double>(m_time_ratios.size());
    return mean >= balancing::decode_model::fast_speed * known->second.value();
}

double engine_placement::stream_capacity(const prompt_query& query, const endpoint& engine) const
{
    const auto needed = needed_interval(query, fractional_milliseconds{0});
    const double slots = engine.report.slots;
    return std::min(
        slots,
        m_pace.streams_at(engine_number(engine.report.id), needed, query.now).value_or(slots));
}

double engine_placement::time_ratio(std::uint32_t engine, time_point now) const
{
    const auto found = m_time_ratios.find(engine);
    return found == m_time_ratios.end() ? 1 : found->second.value_now(1, now);
}

endpoint_pointer replica_placement::choose(const std::vector<endpoint_pointer>& replicas,
                                           std::string_view availability_zone,
                                           const std::set<std::string>& excluded,
                                           std::uint32_t max_in_flight, time_point now,
                                           std::mt19937_64& random)
{
    endpoint_pointer best;
    double best_cost = std::numeric_limits<double>::max();
    for (const auto& each : replicas) {
        const auto& known = m_replicas[each->report.id];
        if (excluded.contains(each->report.id) || known.health.is_backing_off(now)) {
            continue;
        }
        const auto slots = std::max(each->report.slots, 1U);
        // One request of this host per slot costs as much as another zone.
        auto cost = static_cast<double>(known.in_flight) / slots;
        cost += each->report.availability_zone == availability_zone ? 0 : 1;
        const bool avoided = known.health.is_ejected(now) || known.in_flight >= max_in_flight;
        cost += avoided ? last_resort_cost : failure_cost * known.health.failure_fraction();
        cost += std::uniform_real_distribution<double>{0, 0.05}(random);
        if (cost < best_cost) {
            best_cost = cost;
            best = each;
        }
    }
    return best;
}

} // namespace cicadaport::serving
