// Which engines hold which prompt prefixes, as far as their cache events tell.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <span>

namespace cicadaport::routing {

// An engine that holds the beginning of a prompt.
struct prefix_holder {
    std::uint32_t endpoint = 0;
    std::uint32_t tokens = 0;
};

// The holders of one prompt's prefix that a lookup has met.
class prefix_match {
public:
    // Notes that `endpoint` holds `tokens`; the longest is kept.
    void note(std::uint32_t endpoint, std::uint32_t tokens) noexcept;

    // Puts the holders of the longest prefixes first.
    void order() noexcept;

    // Returns how many tokens `endpoint` holds.
    std::uint32_t tokens_at(std::uint32_t endpoint) const noexcept;

    std::span<const prefix_holder> holders() const noexcept { return {m_holders.data(), m_size}; }

private:
    static constexpr std::size_t most_holders = 16;
    std::array<prefix_holder, most_holders> m_holders{};
    std::size_t m_size = 0;
};

// A set-associative table from block hash to the engines that hold the block.
//
// A block takes 16 bytes and names at most four engines; the table never grows
// and a new block takes the place of another in its set. An endpoint takes no
// bytes of its own here. Events that are late, lost or wrong, and blocks that
// were replaced, make predictions worse and nothing else.
//
//   prefix_index index{1 << 16};
//   index.store(block, 3);
//   const auto match = index.find(prompt.blocks);
//
// Thread safety: lookups from any thread at any time without a lock; `store`
// and `remove` from one thread.
class prefix_index {
public:
    static constexpr std::size_t bytes_per_block = 16;
    // Endpoints from this index on are never noted.
    static constexpr std::uint32_t most_endpoints = 0xffff;

    // Makes room for at least `blocks` blocks.
    explicit prefix_index(std::size_t blocks);

    void store(std::uint64_t block, std::uint32_t endpoint) noexcept;
    void remove(std::uint64_t block, std::uint32_t endpoint) noexcept;

    // Forgets everything that `endpoint` holds, as after its change of role.
    void remove_all(std::uint32_t endpoint) noexcept;

    // Searches the chain of a prompt's blocks by bisection: a few probes, for
    // whoever holds a block mostly holds those before it.
    prefix_match find(std::span<const std::uint64_t> blocks) const noexcept;

private:
    // The holders are four 16-bit endpoint numbers plus one; 0 is none.
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
