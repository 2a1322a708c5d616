// An index of the prompt prefixes that engines hold, built from cache events.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <span>

namespace cicadaport::routing {

// An engine whose KV cache holds a prompt prefix of `tokens`.
struct prefix_holder {
    std::uint32_t endpoint = 0;
    std::uint32_t tokens = 0;
};

// The holders of a prompt's prefix that a lookup found.
class prefix_match {
public:
    // Adds a holder, or raises its `tokens` if it is already there. Holders beyond
    // `max_holders` are ignored.
    void add(std::uint32_t endpoint, std::uint32_t tokens) noexcept;

    // Sorts the holders by prefix length, longest first.
    void sort_by_length() noexcept;

    // Returns the number of tokens that `endpoint` holds.
    std::uint32_t tokens_at(std::uint32_t endpoint) const noexcept;

    std::span<const prefix_holder> holders() const noexcept { return {m_holders.data(), m_size}; }

private:
    static constexpr std::size_t max_holders = 16;
    std::array<prefix_holder, max_holders> m_holders{};
    std::size_t m_size = 0;
};

// A set-associative table from block hash to the engines that hold the block.
//
// A block takes 16 bytes and lists at most four engines. The table never grows: a
// new block replaces another in its set if the set is full. Endpoints take no
// memory of their own. Late, lost or wrong events and replaced blocks only make
// predictions less accurate.
//
//   prefix_index index{1 << 16};
//   index.store(block, 3);
//   const auto match = index.find(prompt.blocks);
//
// Thread safety: lookups are lock-free from any thread; all changes come from one
// thread.
class prefix_index {
public:
    static constexpr std::size_t bytes_per_block = 16;
    // Endpoints with this index or a higher one are never stored.
    static constexpr std::uint32_t max_endpoints = 0xffff;

    // Creates a table of `blocks` blocks, a multiple of 4 that is rounded up to a
    // power of two.
    explicit prefix_index(std::size_t blocks);

    void store(std::uint64_t block, std::uint32_t endpoint) noexcept;
    void remove(std::uint64_t block, std::uint32_t endpoint) noexcept;

    // Removes `endpoint` from all blocks, for example after a change of its role.
    void remove_all(std::uint32_t endpoint) noexcept;

    // Finds the holders of a prompt's prefix by a binary search over its blocks.
    // Few probes suffice, because an engine that holds a block usually holds all
    // blocks before it.
    prefix_match find(std::span<const std::uint64_t> blocks) const noexcept;

private:
    // `holders` packs four 16-bit values: an endpoint index plus one, or 0 for none.
    struct slot {
        std::atomic<std::uint64_t> block{0};
        std::atomic<std::uint64_t> holders{0};
    };
    static_assert(sizeof(slot) == bytes_per_block);

    static constexpr std::size_t ways = 4;

    slot* set_of(std::uint64_t block) const noexcept;
    std::uint64_t holders_of(std::uint64_t block) const noexcept;

    std::size_t m_sets;
    std::unique_ptr<slot[]> m_slots;
};

} // namespace cicadaport::routing
