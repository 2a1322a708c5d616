#include "cicadaport/serving/stage_candidates.h"

#include <algorithm>
#include <tuple>

namespace cicadaport::serving {

std::vector<endpoint_pointer> choose_engines_to_change(std::vector<stage_candidate> candidates,
                                                       std::span<const endpoint_pointer> decoding,
                                                       engine_stage to, std::size_t count)
{
    std::unordered_map<origin_id, std::size_t> decode_engines;
    for (const auto& each : decoding) {
        ++decode_engines[origin_of(each->report)];
    }
    const bool is_mixed = decode_engines.size() > 1;
    const auto count_of = [&](const stage_candidate& each) -> std::size_t& {
        return decode_engines[origin_of(each.engine->report)];
    };
    std::vector<endpoint_pointer> chosen;
    while (chosen.size() < count) {
        if (to == engine_stage::prefill && is_mixed) {
            std::erase_if(candidates, [&](const stage_candidate& each) {
                return count_of(each) <= min_decode_engines_per_version;
            });
        }
        const auto best = std::min_element(
            candidates.begin(), candidates.end(),
            [&](const stage_candidate& left, const stage_candidate& right) {
                const auto left_count = count_of(left);
                const auto right_count = count_of(right);
                return to == engine_stage::prefill
                           ? std::tie(right_count, left.cost) < std::tie(left_count, right.cost)
                           : std::tie(left_count, left.cost) < std::tie(right_count, right.cost);
            });
        if (best == candidates.end()) {
            break;
        }
        to == engine_stage::prefill ? --count_of(*best) : ++count_of(*best);
        chosen.push_back(best->engine);
        candidates.erase(best);
    }
    return chosen;
}

} // namespace cicadaport::serving
