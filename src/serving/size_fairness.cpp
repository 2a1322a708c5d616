#include "cicadaport/serving/size_fairness.h"

#include <algorithm>

namespace cicadaport::serving {
namespace {

constexpr double largest_fraction = 0.1;
constexpr double large_fraction = 0.3;
// Weights of one outcome in the moving averages; a class has about a tenth of the
// requests.
constexpr double class_weight = 0.1;
constexpr double overall_weight = 0.02;

} // namespace

size_class size_fairness::classify(const std::string& route, std::uint32_t size)
{
    auto& known = m_routes[route];
    const auto count = std::min(known.seen, sample_count);
    const auto larger = std::count_if(known.sizes.begin(), known.sizes.begin() + count,
                                      [&](std::uint32_t each) { return each >= size; });
    known.sizes.at(known.seen++ % sample_count) = size;
    const auto fraction =
        static_cast<double>(larger) / static_cast<double>(std::max<std::size_t>(count, 1));
    if (count < sample_count / 4 || fraction >= large_fraction) {
        return size_class::usual;
    }
    return fraction < largest_fraction ? size_class::largest : size_class::large;
}

void size_fairness::record_outcome(const std::string& route, size_class of, bool served)
{
    auto& known = m_routes[route];
    const double outcome = served ? 1 : 0;
    auto& fraction = known.served.at(static_cast<std::size_t>(of));
    fraction += class_weight * (outcome - fraction);
    known.all_served += overall_weight * (outcome - known.all_served);
}

bool size_fairness::is_behind(const std::string& route, size_class of) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && of != size_class::usual &&
           found->second.served.at(static_cast<std::size_t>(of)) <
               min_served_ratio * found->second.all_served;
}

} // namespace cicadaport::serving
