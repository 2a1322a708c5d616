#include "cicadaport/shared_log/snapshotter.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <record.pb.h>
#include <spdlog/spdlog.h>

namespace cicadaport::shared_log {
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds due_poll{200};
// Less than the platform takes in one record.
constexpr std::size_t largest_snapshot_bytes = 3UL * 1024 * 1024;

} // namespace

snapshotter::snapshotter(const fold::replica& replica, proposer& proposals, rank_source rank)
    : m_replica{replica}, m_proposals{proposals}, m_rank{std::move(rank)}
{
}

asio::awaitable<void> snapshotter::run()
{
    asio::steady_timer timer{co_await asio::this_coro::executor};
    for (;;) {
        std::optional<fold::due_snapshot> due;
        m_replica.inspect([&](const fold::state& state) { due = state.pending_snapshot(); });
        if (due && due->bytes && is_my_turn(*due, clock::now())) {
            co_await propose(*due);
        }
        timer.expires_after(due_poll);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

bool snapshotter::is_my_turn(const fold::due_snapshot& due, clock::time_point now)
{
    if (due.covers_offset != m_seen_covers) {
        m_seen_covers = due.covers_offset;
        m_seen_at = now;
    }
    const auto rank = static_cast<std::int64_t>(m_rank());
    return now - m_seen_at >= patience_per_rank * rank;
}

asio::awaitable<void> snapshotter::propose(fold::due_snapshot due)
{
    if (due.bytes->size() > largest_snapshot_bytes) {
        spdlog::error("snapshot_too_large covers={} bytes={}", due.covers_offset,
                      due.bytes->size());
        co_return;
    }
    protocol::record record;
    auto& taken = *record.mutable_state_snapshot();
    taken.set_covers_offset(due.covers_offset);
    taken.set_digest(due.digest);
    taken.set_state(*due.bytes);
    try {
        const auto made = co_await m_proposals.propose(std::move(record));
        spdlog::info("snapshot_proposed covers={} bytes={} accepted={} reason=\"{}\"",
                     due.covers_offset, due.bytes->size(), made.accepted, made.reason);
    }
    catch (const log_error& error) {
        spdlog::warn("snapshot_failed covers={} error=\"{}\"", due.covers_offset, error.what());
    }
}

} // namespace cicadaport::shared_log
