// Feeds a replica from the platform's log.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/platform/log_client.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>

namespace cicadaport::platform {

// Reads the log from where the replica stands, for ever, with pauses while the
// log is down. Belongs to one event loop; the replica and the client must
// outlive it.
class tailer {
public:
    tailer(log_client& log, fold::replica& replica);

    // Runs until the event loop stops.
    boost::asio::awaitable<void> run();

    // Returns whether the last read succeeded. Thread safety: any thread.
    bool is_connected() const noexcept { return m_connected.load(std::memory_order_acquire); }

private:
    boost::asio::awaitable<bool> read_once();

    log_client& m_log;
    fold::replica& m_replica;
    std::atomic<bool> m_connected{false};
};

} // namespace cicadaport::platform
