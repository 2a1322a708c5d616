// The health state of one endpoint as one process observes it: serving,
// suspect, leaving or down.
//
// Does no I/O: the caller passes in probe results, entries of the platform's
// host list and the current time. A suspect endpoint still serves. An endpoint
// that was down serves again only after it has answered without interruption
// for a required time. That time grows with each recent failure, so that a
// flapping endpoint does not make traffic flap with it.
//
//   endpoint_monitor engine;
//   engine.note_probe(false, now);
//   if (engine.standing() == condition::down) report(engine);
//
// Not thread safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace cicadaport::membership {

enum class condition { serving, suspect, leaving, down };

// Returns the name of `value` used in records and listings. A suspect endpoint
// is reported as serving.
std::string_view to_string(condition value) noexcept;

// State of a host in the platform's host list.
enum class listed_state { unknown, live, leaving };

struct monitor_timing {
    std::chrono::milliseconds down_after{3'000};
    std::uint32_t min_silent_probes = 3;
    std::chrono::milliseconds steady_time{2'000};
    std::chrono::milliseconds max_steady_time{60'000};
    // The failure count is reset once the endpoint has not gone down for this long.
    std::chrono::milliseconds flap_retention{300'000};
};

class endpoint_monitor {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Starts from the condition that was last reported, so that a process that
    // takes over an endpoint does not report it as serving before any probe.
    explicit endpoint_monitor(condition reported = condition::serving, monitor_timing timing = {});

    // Records the result of a probe that ended at `now`.
    void note_probe(bool answered, time_point now);

    // Records the host's state in the host list. `unknown` means that the list
    // does not name the host; it changes nothing, because the list lags and may
    // be wrong.
    void note_listed(listed_state state) noexcept;

    condition standing() const noexcept;

private:
    void note_answer(time_point now);
    void note_silence(time_point now);
    std::chrono::milliseconds steady_time() const noexcept;

    monitor_timing m_timing;
    bool m_leaving = false;
    bool m_down = false;
    std::uint32_t m_silent_probes = 0;
    std::uint32_t m_failure_count = 0;
    time_point m_silent_since{};
    time_point m_answering_since{};
    time_point m_last_down{};
};

} // namespace cicadaport::membership
