#include "cicadaport/routing/placement.h"

#include <algorithm>
#include <limits>

namespace cicadaport::routing {
namespace {

// Random draws before a linear search for an endpoint that accepts work.
constexpr int max_draws = 8;

const candidate& draw(std::span<const candidate> candidates, random_source& random)
{
    // Multiplies instead of dividing; the bias is below 2^-32 per endpoint.
    const auto high = random() >> 32U;
    return candidates[static_cast<std::size_t>((high * candidates.size()) >> 32U)];
}

const candidate* draw_serving(const placement_query& query, random_source& random)
{
    if (query.candidates.empty()) {
        return nullptr;
    }
    for (int i = 0; i < max_draws; ++i) {
        const auto& drawn = draw(query.candidates, random);
        if (serves_whole_requests(query, drawn)) {
            return &drawn;
        }
    }
    const auto found =
        std::find_if(query.candidates.begin(), query.candidates.end(),
                     [&](const candidate& each) { return serves_whole_requests(query, each); });
    return found == query.candidates.end() ? nullptr : &*found;
}

work_sum backlog_of(const placement_query& query, const candidate& at) noexcept
{
    auto out = own_work(*at.load);
    if (query.loads != nullptr) {
        out += query.loads->at(at.load->index).others;
    }
    return out;
}

placement_choice choice_of(const placement_query& query, const candidate* chosen)
{
    return {chosen, chosen == nullptr ? predicted_times{} : predict_at(query, *chosen)};
}

const candidate* find_by_index(std::span<const candidate> candidates, std::uint32_t index)
{
    // Candidates of a view are sorted by index.
    const auto found = std::lower_bound(
        candidates.begin(), candidates.end(), index,
        [](const candidate& each, std::uint32_t wanted) { return each.load->index < wanted; });
    return found != candidates.end() && found->load->index == index ? &*found : nullptr;
}

// Finds the candidate with the earliest predicted completion.
class best_choice {
public:
    explicit best_choice(const placement_query& query) : m_query{query} {}

    // Ignores null and candidates that were already considered.
    void consider(const candidate* each)
    {
        const auto seen = std::span{m_seen}.first(m_considered);
        if (each == nullptr || m_considered == m_seen.size() ||
            std::find(seen.begin(), seen.end(), each) != seen.end()) {
            return;
        }
        m_seen[m_considered++] = each;
        const auto predicted = predict_at(m_query, *each);
        if (m_best.chosen == nullptr || predicted.completion < m_best.predicted.completion) {
            m_best = {each, predicted};
        }
    }

    std::size_t considered() const noexcept { return m_considered; }
    const placement_choice& best() const noexcept { return m_best; }

    // Returns the best of the same candidates for a prompt whose prefill at
    // `prefill` is complete after `prefilled_after`.
    placement_choice best_after(const candidate& prefill, seconds prefilled_after) const
    {
        auto transferred = m_query;
        transferred.prefilled = true;
        const auto transferred_after =
            prefilled_after + transfer_time(m_query.speed, m_query.needs);
        placement_choice best;
        for (const auto* each : std::span{m_seen}.first(m_considered)) {
            auto predicted = predict_at(transferred, *each);
            const auto answer_time = predicted.completion - predicted.first_token;
            // The endpoint works off its queue during the prefill.
            predicted.first_token =
                std::max(predicted.first_token, transferred_after + m_query.speed.step_base);
            predicted.completion = predicted.first_token + answer_time;
            if (best.chosen == nullptr || predicted.completion < best.predicted.completion) {
                best = {each, predicted, &prefill, prefilled_after};
            }
        }
        return best;
    }

private:
    const placement_query& m_query;
    placement_choice m_best;
    std::array<const candidate*,
               predicted_completion::sample_size + predicted_completion::max_holders>
        m_seen{};
    std::size_t m_considered = 0;
};

// Lets `best` consider a random sample of endpoints and the holders of the longest
// prompt prefixes.
void consider_sample(best_choice& best, const placement_query& query, random_source& random)
{
    constexpr auto sample_size = predicted_completion::sample_size;
    const auto wanted = std::min(sample_size, query.candidates.size());
    for (std::size_t draws = 0; best.considered() < wanted && draws < 2 * sample_size; ++draws) {
        best.consider(draw_serving(query, random));
    }
    const auto holders = query.prefix.holders();
    const auto most = std::min(predicted_completion::max_holders, holders.size());
    for (const auto& holder : holders.first(most)) {
        const auto* each = find_by_index(query.candidates, holder.endpoint);
        if (each != nullptr && serves_whole_requests(query, *each)) {
            best.consider(each);
        }
    }
}

// Finds the prefill engine with the earliest predicted end of the prefill.
class best_prefill {
public:
    explicit best_prefill(const placement_query& query) : m_query{query} {}

    // Returns whether the endpoint is a candidate and a prefill engine.
    bool consider(std::uint32_t index)
    {
        const auto* each = find_by_index(m_query.candidates, index);
        if (each == nullptr || !serves_prefills(m_query, *each)) {
            return false;
        }
        const auto after = predict_prefill_at(m_query, *each);
        if (m_best == nullptr || after < m_after) {
            m_best = each;
            m_after = after;
        }
        return true;
    }

