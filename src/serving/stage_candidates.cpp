#include "cicadaport/serving/stage_candidates.h"

#include <algorithm>

namespace cicadaport::serving {

std::vector<endpoint_pointer> choose_engines_to_change(std::vector<stage_candidate> candidates,
                                                       std::size_t count)
{
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const stage_candidate& left, const stage_candidate& right) {
                         return left.cost < right.cost;
                     });
    std::vector<endpoint_pointer> chosen;
    for (const auto& each : candidates) {
        if (chosen.size() < count) {
            chosen.push_back(each.engine);
        }
    }
    return chosen;
}

} // namespace cicadaport::serving
