// Claims on idempotency keys, stored in the platform's log.
#pragma once

#include "cicadaport/claims/claim_index.h"
#include "cicadaport/http/client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::claims {

struct claim_settings {
    // The number of log streams that claims are distributed over by account and key.
    std::size_t shards = 2;
    // How long a claim holds its key. The log's retention must be longer.
    std::chrono::milliseconds retention{600'000};
    // The minimum time between two appends to one stream. It limits a process
    // to `shards` appends per interval under any load.
    std::chrono::milliseconds min_append_interval{20};
    // The maximum number of records in one append.
    std::size_t max_records_per_append = 256;
};

// The key that a request claims, and the request itself.
struct claim_request {
    claim_request(std::string_view account, std::string_view key, std::string_view request);

    // A digest of account and key, since two accounts may use the same key.
    std::string scoped_key;
    // A digest of the request.
    std::string request;
};

enum class claim_outcome {
    // Only the caller of `acquire` may run the request.
    won,
    // The request ran already; its answer is in `claim_result::answer`.
    ended,
    // Another claim holds the key and its answer is not known yet.
    held,
    // The key is held by a claim for a different request.
    other_request,
};

struct claim_result {
    claim_result() = default;
    claim_outcome outcome = claim_outcome::held;
    std::string claim_id;
    claim_answer answer;
    // The winner must not start its request later than this.
    std::chrono::steady_clock::time_point start_deadline;
};

// Makes claims on behalf of one entry process.
//
// All queued records of a shard go to the log in one append, up to a limit; the
// next append starts after the reply. If the reply is lost, the store reads the
// log to find the append before it repeats it with the same ids. Answers and
// releases that the log did not accept are retried.
//
// Thread safety: all members may be called from any thread; they run on `context`.
//
//   const auto claim = co_await store.acquire(wanted, wait_until);
//   if (claim.outcome == claim_outcome::won) run_and_then(store.end(...));
class claim_store {
public:
    claim_store(boost::asio::io_context& context, const http::address& log,
                claim_settings settings = {});
    ~claim_store();
    claim_store(const claim_store&) = delete;
    claim_store& operator=(const claim_store&) = delete;

    // Claims a key, or waits until `wait_until` for the answer of the claim that
    // holds it. Throws `shared_log::log_error` if the log can't confirm the
    // claim; the request must not run in that case.
    boost::asio::awaitable<claim_result> acquire(claim_request wanted,
                                                 std::chrono::steady_clock::time_point wait_until);

    // Records the answer of a request whose claim won. Does not wait for the log.
    void end(const claim_request& claimed, const std::string& claim_id, claim_answer answer);

    // Releases a claim whose request certainly did not run. Does not wait for the log.
    void release(const claim_request& claimed, const std::string& claim_id);

    // Returns the number of records that are not yet in the log.
    std::size_t pending_record_count() const noexcept;

private:
    class shard;
    boost::asio::awaitable<claim_result>
    acquire_on_context(claim_request wanted, std::chrono::steady_clock::time_point wait_until);
    boost::asio::awaitable<void> wait_for_outcome(shard& target_shard, const claim_request& wanted,
                                                  std::chrono::steady_clock::time_point wait_until,
                                                  claim_result& out);
    bool is_held(const claim_entry* holder) const;
    void post_record(const std::shared_ptr<shard>& target_shard, protocol::claim_record record);
    std::shared_ptr<shard> shard_of(const std::string& scoped_key) const;

    boost::asio::io_context& m_context;
    claim_settings m_settings;
    std::vector<std::shared_ptr<shard>> m_shards;
};

// Returns the creation time of `key` if it is a UUID of version 7, which contains it.
std::optional<std::chrono::system_clock::time_point> creation_time(std::string_view key);

} // namespace cicadaport::claims
