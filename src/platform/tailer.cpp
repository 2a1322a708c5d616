#include "cicadaport/platform/tailer.h"

#include <platform.pb.h>
#include <spdlog/spdlog.h>

namespace cicadaport::platform {
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds read_wait{2'000};
constexpr milliseconds outage_pause{200};

} // namespace

tailer::tailer(log_client& log, fold::replica& replica) : m_log{log}, m_replica{replica} {}

asio::awaitable<void> tailer::run()
{
    asio::steady_timer timer{co_await asio::this_coro::executor};
    for (;;) {
        const bool connected = co_await read_once();
        if (connected != m_connected.exchange(connected, std::memory_order_acq_rel)) {
            spdlog::info("log_{}", connected ? "connected" : "lost");
        }
        if (!connected) {
            timer.expires_after(outage_pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

asio::awaitable<bool> tailer::read_once()
{
    try {
        const auto after = m_replica.offset();
        const auto reply = co_await m_log.read(after, read_wait);
        if (reply.first_offset() > after + 1) {
            spdlog::error("behind_retention offset={} first={}", after, reply.first_offset());
            co_return false;
        }
        const std::vector<protocol::log_entry> entries{reply.entries().begin(),
                                                       reply.entries().end()};
        m_replica.apply(entries);
        co_return true;
    }
    catch (const log_error& error) {
        spdlog::debug("log_read_failed error=\"{}\"", error.what());
    }
    co_return false;
}

} // namespace cicadaport::platform