    const candidate* best() const noexcept { return m_best; }
    seconds after() const noexcept { return m_after; }

private:
    const placement_query& m_query;
    const candidate* m_best = nullptr;
    seconds m_after{0};
};

// Lets `best` consider a few prefill engines and all prefix holders. The list of
// prefill engines is scanned from a random position for a limited number of steps,
// because it also has engines of other models.
void consider_sample(best_prefill& best, const placement_query& query, random_source& random)
{
    constexpr std::size_t max_steps = 8;
    const auto& all = query.loads->prefill_engines;
    const auto begin = static_cast<std::size_t>(((random() >> 32U) * all.size()) >> 32U);
    std::size_t found = 0;
    for (std::size_t step = 0; step < std::min(max_steps, all.size()); ++step) {
        found += best.consider(all[(begin + step) % all.size()]) ? 1 : 0;
        if (found == two_stage_completion::prefill_sample_size) {
            break;
        }
    }
    for (const auto& holder : query.prefix.holders()) {
        best.consider(holder.endpoint);
    }
}

// Returns whether the uncached part of the prompt is long enough for two stages.
bool is_long_prompt(const placement_query& query, const candidate& at) noexcept
{
    const auto cached = query.prefix.tokens_at(at.load->index);
    return query.needs.prompt_tokens - cached >= two_stage_completion::min_prefill_tokens;
}

} // namespace

predicted_times predict_at(const placement_query& query, const candidate& at) noexcept
{
    const auto cached = query.prefilled
                            ? query.needs.prompt_tokens
                            : static_cast<double>(query.prefix.tokens_at(at.load->index));
    auto out = predict(query.speed, backlog_of(query, at), query.needs, cached);
    const double correction = at.load->correction.load(std::memory_order_relaxed);
    out.first_token *= correction;
    out.completion *= correction;
    return out;
}

seconds predict_prefill_at(const placement_query& query, const candidate& at) noexcept
{
    const auto cached = query.prefix.tokens_at(at.load->index);
    const double correction = at.load->correction.load(std::memory_order_relaxed);
    return correction * predict_prefill(query.speed, backlog_of(query, at), query.needs, cached);
}

bool serves_prefills(const placement_query& query, const candidate& at) noexcept
{
    if (query.loads == nullptr) {
        return false;
    }
    const auto& report = query.loads->at(at.load->index);
    return report.serving && report.role == engine_role::prefill;
}

bool serves_whole_requests(const placement_query& query, const candidate& at) noexcept
{
    if (query.loads == nullptr) {
        return true;
    }
    const auto& report = query.loads->at(at.load->index);
    return report.serving && report.role != engine_role::prefill;
}

placement_choice predicted_completion::choose(const placement_query& query,
                                              random_source& random) const
{
    best_choice best{query};
    consider_sample(best, query, random);
    return best.best();
}

placement_choice two_stage_completion::choose(const placement_query& query,
                                              random_source& random) const
{
    best_choice whole{query};
    consider_sample(whole, query, random);
    const auto& one_stage = whole.best();
    const bool has_prefills = query.loads != nullptr && !query.loads->prefill_engines.empty();
    if (!has_prefills || query.prefilled || one_stage.chosen == nullptr ||
        !is_long_prompt(query, *one_stage.chosen)) {
        return one_stage;
    }
    best_prefill prefills{query};
    consider_sample(prefills, query, random);
    if (prefills.best() == nullptr) {
        return one_stage;
    }
    const auto two_stages = whole.best_after(*prefills.best(), prefills.after());
    return two_stages.predicted.completion < one_stage.predicted.completion ? two_stages
                                                                            : one_stage;
}

placement_choice two_random_choices::choose(const placement_query& query,
                                            random_source& random) const
{
    const auto* first = draw_serving(query, random);
    const auto* second = draw_serving(query, random);
    if (first == nullptr) {
        return {};
    }
    const bool second_is_less =
        backlog_of(query, *second).requests < backlog_of(query, *first).requests;
    return choice_of(query, second_is_less ? second : first);
}

const candidate* two_random_choices::choose(std::span<const candidate> candidates,
                                            random_source& random) const
{
    if (candidates.empty()) {
        return nullptr;
    }
    const auto& first = draw(candidates, random);
    const auto& second = draw(candidates, random);
    const auto load = [](const candidate& each) {
        return each.load->requests.load(std::memory_order_relaxed);
    };
    return load(second) < load(first) ? &second : &first;
}

placement_choice random_choice::choose(const placement_query& query, random_source& random) const
{
    return choice_of(query, draw_serving(query, random));
}

placement_choice round_robin::choose(const placement_query& query, random_source& random)
{
    static_cast<void>(random);
    for (std::size_t tries = 0; tries < query.candidates.size(); ++tries) {
        const auto& each = query.candidates[m_next++ % query.candidates.size()];
        if (serves_whole_requests(query, each)) {
            return choice_of(query, &each);
        }
    }
    return {};
}

placement_choice least_outstanding::choose(const placement_query& query,
                                           random_source& random) const
{
    static_cast<void>(random);
    const candidate* best = nullptr;
    auto least = std::numeric_limits<double>::max();
    for (const auto& each : query.candidates) {
        const auto requests = backlog_of(query, each).requests;
        if (requests < least && serves_whole_requests(query, each)) {
            best = &each;
            least = requests;
        }
    }
    return choice_of(query, best);
}

placement_choice cache_only::choose(const placement_query& query, random_source& random) const
{
    const candidate* best = nullptr;
    std::uint32_t most = 0;
    for (const auto& holder : query.prefix.holders()) {
        const auto* each = find_by_index(query.candidates, holder.endpoint);
        if (each != nullptr && holder.tokens > most && serves_whole_requests(query, *each)) {
            best = each;
            most = holder.tokens;
        }
    }
    return choice_of(query, best != nullptr ? best : draw_serving(query, random));
}

} // namespace cicadaport::routing
