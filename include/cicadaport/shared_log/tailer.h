// Feeds a replica from the platform's log.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/shared_log/log_client.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <random>

namespace cicadaport::shared_log {

// Reads the log from where the replica stands, for ever, with growing random
// pauses while the log is down. A replica that fell behind retention, or a
// fresh one, starts from the newest snapshot in the log.
//
// Belongs to one event loop; the replica and the client must outlive it.
class tailer {
public:
    using clock = std::chrono::steady_clock;

    // Says whether this process is one of those that read the log now.
    using turn = std::function<bool()>;

    explicit tailer(log_client& log, fold::replica& replica, turn is_my_turn = {});

    // Runs until the event loop stops.
    boost::asio::awaitable<void> run();

    // Returns whether the last read succeeded. Thread safety: any thread.
    bool is_connected() const noexcept { return m_connected.load(std::memory_order_acquire); }

    // Returns how long ago the log last answered, if it ever did. Thread
    // safety: any thread.
    std::optional<std::chrono::milliseconds> since_last_answer() const;

private:
    boost::asio::awaitable<bool> read_once();
    boost::asio::awaitable<void> recover();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    void note_connected(bool connected);
    std::chrono::milliseconds outage_pause();

    log_client& m_log;
    fold::replica& m_replica;
    turn m_is_my_turn;
    std::mt19937_64 m_random;
    int m_failures = 0;
    std::atomic<bool> m_connected{false};
    std::atomic<clock::duration> m_last_answer{clock::duration::zero()};
};

} // namespace cicadaport::shared_log
