// Filters the endpoints that an attempt may use.
#pragma once

#include "cicadaport/entry/circuit_breaker.h"

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

namespace cicadaport::entry {

// Excludes the endpoints that an earlier attempt of the same request used and
// those whose circuit is open. The constructor's arguments must outlive it.
// Belongs to one event loop.
class endpoint_filter {
public:
    endpoint_filter(std::span<const std::string> tried, breaker_table& breakers,
                    std::chrono::steady_clock::time_point now) noexcept
        : m_tried{tried}, m_breakers{breakers}, m_now{now}
    {
    }

    // Returns whether the request has no earlier attempt.
    bool is_first_attempt() const noexcept { return m_tried.empty(); }

    // Returns whether an earlier attempt used the endpoint `name`.
    bool has_tried(std::string_view name) const noexcept
    {
        return std::find(m_tried.begin(), m_tried.end(), name) != m_tried.end();
    }

    // Returns whether an attempt may use the endpoint `name`.
    bool allows(const std::string& name) const
    {
        return !has_tried(name) && m_breakers.allows(name, m_now);
    }

private:
    std::span<const std::string> m_tried;
    breaker_table& m_breakers;
    std::chrono::steady_clock::time_point m_now;
};

} // namespace cicadaport::entry
