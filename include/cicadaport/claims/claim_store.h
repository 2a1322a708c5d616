// Claims on idempotency keys, kept on the platform's log.
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
    // How many streams the claims are spread over, by account and key.
    std::size_t shards = 2;
    // How long a key is held. The log must keep its records longer.
    std::chrono::milliseconds retention{600'000};
    // The least time between two appends to one stream. Bounds what one
    // process appends to `shards` for each of it, whatever the load.
    std::chrono::milliseconds append_gap{20};
    // How many claims one append may carry.
    std::size_t most_per_append = 256;
};

// What a request claims.
struct claim_request {
    claim_request(std::string_view account, std::string_view key, std::string_view request);

    // A digest of account and key: two accounts may use the same key.
    std::string scoped_key;
    // A digest of what is to run.
    std::string request;
};

enum class claim_outcome {
    // The caller of `acquire` may run the request, and nobody else.
    won,
    // It ran already; its answer is there.
    ended,
    // Another claim holds the key and its answer is not known yet.
    held,
    // The key is held for another request.
    other_request,
};

struct claim_result {
    claim_result() = default;
    claim_outcome outcome = claim_outcome::held;
    std::string claim_id;
    claim_answer answer;
    // A request that was won must not begin later than this.
    std::chrono::steady_clock::time_point begin_before;
};

// Makes claims on behalf of one entry process.
//
// All claims of a shard that wait go to the log in one append; the next one
// leaves when that is answered. An append whose answer was lost is looked for
// in the log before it is repeated, with the same ids. Answers and releases
// that the log did not take are kept and offered again.
//
// Thread safety: all members from any thread; the work is done on `context`.
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

    // Claims a key, or waits until `wait_until` for the answer of the claim
    // that holds it. Throws `shared_log::log_error` if the log can't tell: the
    // request must not run then.
    boost::asio::awaitable<claim_result> acquire(claim_request wanted,
                                                 std::chrono::steady_clock::time_point wait_until);

    // Records the answer of a request that was won; does not wait.
    void end(const claim_request& claimed, const std::string& claim_id, claim_answer answer);

    // Gives up a claim whose request surely did not run; does not wait.
    void release(const claim_request& claimed, const std::string& claim_id);

    // Returns how many records wait for the log.
    std::size_t pending() const noexcept;

private:
    class shard;
    boost::asio::awaitable<claim_result>
    acquire_here(claim_request wanted, std::chrono::steady_clock::time_point wait_until);
    boost::asio::awaitable<void> decide(shard& own, const claim_request& wanted,
                                        std::chrono::steady_clock::time_point wait_until,
                                        claim_result& out);
    bool is_held(const claim_entry* holder) const;
    void hand_over(const std::shared_ptr<shard>& own, protocol::claim_record record);
    std::shared_ptr<shard> shard_of(const std::string& scoped_key) const;

    boost::asio::io_context& m_context;
    claim_settings m_settings;
    std::vector<std::shared_ptr<shard>> m_shards;
};

// Returns when a key was made, if it is a UUID of version 7, which says so.
std::optional<std::chrono::system_clock::time_point> creation_time(std::string_view key);

} // namespace cicadaport::claims
