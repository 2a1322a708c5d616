// Rate limit on log lines of one kind.
//
// Guards against callers that request the same unknown route thousands of times per second, each
// of which would cause a log line.
//
// Performs no I/O. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <cstdint>
#include <utility>

namespace cicadaport::base {

class line_budget {
public:
    static constexpr unsigned max_lines_per_second = 20;

    // Returns whether a line may be written at `now`; if not, counts it as suppressed.
    bool try_acquire(boot_clock::time_point now) noexcept
    {
        if (now - m_second >= std::chrono::seconds{1}) {
            m_second = now;
            m_written = 0;
        }
        if (m_written >= max_lines_per_second) {
            ++m_suppressed_count;
            return false;
        }
        ++m_written;
        return true;
    }

    // Returns the number of lines suppressed since the last call.
    std::uint64_t take_suppressed_count() noexcept { return std::exchange(m_suppressed_count, 0); }

private:
    boot_clock::time_point m_second{};
    unsigned m_written = 0;
    std::uint64_t m_suppressed_count = 0;
};

} // namespace cicadaport::base
