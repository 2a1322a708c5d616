#include "cicadaport/entry/circuit_breaker.h"

#include "cicadaport/base/safeguards.h"

#include <algorithm>

namespace cicadaport::entry {
namespace {

constexpr std::uint32_t failures_to_open = 3;
constexpr std::uint32_t first_spacing = 8;
constexpr std::chrono::milliseconds min_open_time{500};
constexpr std::chrono::milliseconds max_open_time{10'000};

} // namespace

bool circuit_breaker::allows(time_point now)
{
    if (!base::safeguards::is_on(base::safeguard::circuit_breaker)) {
        return true;
    }
    if (now < m_open_until) {
        return false;
    }
    return m_spacing == 1 || m_turn++ % m_spacing == 0;
}

void circuit_breaker::record_success() noexcept
{
    m_failures = 0;
    m_spacing = std::max(m_spacing / 2, 1U);
    if (m_spacing == 1) {
        m_open_time = std::chrono::milliseconds{0};
    }
}

void circuit_breaker::record_failure(time_point now) noexcept
{
    ++m_failures;
    const bool returning = m_spacing > 1;
    if (m_failures < failures_to_open && !returning) {
        return;
    }
    if (now < m_open_until) {
        return;
    }
    m_open_time = std::clamp(m_open_time * 2, min_open_time, max_open_time);
    m_open_until = now + m_open_time;
    m_spacing = first_spacing;
    m_turn = 0;
}

} // namespace cicadaport::entry
