// Keeps requests away from an endpoint that fails, and lets them come back
// slowly.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace cicadaport::entry {

// The circuit of one endpoint.
//
// It opens after several failures in a row. When the open time is over, a
// growing share of the requests is let through: one in eight, then one in
// four, and so on, one step for each success. A failure opens it again for
// twice as long, up to a bound. Belongs to one event loop.
class circuit_breaker {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Returns whether the next request may go through.
    bool allows(time_point now);

    void succeeded() noexcept;
    void failed(time_point now) noexcept;

private:
    std::uint32_t m_failures = 0;
    // One request in `m_spacing` is let through; 1 when the circuit is closed.
    std::uint32_t m_spacing = 1;
    std::uint32_t m_turn = 0;
    std::chrono::milliseconds m_open_time{0};
    time_point m_open_until{};
};

// The circuits of all endpoints, by name. Belongs to one event loop.
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
