// Stops requests to a failing endpoint and readmits them gradually.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace cicadaport::entry {

// The circuit of one endpoint.
//
// It opens after several consecutive failures. When the open time ends, a growing
// fraction of the requests is allowed: one in eight, doubled on each success. A
// failure meanwhile opens the circuit again for twice as long, up to a maximum.
// Belongs to one event loop.
class circuit_breaker {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Returns whether the next request is allowed, and counts it.
    bool allows(time_point now);

    void record_success() noexcept;
    void record_failure(time_point now) noexcept;

private:
    std::uint32_t m_failures = 0;
    // One request in `m_spacing` is allowed; 1 when the circuit is closed.
    std::uint32_t m_spacing = 1;
    std::uint32_t m_turn = 0;
    std::chrono::milliseconds m_open_time{0};
    time_point m_open_until{};
};

// The circuit breakers of all endpoints, by name. Belongs to one event loop.
class breaker_table {
public:
    bool allows(const std::string& endpoint, circuit_breaker::time_point now)
    {
        return m_breakers[endpoint].allows(now);
    }

    circuit_breaker& get(const std::string& endpoint) { return m_breakers[endpoint]; }

private:
    std::unordered_map<std::string, circuit_breaker> m_breakers;
};

} // namespace cicadaport::entry
