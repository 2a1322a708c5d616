// The queued and running work at each endpoint.
//
// The load is combined from three sources. The process counts its own work
// exactly. Reports of engines are complete but old. Other entry processes
// announce what they have in flight, with a still longer delay. A snapshot holds
// the work of all other processes for each endpoint. The process's own work is
// added at each decision, so that work sent after a report's timestamp counts.
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

// The work that this process has in flight at one endpoint, and the correction
// of predictions for the endpoint. Thread safe: all members that change are atomic.
struct alignas(cache_line_bytes) endpoint_load {
    std::atomic<std::uint32_t> requests{0};
    // The endpoint's index in snapshots and in the prefix index.
    std::uint32_t index = 0;
    std::atomic<std::uint64_t> prefill_tokens{0};
    std::atomic<std::uint64_t> decode_tokens{0};
    // Moving average of observed time divided by predicted time.
    std::atomic<float> correction{1};
};

// An amount of work at an endpoint.
struct work_sum {
    double requests = 0;
    double prefill_tokens = 0;
    double decode_tokens = 0;

    work_sum& operator+=(const work_sum& other) noexcept;
    // Subtracts `other`; no member falls below zero.
    work_sum& operator-=(const work_sum& other) noexcept;
};

// Returns the work that this process has in flight.
work_sum own_work(const endpoint_load& load) noexcept;

enum class engine_role : std::uint8_t { mixed, prefill, decode };

// Returns the role with this name, or mixed for an unknown name.
engine_role parse_role(std::string_view name) noexcept;
std::string_view to_string(engine_role role) noexcept;

// One endpoint in a snapshot.
struct endpoint_report {
    // Work sent by other processes.
    work_sum others;
    engine_role role = engine_role::mixed;
    // Whether the endpoint accepts work.
    bool serving = true;
};

// The reports of all endpoints by index. Immutable once published; replaced as a
// whole.
struct load_snapshot {
    std::vector<endpoint_report> endpoints;
    // Indexes of the prefill engines that accept work. The list saves each
    // decision a search of all endpoints.
    std::vector<std::uint32_t> prefill_engines;

    // Fills `prefill_engines` from `endpoints`; to be called before publication.
    void collect_prefill_engines();

    // Returns the endpoint's report, or an idle report for an unknown index.
    const endpoint_report& at(std::uint32_t index) const noexcept;
};

// The loads of all endpoints by name; they outlive the views. Thread safe.
class load_table {
public:
    // Returns the endpoint's load, which is created with the next index if needed.
    std::shared_ptr<endpoint_load> get(const std::string& endpoint);

    // One endpoint's name and the work that this process has in flight there.
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

// Computes the work of other processes at one endpoint from its reports.
//
// A report describes a time in the past and includes the work of this process.
// The work that this process had in flight at that time is subtracted, so that
// it is not counted twice. Not thread safe; time is passed in.
class report_history {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Records the work of this process at `now`; to be called at least as often as
    // reports arrive.
    void record_own_work(time_point now, const work_sum& own);

    // Records a report of the endpoint's total work at `at`.
    void record_report(time_point at, const work_sum& whole);

    // Records the total work that other processes announced for `at`.
    void record_announced_work(time_point at, const work_sum& others);

    // Returns the work of other processes from the newer source, or no work if
    // there is no source yet.
    work_sum others() const noexcept;

    // Retention of samples of own work.
    static constexpr std::chrono::seconds retention{10};

private:
    struct sample {
        time_point at;
        work_sum work;
    };

    work_sum own_work_at(time_point at) const noexcept;

    std::deque<sample> m_own;
    std::optional<sample> m_reported;
    std::optional<sample> m_announced;
};

} // namespace cicadaport::routing
