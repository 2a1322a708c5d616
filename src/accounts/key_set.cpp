#include "cicadaport/accounts/key_set.h"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>

namespace cicadaport::accounts {
namespace {

using siphash_key = std::array<unsigned char, crypto_shorthash_siphashx24_KEYBYTES>;

const siphash_key& process_key()
{
    static const auto key = [] {
        if (::sodium_init() < 0) {
            throw std::runtime_error{"libsodium can't be initialized"};
        }
        siphash_key out{};
        ::randombytes_buf(out.data(), out.size());
        return out;
    }();
    return key;
}

} // namespace

key_hash hash_key(std::string_view key)
{
    key_hash out{};
    static_assert(std::tuple_size_v<key_hash> >= crypto_generichash_BYTES_MIN);
    ::crypto_generichash(out.data(), out.size(), reinterpret_cast<const unsigned char*>(key.data()),
                         key.size(), nullptr, 0);
    return out;
}

bool is_valid_key(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= max_key_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char each) { return each > ' ' && each < 0x7f; });
}

key_set::key_set(std::vector<account_entry> entries)
{
    std::size_t keys = 0;
    for (const auto& each : entries) {
        keys += each.keys.size();
    }
    m_keys.reserve(keys);
    for (auto& each : entries) {
        const auto added = static_cast<std::uint32_t>(m_accounts.size());
        // Entries of the same name are one account, with the priority of the first of them.
        const auto index = m_by_name.emplace(each.holder.name, added).first->second;
        if (index == added) {
            m_accounts.push_back(std::move(each.holder));
        }
        for (const auto& key : each.keys) {
            const auto holder = m_keys.emplace(keyed(key), index).first->second;
            m_ambiguous_keys += holder != index ? 1 : 0;
        }
    }
}

key_set::keyed_hash key_set::keyed(const key_hash& key)
{
    keyed_hash out{};
    static_assert(std::tuple_size_v<keyed_hash> == crypto_shorthash_siphashx24_BYTES);
    ::crypto_shorthash_siphashx24(out.data(), key.data(), key.size(), process_key().data());
    return out;
}

bool key_set::equal_in_constant_time::operator()(const keyed_hash& left,
                                                 const keyed_hash& right) const noexcept
{
    return ::sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

const account* key_set::find_key(const key_hash& key) const
{
    const auto found = m_keys.find(keyed(key));
    return found == m_keys.end() ? nullptr : &m_accounts[found->second];
}

const account* key_set::find_name(const std::string& name) const
{
    const auto found = m_by_name.find(name);
    return found == m_by_name.end() ? nullptr : &m_accounts[found->second];
}

} // namespace cicadaport::accounts
