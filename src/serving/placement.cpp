#include "cicadaport/serving/placement.h"

#include "cicadaport/serving/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cicadaport::serving {
namespace {

constexpr double bits_per_byte = 8;
constexpr double bits_per_ms_per_mbps = 1'000;
// Bounds of the time ratio of an engine, and the weight of a new observation.
constexpr double min_time_ratio = 0.7;
constexpr double max_time_ratio = 8;
constexpr double observation_weight = 0.2;
// An engine with a shorter predicted wait counts as idle.
constexpr fractional_milliseconds max_idle_wait{1};

// Costs that exceed any wait: for stalling streams, and for an engine that fails.
constexpr fractional_milliseconds pauses{std::chrono::seconds{30}};
constexpr fractional_milliseconds last_resort{std::chrono::seconds{60}};
constexpr fractional_milliseconds never{std::numeric_limits<double>::max()};

// Cost of a replica that fails all requests, in requests in flight per slot.
constexpr double failure_cost = 4;
constexpr double last_resort_cost = 1'000;

// Returns the engines for which `fits` is true, in the same order on all hosts.
template <typename Fits>
std::vector<const endpoint*> in_common_order(const std::vector<endpoint_pointer>& engines,
                                             Fits fits)
{
    std::vector<std::pair<std::uint64_t, const endpoint*>> ordered;
    for (const auto& each : engines) {
        if (fits(*each)) {
            ordered.emplace_back(mix(engine_number(each->report.id)), each.get());
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

engine_placement::beginnings engine_placement::prefixes_of(const std::vector<prompt_part>& prompt)
{
    beginnings out;
    std::uint64_t key = 0;
    double tokens = 0;
    // The last part is specific to the request.
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        key = mix(key ^ prompt[index].id);
        tokens += prompt[index].tokens;
        out.keys.push_back(static_cast<std::uint32_t>(key));
        out.tokens.push_back(tokens);
    }
    return out;
}

std::uint32_t engine_placement::shared_prefix_digest(const std::vector<prompt_part>& prompt)
{
    const auto all = prefixes_of(prompt);
    return all.keys.empty() || all.tokens.back() < min_transfer_tokens ? 0 : all.keys.back();
}

double engine_placement::weight_of(const beginnings& of, const endpoint& engine)
{
    const auto key = of.keys.empty() ? 0U : of.keys.back();
    constexpr double range = 0x1p64;
    return static_cast<double>(mix(key ^ engine_number(engine.report.id))) / range;
}

double engine_placement::known_cached_tokens(const beginnings& of, const endpoint& engine,
                                             const prompt_query& question, bool ready_only) const
{
    const auto number = engine_number(engine.report.id);
    for (auto index = of.keys.size(); index-- > 0;) {
        const auto key = of.keys[index];
        if (m_memory.keeps(number, key, question.memory_tokens, question.now) &&
            (!ready_only || m_memory.is_ready(number, key, question.now))) {
            return of.tokens[index];
        }
    }
    return 0;
}

void engine_placement::find_prefix_source(beginnings& of, const prompt_query& question,
                                          const std::vector<endpoint_pointer>& engines) const
{
    for (const auto& each : engines) {
        const auto kept = known_cached_tokens(of, *each, question, true);
        if (kept <= of.source_tokens) {
            continue;
        }
        const auto known = m_engines.find(each->report.id);
        const bool avoided =
            known != m_engines.end() && (known->second.health.is_avoided(question.now) ||
                                         known->second.kv_transfer_health.is_avoided(question.now));
        if (!avoided) {
            of.keeper = each;
            of.source_tokens = kept;
        }
    }
}

engine_placement::prefill_cost engine_placement::estimate_prefill_cost(const prompt_query& question,
                                                                       const endpoint& engine,
                                                                       const beginnings& shared)
{
    const auto here = known_cached_tokens(shared, engine, question, false);
    const auto there = std::max(here, shared.source_tokens);
    const auto time_of = [this](double tokens) {
        constexpr double thousand = 1e3;
        return tokens / thousand * m_reading.current().per_thousand_tokens;
    };
    prefill_cost out;
    out.is_transferred = there - here >= min_transfer_tokens;
    const auto kept = std::min(out.is_transferred ? there : here, question.prompt_tokens);
    const auto read = question.prompt_tokens - kept;
    const auto pairs = read * (kept + read / 2);
    const auto time = m_reading.time(read, pairs);
    const auto part =
        engine.report.stage == engine_stage::decode ? m_costs.decode_engine_speed_ratio : 1.0;
    out.nominal = time;
    out.tokens = read;
    out.pairs = pairs;
    out.time = time / part * m_engines[engine.report.id].time_ratio;
    if (out.is_transferred) {
        out.fetching = m_costs.transfer_setup + transfer_time(question, there - here);
        out.time += out.fetching;
        // The copy evicts other prefixes.
        out.repeated = m_costs.copy_weight * time_of(there - here);
    }
    else {
        out.repeated = m_costs.repeated_prefill_weight * time_of(there - here);
    }
    return out;
}

std::set<const endpoint*>
engine_placement::decode_only_engines(const std::vector<endpoint_pointer>& engines) const
{
    const auto decoding = in_common_order(
        engines, [](const endpoint& each) { return each.report.stage != engine_stage::prefill; });
    double slots = 1;
    for (const auto* each : decoding) {
        slots = std::max<double>(slots, each->report.slots);
    }
    const auto needed =
        static_cast<double>(m_work.answering()) / (slots * m_costs.target_slot_fraction);
    const auto part = m_costs.min_decode_only_fraction * static_cast<double>(decoding.size());
    // At least two, so that the loss of one engine does not end all streams.
    const auto count = std::min(decoding.size(),
                                static_cast<std::size_t>(std::ceil(std::max({2.0, needed, part}))));
    return {decoding.begin(), decoding.begin() + static_cast<std::ptrdiff_t>(count)};
}

fractional_milliseconds engine_placement::zone_cost(const prompt_query& question,
                                                    const endpoint& engine) const
{
    return engine.report.availability_zone == question.availability_zone
               ? fractional_milliseconds{0}
               : m_costs.other_zone;
}

fractional_milliseconds engine_placement::transfer_time(const prompt_query& question, double tokens)
{
    const auto bits = tokens * question.bytes_per_token * bits_per_byte;
    return question.link_mbps > 0
               ? fractional_milliseconds{bits / question.link_mbps / bits_per_ms_per_mbps}
               : fractional_milliseconds{0};
}

fractional_milliseconds engine_placement::penalty_of(const prompt_query& question,
                                                     const endpoint& engine) const
{
    if (changing_to(engine, question.now)) {
        return last_resort;
    }
    const auto found = m_engines.find(engine.report.id);
    if (found == m_engines.end()) {
        return fractional_milliseconds{0};
    }
    const auto& [health, kv_transfer_health] =
        std::tie(found->second.health, found->second.kv_transfer_health);
    if (health.is_avoided(question.now) || kv_transfer_health.is_avoided(question.now)) {
        return last_resort;
    }
    return std::max(health.failed_part(), kv_transfer_health.failed_part()) * m_costs.failure;
}

bool engine_placement::may_use(const prompt_query& question, const endpoint& engine) const
{
    const auto known = m_engines.find(engine.report.id);
    const bool left_alone =
        known != m_engines.end() && known->second.health.is_left_alone(question.now);
    return !left_alone && !question.excluded->contains(engine.report.id);
}

engine_placement::decode_engine_choice
engine_placement::best_decode_engine(const prompt_query& question, const endpoint& reader,
                                     const std::vector<endpoint_pointer>& engines) const
{
    const auto answering = decode_only_engines(engines);
    const auto transfer = transfer_time(question, question.prompt_tokens);
    decode_engine_choice out{nullptr, never};
    for (const auto& each : engines) {
        if (each->report.stage == engine_stage::prefill || !may_use(question, *each)) {
            continue;
        }
        const auto answers = m_work.answering(engine_number(each->report.id));
        auto cost = static_cast<double>(answers) * m_costs.per_stream + zone_cost(question, *each) +
                    penalty_of(question, *each);
        if (const auto known = m_engines.find(each->report.id); known != m_engines.end()) {
            const auto& state = known->second;
            const auto pause = state.pause.at(question.now);
            const auto in_time = m_costs.pause_objective_fraction * question.pause_objective;
            cost += state.answer_wait.at(question.now);
            cost += m_costs.pause_weight * std::max(pause - in_time, fractional_milliseconds{0});
        }
        const bool near = each->report.availability_zone == reader.report.availability_zone;
        cost += near ? transfer : 2 * transfer;
        cost += m_costs.queued_prefill_weight *
                m_work.wait(engine_number(each->report.id), late_urgency, question.now);
        if (answers >= each->report.slots) {
            // A running stream would be preempted.
            cost += m_costs.no_free_slot_penalty;
        }
        if (!answering.contains(each.get())) {
            cost += m_costs.mixed_engine_penalty;
        }
        if (cost < out.cost) {
            out = {each, cost};
        }
    }
    return out;
}

endpoint_pointer
engine_placement::choose_decode_engine(const prompt_query& question, const endpoint& reader,
                                       const std::vector<endpoint_pointer>& engines)
{
    return best_decode_engine(question, reader, engines).runner;
}

prompt_plan engine_placement::choose(const prompt_query& question,
                                     const std::vector<endpoint_pointer>& engines)
{
    auto shared = prefixes_of(*question.prompt);
    find_prefix_source(shared, question, engines);
    const auto answering = decode_only_engines(engines);
    prompt_plan alone;
    prompt_plan handed_over;
    auto best_single_cost = never;
    auto best_split_cost = never;
    for (const auto& each : engines) {
        if (!may_use(question, *each)) {
            continue;
        }
        const auto wait =
            m_work.wait(engine_number(each->report.id), question.urgency, question.now);
        const auto reading = estimate_prefill_cost(question, *each, shared);
        const auto prefill_latency = wait + reading.time;
        const auto distance = zone_cost(question, *each);
        auto cost = prefill_latency + reading.repeated + distance + penalty_of(question, *each) +
                    m_costs.spread * weight_of(shared, *each);
        const bool is_prefill_engine = each->report.stage == engine_stage::prefill;
        if (!is_prefill_engine && (question.has_many_events || answering.contains(each.get()))) {
            // Prefill would stall the streams of the engine, or this one.
            cost += pauses;
        }
        if (!is_prefill_engine) {
            const auto answers = m_work.answering(engine_number(each->report.id));
            cost += static_cast<double>(answers) * m_costs.per_stalled_stream;
        }
        if (cost < (is_prefill_engine ? best_split_cost : best_single_cost)) {
            auto& plan = is_prefill_engine ? handed_over : alone;
            (is_prefill_engine ? best_split_cost : best_single_cost) = cost;
            (is_prefill_engine ? plan.reader : plan.runner) = each;
            plan.beginning_at = reading.is_transferred ? shared.keeper : nullptr;
            plan.reading = reading.time;
            plan.nominal_prefill_time = reading.nominal;
            plan.prefilled_tokens = reading.tokens;
            plan.prefilled_pairs = reading.pairs;
            plan.fetching = reading.fetching;
            plan.prefill_latency = prefill_latency;
            plan.first_event = prefill_latency + distance + m_costs.first_event;
        }
    }
    if (!question.can_use_prefill_engine || !handed_over.reader) {
        return alone;
    }
    const auto runner = best_decode_engine(question, *handed_over.reader, engines);
    if (!runner.runner) {
        return alone;
    }
    handed_over.runner = runner.runner;
    handed_over.first_event += transfer_time(question, question.prompt_tokens) + m_costs.hand_over;
    const auto split_cost = best_split_cost + runner.cost + m_costs.hand_over;
    return alone.runner == nullptr || split_cost < best_single_cost ? handed_over : alone;
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
    const fractional_milliseconds time = forgotten;
    return m_value * std::exp(-std::max(passed / time, 0.0));
}

double engine_placement::record_prompt(const prompt_query& question, const endpoint& engine,
                                       fractional_milliseconds prefill_latency)
{
    const auto number = engine_number(engine.report.id);
    const auto all = prefixes_of(*question.prompt);
    const auto taken_in =
        std::max(question.prompt_tokens - known_cached_tokens(all, engine, question, false), 0.0);
    m_memory.record_added_tokens(number, taken_in);
    const auto ready = question.now + std::chrono::duration_cast<clock::duration>(prefill_latency);
    for (const auto key : all.keys) {
        m_memory.record_prefix(number, key, ready, question.now);
    }
    return taken_in;
}

void engine_placement::note_work(const engine_work& work, time_point now)
{
    m_memory.record_added_tokens(work.engine, work.taken_in);
    if (work.beginning != 0) {
        // The prompt waits for the prefill queued on the engine, which includes its own.
        const auto prefill_latency = work.reading > fractional_milliseconds{0}
                                         ? m_work.wait(work.engine, work.urgency, now)
                                         : fractional_milliseconds{0};
        m_memory.record_prefix(work.engine, work.beginning,
                               now + std::chrono::duration_cast<clock::duration>(prefill_latency),
                               now);
    }
}

void engine_placement::record_prefill_time(const std::string& engine, const prompt_plan& plan,
                                           fractional_milliseconds observed)
{
    const auto wait = plan.prefill_latency - plan.reading;
    if (wait < max_idle_wait) {
        m_reading.learn(plan.prefilled_tokens, plan.prefilled_pairs, observed - plan.fetching);
    }
    record_time(engine, plan.prefill_latency, observed);
}

void engine_placement::record_time(const std::string& engine, fractional_milliseconds predicted,
                                   fractional_milliseconds observed)
{
    auto& time_ratio = m_engines[engine].time_ratio;
    const auto seen = time_ratio * (observed / std::max(predicted, fractional_milliseconds{1}));
    time_ratio +=
        observation_weight * (std::clamp(seen, min_time_ratio, max_time_ratio) - time_ratio);
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
        if (excluded.contains(each->report.id) || known.health.is_left_alone(now)) {
            continue;
        }
        const auto slots = std::max(each->report.slots, 1U);
        // One request of this host per slot costs as much as another zone.
        auto cost = static_cast<double>(known.in_flight) / slots;
        cost += each->report.availability_zone == availability_zone ? 0 : 1;
        const bool avoided = known.health.is_avoided(now) || known.in_flight >= max_in_flight;
        cost += avoided ? last_resort_cost : failure_cost * known.health.failed_part();
        cost += std::uniform_real_distribution<double>{0, 0.05}(random);
        if (cost < best_cost) {
            best_cost = cost;
            best = each;
        }
    }
    return best;
}

} // namespace cicadaport::serving
