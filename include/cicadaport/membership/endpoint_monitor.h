// What one process makes of one endpoint: serving, suspect, leaving or down.
//
// Pure: it is told of probes and of the platform's host list, with the time.
// A suspect endpoint still serves. One that went down serves again only after
// it has answered steadily, and for longer each time it has gone down lately,
// so that an endpoint that comes and goes does not make traffic do the same.
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

// Returns the name of `value` as it stands in records and listings. A suspect
// endpoint is reported as serving.
std::string_view to_string(condition value) noexcept;

// What the platform's host list says of a host.
enum class listed_state { unknown, live, leaving };

struct monitor_timing {
    std::chrono::milliseconds down_after{3'000};
    std::uint32_t least_silent_probes = 3;
    std::chrono::milliseconds steady_time{2'000};
    std::chrono::milliseconds longest_steady_time{60'000};
    // Times of going down are forgotten after this long without one.
    std::chrono::milliseconds flap_memory{300'000};
};

class endpoint_monitor {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Starts from what was reported before, so that a process that takes over
    // an endpoint does not call it serving because it knows nothing yet.
    explicit endpoint_monitor(condition reported = condition::serving, monitor_timing timing = {});

    // A probe that was sent before `now` was answered or not.
    void note_probe(bool answered, time_point now);

    // The host list was read. `unknown` means that it does not name the host,
    // which says nothing: the list lags, and may be wrong.
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
    std::uint32_t m_times_down = 0;
    time_point m_silent_since{};
    time_point m_answering_since{};
    time_point m_last_down{};
};

} // namespace cicadaport::membership
