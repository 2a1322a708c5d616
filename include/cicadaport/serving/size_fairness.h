// Sees to it that large requests are served about as often as others.
//
// The load that this answers: when reading prompts binds, whatever serves the
// most requests serves the small ones. A size class that falls behind its
// route's other requests is no longer put behind them.
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
    // A class is behind when it is served less often than this part of its
    // route's requests; half of them is what the deployments demand.
    static constexpr double least_part = 0.8;
    // Sizes that are remembered of each route.
    static constexpr std::size_t remembered = 64;

    // Notes the size of a request and returns its class among the recent ones:
    // the largest tenth, the fifth below it, or the rest.
    size_class classify(const std::string& route, std::uint32_t size);

    // Notes whether a request was served.
    void note(const std::string& route, size_class of, bool served);

    // Returns whether requests of the class are served too seldom.
    bool is_behind(const std::string& route, size_class of) const;

private:
    static constexpr std::size_t classes = 3;
    struct record {
        std::array<std::uint32_t, remembered> sizes{};
        std::size_t seen = 0;
        // Parts served, as moving averages: of each class and of all.
        std::array<double, classes> served{1, 1, 1};
        double all_served = 1;
    };

    std::unordered_map<std::string, record> m_routes;
};

} // namespace cicadaport::serving
