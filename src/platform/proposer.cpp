#include "cicadaport/platform/proposer.h"

#include "cicadaport/base/identifier.h"

#include <record.pb.h>
#include <spdlog/spdlog.h>

namespace cicadaport::platform {
namespace asio = boost::asio;
using base::verdict;
using std::chrono::milliseconds;

namespace {

constexpr int most_attempts = 3;
constexpr milliseconds decision_poll{5};
constexpr milliseconds read_back_time{1'000};
constexpr milliseconds decision_time{5'000};

} // namespace

proposer::proposer(asio::io_context& context, log_client& log, const fold::replica& replica,
                   std::string author)
    : m_context{context}, m_log{log}, m_replica{replica}, m_author{std::move(author)}
{
}

asio::awaitable<fold::decision> proposer::propose(protocol::record record)
{
    record.set_append_id(base::make_identifier());
    if (record.author().empty()) {
        record.set_author(m_author);
    }
    const auto payload = record.SerializeAsString();
    bool appended = false;
    for (int attempt = 0; attempt < most_attempts && !appended; ++attempt) {
        appended = co_await append_once(payload);
        const auto limit = appended ? decision_time : read_back_time;
        if (auto made = co_await wait_for_decision(record.append_id(), limit)) {
            co_return *made;
        }
    }
    throw log_error{verdict::may_have_run, "no decision seen"};
}

// Returns whether the log confirmed the append; false when its answer was lost.
asio::awaitable<bool> proposer::append_once(const std::string& payload)
{
    try {
        co_await m_log.append(payload);
        co_return true;
    }
    catch (const log_error& error) {
        if (error.outcome() == verdict::not_run) {
            throw;
        }
        spdlog::warn("append_answer_lost error=\"{}\"", error.what());
    }
    co_return false;
}

asio::awaitable<std::optional<fold::decision>>
proposer::wait_for_decision(const std::string& append_id, milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    asio::steady_timer timer{m_context};
    do {
        if (auto made = m_replica.decision_of(append_id)) {
            co_return made;
        }
        timer.expires_after(decision_poll);
        co_await timer.async_wait(asio::use_awaitable);
    } while (std::chrono::steady_clock::now() < until);
    co_return std::nullopt;
}

} // namespace cicadaport::platform
