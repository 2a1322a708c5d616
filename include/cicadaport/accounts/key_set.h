// The accounts of a configuration and the keys by which their callers identify themselves.
#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadaport::accounts {

// Longer keys match no account.
constexpr std::size_t max_key_bytes = 1'024;

// BLAKE2b hash of a key. Equal in all processes, so that a host can tell another host which keys
// are valid without disclosing them. Keys are random and long, so a hash can't be reversed by
// trying all keys.
using key_hash = std::array<unsigned char, 16>;

key_hash hash_key(std::string_view key);

// Returns whether `text` can be a key in a request: 1 to `max_key_bytes` visible ASCII characters.
bool is_valid_key(std::string_view text) noexcept;

struct account {
    std::string name;
    // Takes precedence over the priority of a route; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
};

// An account with its keys.
struct account_entry {
    account holder;
    std::vector<key_hash> keys;
};

// Immutable. Holds keys only as hashes under a random key of the process, so that neither the
// order of the look-up table nor the time of a look-up can be predicted from outside.
class key_set {
public:
    // If several accounts list the same key, the key belongs to the first of them.
    explicit key_set(std::vector<account_entry> entries);

    // Returns the account that holds the key, or null. The time does not depend on the number of
    // keys, nor on how much of a wrong key is right.
    const account* find_key(const key_hash& key) const;

    // Returns the account of this name, or null.
    const account* find_name(const std::string& name) const;

    std::size_t account_count() const noexcept { return m_accounts.size(); }
    std::size_t key_count() const noexcept { return m_keys.size(); }
    // Returns how many keys are listed by more than one account.
    std::size_t ambiguous_key_count() const noexcept { return m_ambiguous_keys; }

private:
    using keyed_hash = std::array<unsigned char, 16>;

    struct prefix_of {
        std::size_t operator()(const keyed_hash& hash) const noexcept
        {
            std::size_t out = 0;
            std::memcpy(&out, hash.data(), sizeof(out));
            return out;
        }
    };
    struct equal_in_constant_time {
        bool operator()(const keyed_hash& left, const keyed_hash& right) const noexcept;
    };

    static keyed_hash keyed(const key_hash& key);

    std::vector<account> m_accounts;
    // Indices of accounts.
    std::unordered_map<keyed_hash, std::uint32_t, prefix_of, equal_in_constant_time> m_keys;
    std::unordered_map<std::string, std::uint32_t> m_by_name;
    std::size_t m_ambiguous_keys = 0;
};

using key_set_pointer = std::shared_ptr<const key_set>;

} // namespace cicadaport::accounts
