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
constexpr double least_slowness = 0.7;
constexpr double most_slowness = 8;
constexpr double observation_part = 0.2;
// An engine with a shorter predicted wait counts as idle.
constexpr fine_milliseconds idle_wait{1};

// Costs that exceed any wait: for stalling streams, and for an engine that fails.
constexpr fine_milliseconds pauses{std::chrono::seconds{30}};
constexpr fine_milliseconds last_resort{std::chrono::seconds{60}};
constexpr fine_milliseconds never{std::numeric_limits<double>::max()};

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

engine_placement::beginnings engine_placement::beginnings_of(const std::vector<prompt_part>& prompt)
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

std::uint32_t engine_placement::beginning_of(const std::vector<prompt_part>& prompt)
{
    const auto all = beginnings_of(prompt);
    return all.keys.empty() || all.tokens.back() < least_transfer ? 0 : all.keys.back();
}

double engine_placement::weight_of(const beginnings& of, const endpoint& engine)
{
    const auto key = of.keys.empty() ? 0U : of.keys.back();
    constexpr double range = 0x1p64;
    return static_cast<double>(mix(key ^ engine_number(engine.report.id))) / range;
}

double engine_placement::known_to_keep(const beginnings& of, const endpoint& engine,
                                       const prompt_question& question, bool ready_only) const
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

void engine_placement::find_keeper(beginnings& of, const prompt_question& question,
                                   const std::vector<endpoint_pointer>& engines) const
{
    for (const auto& each : engines) {
        const auto kept = known_to_keep(of, *each, question, true);
        if (kept <= of.kept_by_keeper) {
            continue;
        }
        const auto known = m_engines.find(each->report.id);
        const bool avoided =
            known != m_engines.end() && (known->second.health.is_avoided(question.now) ||
                                         known->second.memory_health.is_avoided(question.now));
        if (!avoided) {
            of.keeper = each;
            of.kept_by_keeper = kept;
        }
    }
}

engine_placement::reading_cost engine_placement::cost_of_reading(const prompt_question& question,
                                                                 const endpoint& engine,
                                                                 const beginnings& shared)
{
    const auto here = known_to_keep(shared, engine, question, false);
    const auto there = std::max(here, shared.kept_by_keeper);
    const auto time_of = [this](double tokens) {
        constexpr double thousand = 1e3;
        return tokens / thousand * m_reading.current().each_thousand_tokens;
    };
    reading_cost out;
    out.is_transferred = there - here >= least_transfer;
    const auto kept = std::min(out.is_transferred ? there : here, question.prompt_tokens);
    const auto read = question.prompt_tokens - kept;
    const auto pairs = read * (kept + read / 2);
    const auto time = m_reading.time(read, pairs);
    const auto part =
        engine.report.stage == engine_stage::decode ? m_costs.decode_engine_part : 1.0;
    out.nominal = time;
    out.tokens = read;
    out.pairs = pairs;
    out.time = time / part * m_engines[engine.report.id].slowness;
    if (out.is_transferred) {
        out.fetching = m_costs.transfer_set_up + transfer_time(question, there - here);
        out.time += out.fetching;
        // The copy evicts other prefixes.
        out.repeated = m_costs.copy_weight * time_of(there - here);
    }
    else {
        out.repeated = m_costs.repeated_reading * time_of(there - here);
    }
    return out;
}

std::set<const endpoint*>
engine_placement::answering_engines(const std::vector<endpoint_pointer>& engines) const
{
    const auto decoding = in_common_order(
        engines, [](const endpoint& each) { return each.report.stage != engine_stage::prefill; });
    double slots = 1;
    for (const auto* each : decoding) {
        slots = std::max<double>(slots, each->report.slots);
    }
    const auto needed = static_cast<double>(m_work.answering()) / (slots * m_costs.answering_fill);
    const auto part = m_costs.answering_part * static_cast<double>(decoding.size());
    // At least two, so that the loss of one engine does not end all streams.
    const auto count = std::min(decoding.size(),
                                static_cast<std::size_t>(std::ceil(std::max({2.0, needed, part}))));
    return {decoding.begin(), decoding.begin() + static_cast<std::ptrdiff_t>(count)};
}

