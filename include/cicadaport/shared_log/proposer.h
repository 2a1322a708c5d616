// Appending a record and learning what the fold made of it.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/shared_log/log_client.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace cicadaport::protocol {
class record;
}

namespace cicadaport::shared_log {

// Proposes records on behalf of one process.
//
// An append whose answer was lost is looked for in the log before it is sent
// again, with the same append id, so that it takes effect at most once. Tries
// are bounded in number and spread by random pauses.
//
//   const auto made = co_await proposals.propose(record);
//   if (!made.accepted) spdlog::info("refused reason=\"{}\"", made.reason);
//
// Belongs to one event loop; the replica must outlive it and be fed by a
// tailer or follower.
class proposer {
public:
    proposer(boost::asio::io_context& context, log_client& log, const fold::replica& replica,
             std::string author);

    // Returns the fold's decision. Throws `log_error`: `not_run` if the record
    // is surely not on the log, `may_have_run` if nobody can tell in time.
    boost::asio::awaitable<fold::decision> propose(protocol::record record);

private:
    // What one try told.
    enum class append_result { confirmed, answer_lost, not_appended };

    boost::asio::awaitable<append_result> append_once(const std::string& payload);
    boost::asio::awaitable<void> pause_before_retry(int attempt);
    boost::asio::awaitable<std::optional<fold::decision>>
    wait_for_decision(const std::string& append_id, std::chrono::milliseconds limit);

    boost::asio::io_context& m_context;
    log_client& m_log;
    const fold::replica& m_replica;
    std::string m_author;
    std::mt19937_64 m_random;
};

} // namespace cicadaport::shared_log
