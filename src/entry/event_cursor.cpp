#include "cicadaport/entry/event_cursor.h"

#include <algorithm>

namespace cicadaport::entry {
namespace {

using seconds = std::chrono::duration<double>;

// A rate computed over a shorter time is unreliable.
constexpr seconds min_read_span{0.1};

} // namespace

void event_cursor::record_work(time_point now) noexcept
{
    if (!m_due_since) {
        m_due_since = now;
    }
}

std::uint64_t event_cursor::start_read(time_point now) noexcept
{
    const seconds waited = now - m_due_since.value_or(now);
    m_due_since.reset();
    const seconds skipped = std::max<seconds>(waited - max_read_span, seconds{0});
    m_after += static_cast<std::uint64_t>(skipped.count() * m_events_per_second);
    m_span = std::clamp<seconds>(waited, min_read_span, max_read_span);
    return m_after;
}

void event_cursor::record_read(std::size_t count, std::uint64_t newest) noexcept
{
    m_after = std::max(m_after, newest);
    const auto seen = static_cast<double>(count) / m_span.count();
    if (count >= max_events_per_reply) {
        m_events_per_second = std::max(2 * m_events_per_second, seen);
    }
    else {
        m_events_per_second = std::max(seen, m_events_per_second / 2);
    }
}

} // namespace cicadaport::entry
