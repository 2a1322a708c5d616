// Keeps the folded state in the log, inside its retention.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/shared_log/proposer.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>

namespace cicadaport::shared_log {

// Proposes each snapshot that the fold says is due. Processes take turns by
// rank: rank 0 proposes at once, each further one waits longer, so that there
// is one append for a snapshot unless a process failed. Two are harmless, as
// the fold accepts the first.
//
// Belongs to one event loop; the replica and the proposer must outlive it.
class snapshotter {
public:
    // Returns this process's place among those that are live.
    using rank_source = std::function<std::size_t()>;

    snapshotter(const fold::replica& replica, proposer& proposals, rank_source rank);

    // Runs until the event loop stops.
    boost::asio::awaitable<void> run();

    static constexpr std::chrono::milliseconds patience_per_rank{3'000};

private:
    using clock = std::chrono::steady_clock;

    bool is_my_turn(const fold::due_snapshot& due, clock::time_point now);
    boost::asio::awaitable<void> propose(fold::due_snapshot due);

    const fold::replica& m_replica;
    proposer& m_proposals;
    rank_source m_rank;
    std::uint64_t m_seen_covers = 0;
    clock::time_point m_seen_at;
};

} // namespace cicadaport::shared_log
