#include "cicadaport/shared_log/tailer.h"

#include "cicadaport/base/digest.h"

#include <platform.pb.h>
#include <record.pb.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace cicadaport::shared_log {
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds read_wait{1'000};
constexpr milliseconds turn_poll{100};
constexpr milliseconds halted_pause{1'000};
constexpr milliseconds least_outage_pause{50};
constexpr int most_doublings = 5;

// Returns the state of a whole snapshot, or nothing for any other record.
std::string snapshot_state(const protocol::log_entry& entry)
{
    protocol::record record;
    if (!record.ParseFromString(entry.payload()) || !record.has_state_snapshot() ||
        base::sha256_hex(record.state_snapshot().state()) != record.state_snapshot().digest()) {
        return {};
    }
    return record.state_snapshot().state();
}

} // namespace

tailer::tailer(log_client& log, fold::replica& replica, turn is_my_turn)
    : m_log{log}, m_replica{replica},
      m_is_my_turn{std::move(is_my_turn)}, m_random{std::random_device{}()}
{
}

asio::awaitable<void> tailer::run()
{
    for (;;) {
        if (m_is_my_turn && !m_is_my_turn()) {
            co_await pause(turn_poll);
            continue;
        }
        const bool connected = co_await read_once();
        note_connected(connected);
        if (!connected) {
            co_await pause(outage_pause());
        }
        else if (m_replica.halted()) {
            co_await pause(halted_pause);
        }
    }
}

void tailer::note_connected(bool connected)
{
    m_failures = connected ? 0 : m_failures + 1;
    if (connected) {
        m_last_answer.store(clock::now().time_since_epoch(), std::memory_order_release);
    }
    if (connected != m_connected.exchange(connected, std::memory_order_acq_rel)) {
        spdlog::info("log_{}", connected ? "connected" : "lost");
    }
}

std::optional<milliseconds> tailer::since_last_answer() const
{
    const auto last = m_last_answer.load(std::memory_order_acquire);
    if (last == clock::duration::zero()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch() - last);
}

milliseconds tailer::outage_pause()
{
    const auto most = least_outage_pause.count() << std::min(m_failures, most_doublings);
    std::uniform_int_distribution<std::int64_t> pick{least_outage_pause.count(), most};
    return milliseconds{pick(m_random)};
}

asio::awaitable<void> tailer::pause(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> tailer::read_once()
{
    try {
        const auto after = m_replica.offset();
        const auto reply = co_await m_log.read(after, read_wait);
        if (reply.first_offset() > after + 1) {
            co_await recover();
            co_return m_replica.offset() > after;
        }
        const bool was_halted = m_replica.halted().has_value();
        const std::vector<protocol::log_entry> entries{reply.entries().begin(),
                                                       reply.entries().end()};
        m_replica.apply(entries);
        if (const auto halted = m_replica.halted(); halted && !was_halted) {
            spdlog::error("fold_halted reason=\"{}\"", *halted);
        }
        co_return true;
    }
    catch (const std::exception& error) {
        spdlog::debug("log_read_failed error=\"{}\"", error.what());
    }
    co_return false;
}

// Takes over the newest snapshot that is still in the log. The records after
// it are read again by the next read, so that the fold sees all of them.
asio::awaitable<void> tailer::recover()
{
    const auto before = m_replica.offset();
    std::string newest;
    std::uint64_t read_to = 0;
    auto reply = co_await m_log.read(0, milliseconds{0});
    spdlog::warn("behind_retention offset={} first={}", before, reply.first_offset());
    while (reply.entries_size() > 0) {
        for (const auto& entry : reply.entries()) {
            read_to = entry.offset();
            if (auto found = snapshot_state(entry); !found.empty()) {
                newest = std::move(found);
            }
        }
        if (read_to >= reply.end_offset()) {
            break;
        }
        reply = co_await m_log.read(read_to, milliseconds{0});
    }
    if (!newest.empty() && m_replica.install(newest)) {
        spdlog::info("snapshot_installed offset={}", m_replica.offset());
    }
    else {
        spdlog::error("no_usable_snapshot offset={}", before);
    }
}

} // namespace cicadaport::shared_log
