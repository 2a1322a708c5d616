// What is known of the work that waits and runs at each endpoint.
//
// Three sources are joined. The process counts its own work exactly. Reports
// of engines are complete but old. Other entry processes tell what they have in
// flight, later still. A snapshot holds, for each endpoint, the work of all
// others; the own work is added when a decision is made, so that work sent
// since a report's time stamp always counts.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cicadaport::routing {

constexpr std::size_t cache_line_bytes = 64;

// What this process has in flight at one endpoint, and how wrong predictions
// for the endpoint have been. Thread safety: atomic.
struct alignas(cache_line_bytes) endpoint_load {
    std::atomic<std::uint32_t> requests{0};
    // The endpoint's place in snapshots and in the prefix index.
    std::uint32_t index = 0;
    std::atomic<std::uint64_t> prefill_tokens{0};
    std::atomic<std::uint64_t> decode_tokens{0};
    // Observed time over predicted time, as a moving average.
    std::atomic<float> correction{1};
};

// An amount of work at an endpoint.
struct work_sum {
    double requests = 0;
    double prefill_tokens = 0;
    double decode_tokens = 0;

    work_sum& operator+=(const work_sum& other) noexcept;
    // Subtracts `other`; nothing falls below zero.
    work_sum& operator-=(const work_sum& other) noexcept;
};

// Returns the work that `load` counts now.
work_sum own_work(const endpoint_load& load) noexcept;

enum class engine_role : std::uint8_t { mixed, prefill, decode };

// Returns the role with this name; mixed if there is none.
engine_role parse_role(std::string_view name) noexcept;
std::string_view to_string(engine_role role) noexcept;

// One endpoint in a snapshot.
struct endpoint_report {
    // Work that other processes have sent there.
    work_sum others;
    engine_role role = engine_role::mixed;
    // Whether it takes work at all.
    bool serving = true;
};

// All endpoints by their index. Immutable; replaced as a whole.
struct load_snapshot {
    std::vector<endpoint_report> endpoints;
    // The endpoints that only read prompts and take work, by index. A decision
    // may not search all endpoints for them.
    std::vector<std::uint32_t> prefill_engines;

    // Fills `prefill_engines` from `endpoints`; call it before publication.
    void find_prefill_engines();

    // Returns the endpoint's report, or that of an idle one if there is none.
    const endpoint_report& at(std::uint32_t index) const noexcept;
};

// The loads of all endpoints by name; they outlive the views. Thread safe.
class load_table {
public:
    std::shared_ptr<endpoint_load> get(const std::string& endpoint);

    // One endpoint's name and the work that this process has there.
    struct named_work {
        std::string endpoint;
        work_sum work;
    };

    // Returns the endpoints at which this process has work in flight.
    std::vector<named_work> work_in_flight() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<endpoint_load>, std::less<>> m_loads;
};

// Takes one endpoint's reports apart into own work and that of others.
//
// The report speaks of a time in the past. What this process had in flight at
// that time is remembered and subtracted, so that it is not counted twice.
// Not thread safe; time is passed in.
class report_history {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Notes the own work at `now`; call it at least as often as reports come.
    void note_own(time_point now, const work_sum& own);

    // Takes a report of the endpoint's whole work at `at`.
    void note_report(time_point at, const work_sum& whole);

    // Takes what other processes had in flight together at `at`.
    void note_told(time_point at, const work_sum& others);

    // Returns the work of others from the younger source. Without any it is none.
    work_sum others() const noexcept;

    // Own work older than this is forgotten.
    static constexpr std::chrono::seconds kept{10};

private:
    struct sample {
        time_point at;
        work_sum work;
    };

    work_sum own_at(time_point at) const noexcept;

    std::deque<sample> m_own;
    std::optional<sample> m_reported;
    std::optional<sample> m_told;
};

} // namespace cicadaport::routing
