#include "cicadaport/routing/prefix_index.h"

#include "cicadaport/routing/estimate.h"

#include <algorithm>
#include <bit>

namespace cicadaport::routing {
namespace {

constexpr unsigned holder_bits = 16;
constexpr unsigned holders_per_block = 4;
constexpr std::uint64_t holder_mask = 0xffff;

std::uint64_t holder_at(std::uint64_t holders, unsigned place)
{
    return (holders >> (place * holder_bits)) & holder_mask;
}

bool has_holder(std::uint64_t holders, std::uint64_t holder)
{
    for (unsigned place = 0; place < holders_per_block; ++place) {
        if (holder_at(holders, place) == holder) {
            return true;
        }
    }
    return false;
}

// Puts the new holder first; a fifth drops the oldest one.
std::uint64_t add_holder(std::uint64_t holders, std::uint64_t holder)
{
    return has_holder(holders, holder) ? holders : (holders << holder_bits) | holder;
}

std::uint64_t remove_holder(std::uint64_t holders, std::uint64_t holder)
{
    std::uint64_t out = 0;
    unsigned kept = 0;
    for (unsigned place = 0; place < holders_per_block; ++place) {
        const auto each = holder_at(holders, place);
        if (each != 0 && each != holder) {
            out |= each << (kept++ * holder_bits);
        }
    }
    return out;
}

} // namespace

void prefix_match::add(std::uint32_t endpoint, std::uint32_t tokens) noexcept
{
    for (std::size_t i = 0; i < m_size; ++i) {
        if (m_holders[i].endpoint == endpoint) {
            m_holders[i].tokens = std::max(m_holders[i].tokens, tokens);
            return;
        }
    }
    if (m_size < max_holders) {
        m_holders[m_size++] = {endpoint, tokens};
    }
}

void prefix_match::sort_by_length() noexcept
{
    std::sort(m_holders.begin(), m_holders.begin() + static_cast<std::ptrdiff_t>(m_size),
              [](const prefix_holder& left, const prefix_holder& right) {
                  return left.tokens > right.tokens;
              });
}

std::uint32_t prefix_match::tokens_at(std::uint32_t endpoint) const noexcept
{
    for (const auto& holder : holders()) {
        if (holder.endpoint == endpoint) {
            return holder.tokens;
        }
    }
    return 0;
}

prefix_index::prefix_index(std::size_t blocks)
    : m_sets{std::bit_ceil(std::max<std::size_t>(blocks / ways, 1))}, m_slots{
                                                                          std::make_unique<slot[]>(
                                                                              m_sets * ways)}
{
}

prefix_index::slot* prefix_index::set_of(std::uint64_t block) const noexcept
{
    return &m_slots[(block & (m_sets - 1)) * ways];
}

std::uint64_t prefix_index::holders_of(std::uint64_t block) const noexcept
{
    const auto* set = set_of(block);
    for (std::size_t way = 0; way < ways; ++way) {
        if (set[way].block.load(std::memory_order_relaxed) == block) {
            return set[way].holders.load(std::memory_order_relaxed);
        }
    }
    return 0;
}

void prefix_index::store(std::uint64_t block, std::uint32_t endpoint) noexcept
{
    if (endpoint >= max_endpoints) {
        return;
    }
    auto* set = set_of(block);
    auto* place = &set[(block >> (64 - 2)) % ways];
    for (std::size_t way = 0; way < ways; ++way) {
        const auto holders = set[way].holders.load(std::memory_order_relaxed);
        if (holders != 0 && set[way].block.load(std::memory_order_relaxed) == block) {
            set[way].holders.store(add_holder(holders, endpoint + 1), std::memory_order_relaxed);
            return;
        }
        if (holders == 0) {
            place = &set[way];
        }
    }
    place->holders.store(0, std::memory_order_relaxed);
    place->block.store(block, std::memory_order_relaxed);
    place->holders.store(endpoint + 1, std::memory_order_relaxed);
}

void prefix_index::remove(std::uint64_t block, std::uint32_t endpoint) noexcept
{
    auto* set = set_of(block);
    for (std::size_t way = 0; way < ways; ++way) {
        if (set[way].block.load(std::memory_order_relaxed) == block) {
            const auto holders = set[way].holders.load(std::memory_order_relaxed);
            set[way].holders.store(remove_holder(holders, endpoint + 1), std::memory_order_relaxed);
        }
    }
}

void prefix_index::remove_all(std::uint32_t endpoint) noexcept
{
    for (std::size_t i = 0; i < m_sets * ways; ++i) {
        const auto holders = m_slots[i].holders.load(std::memory_order_relaxed);
        if (has_holder(holders, endpoint + 1)) {
            m_slots[i].holders.store(remove_holder(holders, endpoint + 1),
                                     std::memory_order_relaxed);
        }
    }
}

prefix_match prefix_index::find(std::span<const std::uint64_t> blocks) const noexcept
{
    prefix_match out;
    std::size_t held = 0;
    std::size_t missing = blocks.size() + 1;
    while (held + 1 < missing) {
        const auto middle = held + (missing - held) / 2;
        const auto holders = holders_of(blocks[middle - 1]);
        if (holders == 0) {
            missing = middle;
            continue;
        }
        held = middle;
        for (unsigned place = 0; place < holders_per_block; ++place) {
            if (const auto holder = holder_at(holders, place); holder != 0) {
                out.add(static_cast<std::uint32_t>(holder - 1),
                        static_cast<std::uint32_t>(middle * block_tokens));
            }
        }
    }
    out.sort_by_length();
    return out;
}

} // namespace cicadaport::routing