fine_milliseconds engine_placement::distance_to(const prompt_question& question,
                                                const endpoint& engine) const
{
    return engine.report.availability_zone == question.availability_zone ? fine_milliseconds{0}
                                                                         : m_costs.other_zone;
}

fine_milliseconds engine_placement::transfer_time(const prompt_question& question, double tokens)
{
    const auto bits = tokens * question.bytes_per_token * bits_per_byte;
    return question.link_mbps > 0
               ? fine_milliseconds{bits / question.link_mbps / bits_per_ms_per_mbps}
               : fine_milliseconds{0};
}

fine_milliseconds engine_placement::distrust_of(const prompt_question& question,
                                                const endpoint& engine) const
{
    if (changing_to(engine, question.now)) {
        return last_resort;
    }
    const auto found = m_engines.find(engine.report.id);
    if (found == m_engines.end()) {
        return fine_milliseconds{0};
    }
    const auto& [health, memory_health] =
        std::tie(found->second.health, found->second.memory_health);
    if (health.is_avoided(question.now) || memory_health.is_avoided(question.now)) {
        return last_resort;
    }
    return std::max(health.failed_part(), memory_health.failed_part()) * m_costs.failure;
}

bool engine_placement::may_use(const prompt_question& question, const endpoint& engine) const
{
    const auto known = m_engines.find(engine.report.id);
    const bool left_alone =
        known != m_engines.end() && known->second.health.is_left_alone(question.now);
    return !left_alone && !question.excluded->contains(engine.report.id);
}

engine_placement::runner_choice
engine_placement::best_runner(const prompt_question& question, const endpoint& reader,
                              const std::vector<endpoint_pointer>& engines) const
{
    const auto answering = answering_engines(engines);
    const auto transfer = transfer_time(question, question.prompt_tokens);
    runner_choice out{nullptr, never};
    for (const auto& each : engines) {
        if (each->report.stage == engine_stage::prefill || !may_use(question, *each)) {
            continue;
        }
        const auto answers = m_work.answering(engine_number(each->report.id));
        auto cost = static_cast<double>(answers) * m_costs.per_answer +
                    distance_to(question, *each) + distrust_of(question, *each);
        if (const auto known = m_engines.find(each->report.id); known != m_engines.end()) {
            const auto& state = known->second;
            const auto pause = state.pause.at(question.now);
            const auto in_time = m_costs.pause_part * question.pause_objective;
            cost += state.answer_wait.at(question.now);
            cost += m_costs.pause_weight * std::max(pause - in_time, fine_milliseconds{0});
        }
        const bool near = each->report.availability_zone == reader.report.availability_zone;
        cost += near ? transfer : 2 * transfer;
        cost += m_costs.pause_behind_reading *
                m_work.wait(engine_number(each->report.id), late_urgency, question.now);
        if (answers >= each->report.slots) {
            // A running stream would be preempted.
            cost += m_costs.no_slot;
        }
        if (!answering.contains(each.get())) {
            cost += m_costs.reads_too;
        }
        if (cost < out.cost) {
            out = {each, cost};
        }
    }
    return out;
}

endpoint_pointer engine_placement::choose_runner(const prompt_question& question,
                                                 const endpoint& reader,
                                                 const std::vector<endpoint_pointer>& engines)
{
    return best_runner(question, reader, engines).runner;
}

