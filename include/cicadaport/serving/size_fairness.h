// Keeps the success rate of large requests close to that of the others.
//
// When prefill is the bottleneck, a policy that maximizes the number of served requests
// favors small ones. A size class whose success rate falls behind that of its route is no
// longer given lower priority.
//
// Pure. Not thread safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace cicadaport::serving {

enum class size_class { usual, large, largest };

class size_fairness {
public:
    // A class is behind when its success rate is below this fraction of its route's;
    // deployments require at least half.
    static constexpr double min_served_ratio = 0.8;
    // Number of recent sizes that are retained for each route.
    static constexpr std::size_t sample_count = 64;

    // Records the size of a request and returns its class among the recent ones: the
    // largest tenth, the next fifth, or the rest.
    size_class classify(const std::string& route, std::uint32_t size);

    // Records whether a request was served.
    void record_outcome(const std::string& route, size_class of, bool served);

    // Returns whether requests of the class are served too seldom.
    bool is_behind(const std::string& route, size_class of) const;

private:
    static constexpr std::size_t classes = 3;
    struct record {
        std::array<std::uint32_t, sample_count> sizes{};
        std::size_t seen = 0;
        // Moving averages of the success rate, of each class and of all requests.
        std::array<double, classes> served{1, 1, 1};
        double all_served = 1;
    };

    std::unordered_map<std::string, record> m_routes;
};

} // namespace cicadaport::serving
