// Choosing an endpoint for a request.
#pragma once

#include "cicadaport/routing/view.h"

#include <concepts>
#include <random>
#include <span>

namespace cicadaport::routing {

// Source of randomness for one thread.
using random_source = std::mt19937_64;

// A rule that chooses one of several endpoints, or none.
template <typename Rule>
concept placement_rule = requires(Rule rule, std::span<const candidate> among,
                                  random_source& random)
{
    requires std::same_as<decltype(rule.choose(among, random)), const candidate*>;
};

// The less loaded of two endpoints taken at random.
struct two_random_choices {
    const candidate* choose(std::span<const candidate> among, random_source& random) const
    {
        if (among.empty()) {
            return nullptr;
        }
        std::uniform_int_distribution<std::size_t> pick{0, among.size() - 1};
        const auto& first = among[pick(random)];
        const auto& second = among[pick(random)];
        const auto load = [](const candidate& each) {
            return each.load->requests.load(std::memory_order_relaxed);
        };
        return load(second) < load(first) ? &second : &first;
    }
};

static_assert(placement_rule<two_random_choices>);

} // namespace cicadaport::routing
