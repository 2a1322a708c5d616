// Who may run the request of an idempotency key, as the log says.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace cicadaport::protocol {
class claim_record;
}

namespace cicadaport::claims {

// The stored answer of a request that ran.
struct claim_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;
    // It was too long to be kept: only that it ran is known.
    bool omitted = false;
    // The request may have run and its answer will never be known.
    bool unknown = false;
};

// The claim that holds a key.
struct claim_entry {
    std::string claim_id;
    std::string request;
    std::int64_t at_ms = 0;
    std::optional<claim_answer> answer;
};

// The fold of one stream of claims.
//
// The first claim of a key wins and holds it for the retention time; it is
// released early only if its request surely did not run. Deterministic: all
// times come from the records, so that every process that folds the same
// records knows the same holders. Records seen twice change nothing. Not
// thread safe.
//
//   index.apply(record);
//   const bool won = index.find(key)->claim_id == mine;
class claim_index {
public:
    explicit claim_index(std::chrono::milliseconds retention) : m_retention{retention} {}

    // Folds the next record in log order.
    void apply(const protocol::claim_record& record);

    // Returns the holder of `key`, or null. Valid until the next `apply`.
    const claim_entry* find(const std::string& key) const;

    std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct aged_key {
        std::int64_t at_ms = 0;
        std::string key;
    };

    void apply_made(const protocol::claim_record& record);
    void forget_old(std::int64_t now_ms);

    std::chrono::milliseconds m_retention;
    std::unordered_map<std::string, claim_entry> m_entries;
    std::deque<aged_key> m_ages;
};

} // namespace cicadaport::claims
