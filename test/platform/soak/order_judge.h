// Checks the orders that engines receive.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cicadaport::platform::testing {

// The orders to one engine never bear a lower fencing token than an earlier one, one token belongs
// to one holder, and orders of two holders are more than `lease` apart.
//
// Pure. Not thread safe.
class order_judge {
public:
    using time_point = std::chrono::steady_clock::time_point;
    static constexpr std::chrono::milliseconds lease{3'000};

    // Records an order, and returns what it violates.
    std::vector<std::string> arrived(const std::string& engine, const std::string& holder,
                                     std::uint64_t token, time_point at)
    {
        ++m_count;
        auto& known = m_engines[engine];
        std::vector<std::string> out;
        const auto violates = [&](const std::string& rule) {
            out.push_back(
                fmt::format("{}: engine {} holder {} token {}", rule, engine, holder, token));
        };
        if (token < known.highest_token) {
            violates(fmt::format("a lower token after {}", known.highest_token));
        }
        known.highest_token = std::max(known.highest_token, token);
        const auto& first = known.holders.emplace(token, holder).first->second;
        if (first != holder) {
            violates(fmt::format("a token of {}", first));
        }
        for (const auto& [other, last] : known.last_orders) {
            if (other != holder && at - last <= lease) {
                violates(fmt::format(
                    "{} ms after an order of {}",
                    std::chrono::duration_cast<std::chrono::milliseconds>(at - last).count(),
                    other));
            }
        }
        known.last_orders[holder] = at;
        return out;
    }

    std::size_t count() const noexcept { return m_count; }

private:
    struct engine_record {
        std::uint64_t highest_token = 0;
        // By token, the holder of its first order.
        std::map<std::uint64_t, std::string> holders;
        // By holder.
        std::map<std::string, time_point> last_orders;
    };

    std::map<std::string, engine_record> m_engines;
    std::size_t m_count = 0;
};

} // namespace cicadaport::platform::testing
