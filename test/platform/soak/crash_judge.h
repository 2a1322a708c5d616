// Checks how hosts handle prompts with a segment on which engines crash.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace cicadaport::platform::testing {

// At most `allowed_late_count` requests with the segment reach engines later than `contact` after
// the fifth crash. From twice `contact` after the fifth crash, or the last one, sound prompts are
// served at least half of the time. Only hosts without a fault count.
//
// Pure. Not thread safe.
class crash_judge {
public:
    using clock = std::chrono::steady_clock;
    static constexpr std::size_t tolerated_crashes = 5;
    static constexpr std::size_t allowed_late_count = 3;
    static constexpr std::size_t min_judged_count = 20;

    explicit crash_judge(std::chrono::milliseconds contact) : m_contact{contact} {}

    // Records a request with the segment, which ends the engine that it reached. Returns the number
    // of late requests if it exceeds what is allowed.
    std::optional<std::size_t> arrived(clock::time_point now, bool is_judged)
    {
        const bool is_late = m_crashes.size() >= tolerated_crashes &&
                             now - m_crashes[tolerated_crashes - 1] > m_contact;
        m_crashes.push_back(now);
        m_late_count += is_late && is_judged ? 1 : 0;
        return is_late && is_judged && m_late_count > allowed_late_count
                   ? std::optional{m_late_count}
                   : std::nullopt;
    }

    // Records the answer to a sound prompt that was sent at `sent`.
    void record_sound(clock::time_point sent, bool served) { m_sound.push_back({sent, served}); }

    struct sound_counts {
        std::size_t sent = 0;
        std::size_t served = 0;

        bool is_violated() const { return sent >= min_judged_count && 2 * served < sent; }
    };

    // Returns the sound prompts that are judged.
    sound_counts judged_sound() const
    {
        sound_counts out;
        if (m_crashes.empty()) {
            return out;
        }
        const auto last = m_crashes.size() >= tolerated_crashes ? m_crashes[tolerated_crashes - 1]
                                                                : m_crashes.back();
        for (const auto& each : m_sound) {
            if (each.sent - last > 2 * m_contact) {
                ++out.sent;
                out.served += each.served ? 1 : 0;
            }
        }
        return out;
    }

    std::size_t crash_count() const { return m_crashes.size(); }

private:
    struct sound_prompt {
        clock::time_point sent{};
        bool served = false;
    };

    std::chrono::milliseconds m_contact;
    std::vector<clock::time_point> m_crashes;
    std::vector<sound_prompt> m_sound;
    std::size_t m_late_count = 0;
};

} // namespace cicadaport::platform::testing
