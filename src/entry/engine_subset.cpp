#include "cicadaport/entry/engine_subset.h"

#include <algorithm>
#include <map>

namespace cicadaport::entry {
namespace {

// One model's engines in the order in which a process takes them.
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

} // namespace

// FNV-1a with a finalizer, for names that differ in their last letters only.
std::uint64_t subset_order(std::string_view process, std::string_view engine)
{
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325;
    constexpr std::uint64_t prime = 0x100000001b3;
    constexpr std::uint64_t mix_factor = 0xff51afd7ed558ccd;
    constexpr unsigned mix_shift = 33;
    std::uint64_t hash = offset_basis;
    const auto add = [&](std::string_view text) {
        for (const char each : text) {
            hash = (hash ^ static_cast<unsigned char>(each)) * prime;
        }
    };
    add(process);
    add("/");
    add(engine);
    hash = (hash ^ (hash >> mix_shift)) * mix_factor;
    return hash ^ (hash >> mix_shift);
}

std::vector<std::size_t> choose_subset(std::span<const subset_candidate> engines,
                                       std::string_view process, std::string_view availability_zone)
{
    struct by_zone {
        ordered_engines own;
        ordered_engines other;
    };
    std::map<std::string_view, by_zone> models;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        auto& model = models[engines[i].model];
        auto& group = engines[i].availability_zone == availability_zone ? model.own : model.other;
        group.emplace_back(subset_order(process, engines[i].name), i);
    }
    std::vector<std::size_t> out;
    if (models.empty()) {
        return out;
    }
    const auto places = std::max(most_engines / models.size(), least_engines_per_model);
    for (auto& [name, model] : models) {
        std::ranges::sort(model.own);
        std::ranges::sort(model.other);
        auto usable = take(engines, model.own, places / 2, out);
        model.other.insert(model.other.end(), model.own.begin(), model.own.end());
        std::ranges::sort(model.other);
        usable += take(engines, model.other, places - usable, out);
    }
    std::ranges::sort(out);
    return out;
}

} // namespace cicadaport::entry