prompt_plan engine_placement::choose(const prompt_question& question,
                                     const std::vector<endpoint_pointer>& engines)
{
    auto shared = beginnings_of(*question.prompt);
    find_keeper(shared, question, engines);
    const auto answering = answering_engines(engines);
    prompt_plan alone;
    prompt_plan handed_over;
    auto best_alone = never;
    auto best_reader = never;
    for (const auto& each : engines) {
        if (!may_use(question, *each)) {
            continue;
        }
        const auto wait =
            m_work.wait(engine_number(each->report.id), question.urgency, question.now);
        const auto reading = cost_of_reading(question, *each, shared);
        const auto read_after = wait + reading.time;
        const auto distance = distance_to(question, *each);
        auto cost = read_after + reading.repeated + distance + distrust_of(question, *each) +
                    m_costs.spread * weight_of(shared, *each);
        const bool is_reader = each->report.stage == engine_stage::prefill;
        if (!is_reader && (question.many_events || answering.contains(each.get()))) {
            // Prefill would stall the streams of the engine, or this one.
            cost += pauses;
        }
        if (!is_reader) {
            const auto answers = m_work.answering(engine_number(each->report.id));
            cost += static_cast<double>(answers) * m_costs.per_paused_answer;
        }
        if (cost < (is_reader ? best_reader : best_alone)) {
            auto& plan = is_reader ? handed_over : alone;
            (is_reader ? best_reader : best_alone) = cost;
            (is_reader ? plan.reader : plan.runner) = each;
            plan.beginning_at = reading.is_transferred ? shared.keeper : nullptr;
            plan.reading = reading.time;
            plan.nominal_reading = reading.nominal;
            plan.read_tokens = reading.tokens;
            plan.read_pairs = reading.pairs;
            plan.fetching = reading.fetching;
            plan.read_after = read_after;
            plan.first_event = read_after + distance + m_costs.first_event;
        }
    }
    if (!question.may_hand_over || !handed_over.reader) {
        return alone;
    }
    const auto runner = best_runner(question, *handed_over.reader, engines);
    if (!runner.runner) {
        return alone;
    }
    handed_over.runner = runner.runner;
    handed_over.first_event += transfer_time(question, question.prompt_tokens) + m_costs.hand_over;
    const auto cost_apart = best_reader + runner.cost + m_costs.hand_over;
    return alone.runner == nullptr || cost_apart < best_alone ? handed_over : alone;
}

std::optional<engine_stage> engine_placement::changing_to(const endpoint& engine,
                                                          time_point now) const
{
    const auto found = m_changing.find(engine_number(engine.report.id));
    return found != m_changing.end() && now < found->second.until ? std::optional{found->second.to}
                                                                  : std::nullopt;
}

fine_milliseconds recent_average::at(time_point now) const noexcept
{
    const fine_milliseconds passed = now - m_at;
    const fine_milliseconds time = forgotten;
    return m_value * std::exp(-std::max(passed / time, 0.0));
}

double engine_placement::note_prompt(const prompt_question& question, const endpoint& engine,
                                     fine_milliseconds read_after)
{
    const auto number = engine_number(engine.report.id);
    const auto all = beginnings_of(*question.prompt);
    const auto taken_in =
        std::max(question.prompt_tokens - known_to_keep(all, engine, question, false), 0.0);
    m_memory.note_taken_in(number, taken_in);
    const auto ready = question.now + std::chrono::duration_cast<clock::duration>(read_after);
    for (const auto key : all.keys) {
        m_memory.note_beginning(number, key, ready, question.now);
    }
    return taken_in;
}

void engine_placement::note_work(const engine_work& work, time_point now)
{
    m_memory.note_taken_in(work.engine, work.taken_in);
    if (work.beginning != 0) {
        // The prompt waits for the prefill queued on the engine, which includes its own.
        const auto read_after = work.reading > fine_milliseconds{0}
                                    ? m_work.wait(work.engine, work.urgency, now)
                                    : fine_milliseconds{0};
        m_memory.note_beginning(work.engine, work.beginning,
                                now + std::chrono::duration_cast<clock::duration>(read_after), now);
    }
}

void engine_placement::note_reading(const std::string& engine, const prompt_plan& plan,
                                    fine_milliseconds observed)
{
    const auto wait = plan.read_after - plan.reading;
    if (wait < idle_wait) {
        m_reading.learn(plan.read_tokens, plan.read_pairs, observed - plan.fetching);
    }
    note_time(engine, plan.read_after, observed);
}

void engine_placement::note_time(const std::string& engine, fine_milliseconds predicted,
                                 fine_milliseconds observed)
{
    auto& slowness = m_engines[engine].slowness;
    const auto seen = slowness * (observed / std::max(predicted, fine_milliseconds{1}));
    slowness += observation_part * (std::clamp(seen, least_slowness, most_slowness) - slowness);
}

endpoint_pointer replica_placement::choose(const std::vector<endpoint_pointer>& replicas,
                                           std::string_view availability_zone,
                                           const std::set<std::string>& excluded,
                                           std::uint32_t most_in_flight, time_point now,
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
        const bool avoided = known.health.is_avoided(now) || known.in_flight >= most_in_flight;
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
