#include "cicadaport/serving/host_directory.h"

#include "cicadaport/serving/digest.h"

#include <algorithm>
#include <iterator>

namespace cicadaport::serving {
namespace {

std::uint64_t rendezvous_weight(std::uint32_t key, const peer_address& at)
{
    constexpr unsigned port_bits = 16;
    return hash_number(hash_number(key) ^ (std::uint64_t{at.ip} << port_bits | at.port));
}

} // namespace

host_number host_directory::record_message(const peer_address& at, host_number number,
                                           std::uint32_t zone, time_point now)
{
    if (at == m_own || number == m_number) {
        return 0;
    }
    m_mentioned.erase(at);
    m_counted[at] = {number, now};
    auto& known = m_known[at];
    const auto before = std::exchange(known.number, number);
    known.zone = zone;
    known.last_message = now;
    return before != number ? before : 0;
}

void host_directory::record_mention(const peer_address& at, time_point now)
{
    if (at != m_own && !m_known.contains(at)) {
        m_mentioned[at] = now;
        m_counted[at].last = now;
    }
}

std::vector<host_number> host_directory::forget_silent(time_point now)
{
    std::vector<host_number> out;
    std::erase_if(m_known, [&](const auto& each) {
        const auto& [at, known] = each;
        const bool gone = now - known.last_message >
                          (known.zone == m_zone ? silence_timeout : other_zone_silence_timeout);
        if (gone) {
            out.push_back(known.number);
        }
        return gone;
    });
    std::erase_if(m_mentioned,
                  [&](const auto& each) { return now - each.second > silence_timeout; });
    std::erase_if(m_counted,
                  [&](const auto& each) { return now - each.second.last > counted_retention; });
    return out;
}

std::vector<peer_address> host_directory::unconfirmed_hosts() const
{
    std::vector<peer_address> out;
    out.reserve(m_mentioned.size());
    for (const auto& [at, since] : m_mentioned) {
        out.push_back(at);
    }
    return out;
}

std::vector<peer_address> host_directory::random_hosts(std::size_t count,
                                                       std::mt19937_64& random) const
{
    std::vector<peer_address> all;
    all.reserve(m_known.size());
    for (const auto& [at, known] : m_known) {
        all.push_back(at);
    }
    std::vector<peer_address> out;
    std::sample(all.begin(), all.end(), std::back_inserter(out), count, random);
    return out;
}

gossip_routes host_directory::routes(std::uint64_t key, bool own_cell_only) const
{
    gossip_routes out;
    std::map<std::uint32_t, std::vector<const std::pair<const peer_address, entry>*>> elsewhere;
    for (const auto& each : m_known) {
        if (own_cell_only && !are_in_same_cell(each.second.number, m_number)) {
            continue;
        }
        if (each.second.zone == m_zone) {
            out.direct.push_back(each.first);
        }
        else {
            elsewhere[each.second.zone].push_back(&each);
        }
    }
    for (const auto& [zone, hosts] : elsewhere) {
        if (hosts.size() < min_relayed_hosts) {
            for (const auto* each : hosts) {
                out.direct.push_back(each->first);
            }
            continue;
        }
        // Rendezvous hashing spreads the relays that different hosts choose.
        const auto chosen =
            std::max_element(hosts.begin(), hosts.end(), [&](const auto* left, const auto* right) {
                return hash_number(key ^ left->second.number) <
                       hash_number(key ^ right->second.number);
            });
        out.relays.push_back((*chosen)->first);
    }
    return out;
}

std::vector<peer_address> host_directory::zone_peers(bool own_cell_only) const
{
    std::vector<peer_address> out;
    for (const auto& [at, known] : m_known) {
        if (known.zone == m_zone && (!own_cell_only || are_in_same_cell(known.number, m_number))) {
            out.push_back(at);
        }
    }
    return out;
}

fleet_place host_directory::place_for(std::uint32_t endpoint, bool in_cell, time_point now) const
{
    if (now - m_started < settling_time) {
        return {max_hosts, max_hosts - 1};
    }
    const auto weight_of = [endpoint](const peer_address& at) {
        return rendezvous_weight(endpoint, at);
    };
    const auto may_send = [&](host_number number) {
        // The cell of a host is unknown until its first message.
        return !in_cell || number == 0 || are_in_same_cell(endpoint, number);
    };
    const auto own = weight_of(m_own);
    const bool own_may_send = may_send(m_number);
    fleet_place out;
    for (const auto& [at, each] : m_counted) {
        if (may_send(each.number) && now - each.last <= counted_retention) {
            ++out.hosts;
            out.rank += !own_may_send || weight_of(at) > own ? 1 : 0;
        }
    }
    return out;
}

void host_directory::record_reachability(const peer_address& at, bool has_path)
{
    if (const auto found = m_known.find(at); found != m_known.end()) {
        found->second.has_path = has_path;
    }
}

host_directory::hosts_by_zone host_directory::hosts_with_paths(time_point now) const
{
    constexpr std::chrono::milliseconds max_silence{2'300};
    hosts_by_zone out;
    for (const auto& [at, known] : m_known) {
        if (known.has_path && now - known.last_message <= max_silence) {
            (known.zone == m_zone ? out.own_zone : out.other_zones).push_back(at);
        }
    }
    return out;
}

std::size_t host_directory::rank_among_known(time_point now) const
{
    if (now - m_started < settling_time) {
        return max_hosts - 1;
    }
    return static_cast<std::size_t>(
        std::count_if(m_known.begin(), m_known.end(),
                      [this](const auto& each) { return each.second.number < m_number; }));
}

duty_order host_directory::order_of_hosts(std::uint32_t subject, std::size_t count,
                                          bool own_may_act, time_point now) const
{
    struct ranked_host {
        std::uint64_t weight = 0;
        duty_recipient host;
    };
    std::vector<ranked_host> all;
    all.reserve(m_known.size());
    for (const auto& [at, known] : m_known) {
        if (known.has_path) {
            all.push_back({rendezvous_weight(subject, at), {known.number, at}});
        }
    }
    const auto own = rendezvous_weight(subject, m_own);
    duty_order out;
    if (own_may_act && now - m_started >= settling_time) {
        out.own_rank = static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [own](const auto& each) { return each.weight > own; }));
    }
    // A host that has not settled yet has its place among the first ones.
    const auto others =
        own_may_act && static_cast<std::size_t>(std::count_if(
                           all.begin(), all.end(),
                           [own](const auto& each) { return each.weight > own; })) < count
            ? count - 1
            : count;
    const auto taken = std::min(others, all.size());
    std::partial_sort(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(taken), all.end(),
        [](const auto& left, const auto& right) { return left.weight > right.weight; });
    for (std::size_t index = 0; index < taken; ++index) {
        out.first.push_back(all[index].host);
    }
    return out;
}

std::uint64_t host_directory::cell_count() const noexcept
{
    std::uint64_t count = 1;
    while (count * max_cell_size < m_known.size() + 1) {
        count *= 2;
    }
    return count;
}

bool host_directory::are_in_same_cell(std::uint64_t one, std::uint64_t other) const noexcept
{
    return (hash_number(one) ^ hash_number(other)) % cell_count() == 0;
}

} // namespace cicadaport::serving
