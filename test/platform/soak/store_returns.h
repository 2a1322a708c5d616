// Plays returns of the store from an older copy of its data, and what the operator writes then.
#pragma once

#include "platform/soak/configuration_history.h"

#include <atomic>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace cicadaport::platform::testing {

// The operator's writes after a return, and all calls except is_away() to written_again_at(), come
// from one thread, so that nothing is acknowledged while the store is away.
class store_returns {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    // After a return, live replicas have written their entries again within this time.
    static constexpr milliseconds max_rewrite_time{2'000};

    // How many records a list has when the store is back, compared with before.
    enum class growth { none, shorter, equal, longer };

    // One return; times are since the begin of the run.
    struct planned_return {
        milliseconds copied{};
        milliseconds away{};
        milliseconds back{};
        standin_store::outage how = standin_store::outage::refusing;
        growth grows = growth::none;
        // When the operator writes, after the return.
        milliseconds write_delay{};
        // The operator is quiet for this time after its writes.
        milliseconds pause{};
        bool copies = true;
    };

    // Draws the returns of a run that lasts `time`, and whether the store states its epoch.
    store_returns(standin_store& store, configuration_history& history, std::uint64_t seed,
                  milliseconds time, std::size_t padding);

    const std::vector<planned_return>& planned() const noexcept { return m_planned; }

    // Called when the topics have gone back, before the store answers calls. Gets the number of
    // records that the list of replicas shall have before calls are answered.
    using return_function = std::function<void(std::size_t entries, time_point now)>;

    void start(time_point begin, return_function on_return);

    // Does what is due. Returns whether the store accepts writes.
    bool advance(time_point now);

    // Returns whether the operator makes a pause.
    bool is_quiet(time_point now) const { return now < m_quiet_until; }

    // The following members are thread safe.

    bool is_away() const noexcept { return m_away; }
    std::size_t count() const noexcept { return m_count; }

    // Returns whether the store was there for `time` before `at`.
    bool is_stable(time_point at, milliseconds time) const
    {
        return !m_away && at - m_back.load() >= time;
    }

    // When all entries have been written again after the last return.
    time_point written_again_at() const { return m_back.load() + max_rewrite_time; }

    // Returns when the store went away for the first time after `at`, if it did.
    std::optional<time_point> away_after(time_point at) const;

    // What was done, one line each, beginning with the time in s.
    std::vector<std::string> steps() const;

private:
    void log(time_point now, const std::string& text);
    void come_back(const planned_return& planned, time_point now);
    // Writes the newest version again and then new ones, `count` records in total.
    void write(std::size_t count, milliseconds pause, time_point now);
    milliseconds draw(milliseconds from, milliseconds to);
    std::size_t draw_count(std::size_t from, std::size_t to);
    // Returns how many records are written if `lost` of them were lost.
    std::size_t written_count(growth grows, std::size_t lost);

    standin_store& m_store;
    configuration_history& m_history;
    std::mt19937_64 m_random;
    std::size_t m_padding;
    std::vector<planned_return> m_planned;
    std::multimap<milliseconds, std::function<void(time_point)>> m_due;
    return_function m_on_return;
    time_point m_begin{};
    time_point m_quiet_until{};
    bool m_states_epoch = false;
    std::atomic<bool> m_away{false};
    std::atomic<time_point> m_back{};
    std::atomic<std::size_t> m_count{0};
    mutable std::mutex m_mutex;
    // Guarded by the mutex.
    std::vector<time_point> m_went_away;
    std::vector<std::string> m_steps;
};

} // namespace cicadaport::platform::testing
