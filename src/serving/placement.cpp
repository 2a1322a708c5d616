#include "cicadaport/serving/placement.h"

#include <limits>

namespace cicadaport::serving {
namespace {

constexpr double pairs_in_million = 1e6;
constexpr double bits_per_byte = 8;
constexpr double bits_per_ms_per_mbps = 1'000;
// Slowness is believed within these bounds, and a new observation counts so much.
constexpr double least_slowness = 0.7;
constexpr double most_slowness = 8;
constexpr double observation_part = 0.2;
// How far a host trusts that an engine keeps a beginning which other hosts
// would send there too.
constexpr double preferred_engine_trust = 0.5;

std::uint64_t mix(std::uint64_t value) noexcept
{
    // The finalizer of splitmix64.
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// Returns keys of the prompt's shared beginnings, the shortest first. The last
// part belongs to the request itself.
std::vector<std::uint64_t> beginnings_of(const std::vector<prompt_part>& prompt)
{
    std::vector<std::uint64_t> keys;
    std::uint64_t key = 0;
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        key = mix(key ^ prompt[index].id);
        keys.push_back(key);
    }
    return keys;
}

// Returns which engine of a stage all hosts send `key` to while they know
// nothing better: the highest random weight.
const endpoint* preferred(std::uint64_t key, engine_stage stage,
                          const std::vector<endpoint_pointer>& engines)
{
    const endpoint* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& each : engines) {
        const auto weight = mix(key ^ std::hash<std::string>{}(each->report.id));
        if (each->report.stage == stage && (best == nullptr || weight > best_weight)) {
            best = each.get();
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

double engine_placement::kept_tokens(const prompt_question& question, const endpoint& engine,
                                     const preferences& preferred_engines)
{
    const auto& keys = preferred_engines.keys;
    const auto& known = m_engines[engine.report.id].beginnings;
    double kept = 0;
    double rest = 0;
    bool certain = true;
    for (std::size_t index = 0; index < keys.size(); ++index) {
        const auto found = known.find(keys[index]);
        certain = certain && found != known.end() && question.now - found->second < kept_beginning;
        (certain ? kept : rest) += (*question.prompt)[index].tokens;
    }
    const bool is_preferred =
        &engine == preferred_engines.for_prefill || &engine == preferred_engines.for_decode;
    return kept + (is_preferred ? preferred_engine_trust * rest : 0);
}

fine_milliseconds engine_placement::reading_time(const prompt_question& question,
                                                 const endpoint& engine,
                                                 const preferences& preferred_engines)
{
    const auto kept =
        std::min(kept_tokens(question, engine, preferred_engines), question.prompt_tokens);
    const auto read = question.prompt_tokens - kept;
    const auto pairs = read * (kept + read / 2);
    auto time =
        read / m_costs.tokens_per_ms + pairs / pairs_in_million * m_costs.pair_ms_per_million;
    if (engine.report.stage == engine_stage::decode) {
        time /= m_costs.decode_engine_part;
    }
    return fine_milliseconds{time * m_engines[engine.report.id].slowness};
}

prompt_plan engine_placement::choose(const prompt_question& question,
                                     const std::vector<endpoint_pointer>& engines)
{
    constexpr fine_milliseconds never{std::numeric_limits<double>::max()};
    const bool all_avoided = std::all_of(engines.begin(), engines.end(), [&](const auto& each) {
        return m_engines[each->report.id].health.is_avoided(question.now);
    });
    preferences favoured;
    favoured.keys = beginnings_of(*question.prompt);
    if (!favoured.keys.empty()) {
        const auto longest = favoured.keys.back();
        favoured.for_prefill = preferred(longest, engine_stage::prefill, engines);
        favoured.for_decode = preferred(longest, engine_stage::decode, engines);
    }
    prompt_plan alone;
    prompt_plan handed_over;
    fine_milliseconds best_alone = never;
    fine_milliseconds best_reader = never;
    fine_milliseconds best_runner = never;
    endpoint_pointer runner;
    for (const auto& each : engines) {
        auto& known = m_engines[each->report.id];
        if (question.excluded->contains(each->report.id)) {
            continue;
        }
        const auto distance = each->report.availability_zone == question.availability_zone
                                  ? fine_milliseconds{0}
                                  : m_costs.other_zone;
        // An engine that fails is a last resort.
        const auto distrust = known.health.is_avoided(question.now) && !all_avoided
                                  ? fine_milliseconds{std::chrono::seconds{30}}
                                  : fine_milliseconds{0};
        const auto wait = known.queue.wait(question.urgency, question.now) * known.slowness;
        const auto reading = reading_time(question, *each, favoured);
        const auto done = wait + reading + distance + distrust;
        if (each->report.stage == engine_stage::prefill) {
            if (done < best_reader) {
                best_reader = done;
                handed_over.reader = each;
                handed_over.reading = reading;
                handed_over.read_after = wait + reading;
            }
            continue;
        }
        if (done < best_alone) {
            best_alone = done;
            alone.runner = each;
            alone.reading = reading;
            alone.read_after = wait + reading;
        }
        // What waits there delays a prompt that is handed over only where no
        // chunk of it comes first.
        const auto reached = wait / 4 + distance + distrust;
        if (reached < best_runner) {
            best_runner = reached;
            runner = each;
        }
    }
    alone.first_event = best_alone + m_costs.first_event;
    if (!question.may_hand_over || !handed_over.reader || !runner) {
        return alone;
    }
    handed_over.runner = runner;
    const auto bits = question.prompt_tokens * question.bytes_per_token * bits_per_byte;
    const auto transfer = question.link_mbps > 0
                              ? fine_milliseconds{bits / question.link_mbps / bits_per_ms_per_mbps}
                              : fine_milliseconds{0};
    handed_over.first_event =
        best_reader + transfer + m_costs.hand_over + best_runner + m_costs.first_event;
    return handed_over.first_event < alone.first_event ? handed_over : alone;
}

void engine_placement::note_prompt(const std::string& engine,
                                   const std::vector<prompt_part>& prompt, time_point now)
{
    auto& known = m_engines[engine].beginnings;
    for (const auto key : beginnings_of(prompt)) {
        known[key] = now;
    }
    if (known.size() > most_beginnings) {
        std::erase_if(known, [&](const auto& each) { return now - each.second > kept_beginning; });
    }
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
                                           const std::set<std::string>& excluded, time_point now,
                                           std::mt19937_64& random)
{
    endpoint_pointer best;
    double best_cost = std::numeric_limits<double>::max();
    for (const auto& each : replicas) {
        const auto& known = m_replicas[each->report.id];
        if (excluded.contains(each->report.id)) {
            continue;
        }
        const auto slots = std::max(each->report.slots, 1U);
        // One request of this host for each slot is as bad as another zone.
        auto cost = static_cast<double>(known.in_flight) / slots;
        cost += each->report.availability_zone == availability_zone ? 0 : 1;
        cost += known.health.is_avoided(now) ? 1'000 : 0;
        cost += std::uniform_real_distribution<double>{0, 0.05}(random);
        if (cost < best_cost) {
            best_cost = cost;
            best = each;
        }
    }
    return best;
}

} // namespace cicadaport::serving
