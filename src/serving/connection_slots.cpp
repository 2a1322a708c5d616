#include "cicadaport/serving/connection_slots.h"

#include <algorithm>

namespace cicadaport::serving {
namespace {

// Descriptors kept for files: this many, but no more than a fraction of a small limit.
constexpr std::uint64_t max_file_descriptors = 200;
constexpr std::uint64_t file_share_divisor = 4;

// Shares of the descriptors that are left for sockets. A request of a caller or of another host may
// need a connection to a replica, so that both shares together stay below one half.
struct fraction {
    std::uint64_t numerator;
    std::uint64_t denominator;
};
constexpr fraction caller_share{2, 5};
constexpr fraction host_share{1, 12};

constexpr std::size_t part_of(std::uint64_t whole, fraction share)
{
    return static_cast<std::size_t>(whole / share.denominator * share.numerator +
                                    whole % share.denominator * share.numerator /
                                        share.denominator);
}

} // namespace

connection_shares connection_shares::of(std::uint64_t max_descriptors) noexcept
{
    const auto files = std::min(max_file_descriptors, max_descriptors / file_share_divisor);
    const auto sockets = max_descriptors - files;
    return {part_of(sockets, caller_share), part_of(sockets, host_share)};
}

connection_slots::slot connection_slots::add(slot_holder& holder)
{
    auto& fresh = members(phase::fresh);
    const auto added = fresh.insert(fresh.end(), entry{&holder, phase::fresh});
    ++m_count;
    return added;
}

void connection_slots::set_phase(slot of, phase next) noexcept
{
    if (of->in != next) {
        auto& to = members(next);
        to.splice(to.end(), members(of->in), of);
        of->in = next;
    }
}

void connection_slots::remove(slot of) noexcept
{
    members(of->in).erase(of);
    --m_count;
}

slot_holder* connection_slots::next_to_end() const noexcept
{
    const auto& closing = members(phase::closing);
    const auto& fresh = members(phase::fresh);
    const auto& kept = members(phase::kept);
    const bool fresh_exceed_share = fresh.size() > m_limit / fresh_share_divisor;
    const auto& from = !closing.empty()                     ? closing
                       : fresh_exceed_share || kept.empty() ? fresh
                                                            : kept;
    return from.empty() ? nullptr : from.front().holder;
}

} // namespace cicadaport::serving
