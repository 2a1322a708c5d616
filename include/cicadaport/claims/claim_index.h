// Maps idempotency keys to the claims that hold them, folded from the log.
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

// The recorded answer of a request that ran or may have run.
struct claim_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;
    // The answer was too long to be stored; only the status is known.
    bool omitted = false;
    // The request may have run, and its answer can't be recovered.
    bool unknown = false;
};

// The claim that holds a key.
struct claim_entry {
    std::string claim_id;
    std::string request;
    std::int64_t at_ms = 0;
    std::optional<claim_answer> answer;
};

// The claims in force on one log stream.
//
// The first claim on a key wins and holds the key for the retention time; it is
// released early only if its request certainly did not run. The fold is
// deterministic: all times come from the records, so that processes that fold
// the same records agree on the holders. Duplicate records have no effect. Not
// thread safe.
//
//   index.apply(record);
//   const bool won = index.find(key)->claim_id == mine;
class claim_index {
public:
    explicit claim_index(std::chrono::milliseconds retention) : m_retention{retention} {}

    // Folds a record. Records must be applied in log order.
    void apply(const protocol::claim_record& record);

    // Returns the claim that holds `key`, or null. Valid until the next `apply`.
    const claim_entry* find(const std::string& key) const;

    std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct aged_key {
        std::int64_t at_ms = 0;
        std::string key;
    };

    void apply_made(const protocol::claim_record& record);
    void remove_expired(std::int64_t now_ms);

    std::chrono::milliseconds m_retention;
    std::unordered_map<std::string, claim_entry> m_entries;
    std::deque<aged_key> m_keys_by_age;
};

} // namespace cicadaport::claims
