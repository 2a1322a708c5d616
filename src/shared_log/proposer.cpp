#include "cicadaport/shared_log/proposer.h"

#include "cicadaport/base/identifier.h"

#include <record.pb.h>
#include <spdlog/spdlog.h>

namespace cicadaport::shared_log {
namespace asio = boost::asio;
using base::verdict;
using std::chrono::milliseconds;

namespace {

constexpr int most_attempts = 4;
constexpr milliseconds decision_poll{5};
constexpr milliseconds read_back_time{1'000};
constexpr milliseconds decision_time{5'000};
// The pause before a retry is random, up to this, and doubles with each try.
constexpr milliseconds first_retry_pause{100};

} // namespace

proposer::proposer(asio::io_context& context, log_client& log, const fold::replica& replica,
                   std::string author)
    : m_context{context}, m_log{log}, m_replica{replica}, m_author{std::move(author)},
      m_random{std::random_device{}()}
{
}

asio::awaitable<fold::decision> proposer::propose(protocol::record record)
{
    record.set_append_id(base::make_identifier());
    record.set_proposed_after(m_replica.offset());
    if (record.author().empty()) {
        record.set_author(m_author);
    }
    const auto payload = record.SerializeAsString();
    // Once one answer was lost, a later refusal says nothing about that try.
    bool may_be_on_log = false;
    for (int attempt = 0; attempt < most_attempts; ++attempt) {
        const auto result = co_await append_once(payload);
        may_be_on_log = may_be_on_log || result != append_result::not_appended;
        if (may_be_on_log) {
            const bool confirmed = result == append_result::confirmed;
            const auto limit = confirmed ? decision_time : read_back_time;
            if (auto made = co_await wait_for_decision(record.append_id(), limit)) {
                co_return *made;
            }
            if (confirmed) {
                break;
            }
        }
        if (attempt + 1 < most_attempts) {
            co_await pause_before_retry(attempt);
        }
    }
    // Past the window no copy can take effect any more.
    const bool too_late = m_replica.offset() > record.proposed_after() + fold::append_window;
    if (!may_be_on_log || too_late) {
        throw log_error{verdict::not_run, "the log is not available"};
    }
    throw log_error{verdict::may_have_run, "no decision seen"};
}

asio::awaitable<proposer::append_result> proposer::append_once(const std::string& payload)
{
    try {
        co_await m_log.append(payload);
        co_return append_result::confirmed;
    }
    catch (const log_error& error) {
        const bool lost = error.outcome() != verdict::not_run;
        spdlog::warn("append_failed answer_lost={} error=\"{}\"", lost, error.what());
        co_return lost ? append_result::answer_lost : append_result::not_appended;
    }
}

asio::awaitable<void> proposer::pause_before_retry(int attempt)
{
    const auto most = first_retry_pause.count() << attempt;
    std::uniform_int_distribution<std::int64_t> pick{0, most};
    asio::steady_timer timer{m_context, milliseconds{pick(m_random)}};
    co_await timer.async_wait(asio::use_awaitable);
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

} // namespace cicadaport::shared_log
