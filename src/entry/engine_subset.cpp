#include "cicadaport/entry/engine_subset.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace cicadaport::entry {
namespace {

// Rendezvous hash weights and indexes of engines.
using ordered_engines = std::vector<std::pair<std::uint64_t, std::size_t>>;

// Moves engines from `from` to `taken` until `places` usable ones are taken.
// Returns how many usable ones were taken.
std::size_t take(std::span<const subset_candidate> engines, ordered_engines& from,
                 std::size_t places, std::vector<std::size_t>& taken)
{
    std::size_t usable = 0;
    auto next = from.begin();
    for (; next != from.end() && usable < places; ++next) {
        taken.push_back(next->second);
        usable += engines[next->second].usable ? 1U : 0U;
    }
    from.erase(from.begin(), next);
    return usable;
}

// The engines of one stage, in the process's availability zone and in others.
struct stage_engines {
    ordered_engines own;
    ordered_engines other;
    std::size_t size() const noexcept { return own.size() + other.size(); }
};

struct model_engines {
    stage_engines prefill;
    stage_engines decode;
};

// Returns the number of a model's places for prefill engines: their fraction of its
// engines, with a minimum for each stage. Places that one stage can't fill go to the
// other.
std::size_t prefill_places(const model_engines& model, std::size_t places)
{
    const auto prefill = model.prefill.size();
    const auto decode = model.decode.size();
    const auto proportional = (places * prefill + (prefill + decode) / 2) / (prefill + decode);
    const auto wanted =
        std::clamp(proportional, min_engines_per_stage, places - min_engines_per_stage);
    const auto unused_by_decode = places - std::min(decode, places);
    return std::max(std::min(wanted, prefill), unused_by_decode);
}

void take_stage(std::span<const subset_candidate> engines, stage_engines& stage, std::size_t places,
                std::vector<std::size_t>& out)
{
    std::ranges::sort(stage.own);
    const auto usable = take(engines, stage.own, places / 2, out);
    auto& rest = stage.other;
    rest.insert(rest.end(), stage.own.begin(), stage.own.end());
    std::ranges::sort(rest);
    take(engines, rest, places - usable, out);
}

} // namespace

std::uint64_t subset_order(std::string_view process, std::string_view engine)
{
    const auto seed = XXH3_64bits(process.data(), process.size());
    return XXH3_64bits_withSeed(engine.data(), engine.size(), seed);
}

std::vector<std::size_t> choose_subset(std::span<const subset_candidate> engines,
                                       std::string_view process, std::string_view availability_zone)
{
    std::map<std::string_view, model_engines> models;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        auto& model = models[engines[i].model];
        auto& stage = engines[i].prefills ? model.prefill : model.decode;
        auto& group = engines[i].availability_zone == availability_zone ? stage.own : stage.other;
        group.emplace_back(subset_order(process, engines[i].name), i);
    }
    std::vector<std::size_t> out;
    for (auto& [name, model] : models) {
        const auto places = std::max(max_engines / models.size(), min_engines_per_model);
        const auto for_prefill = prefill_places(model, places);
        take_stage(engines, model.prefill, for_prefill, out);
        take_stage(engines, model.decode, places - for_prefill, out);
    }
    std::ranges::sort(out);
    return out;
}

} // namespace cicadaport::entry
