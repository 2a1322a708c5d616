// The other hosts that this one knows, and how news reach them.
//
// The load that this answers: hosts that each see a fiftieth of the traffic and
// choose engines by it all send to the same one, so each tells the others what
// it gives to engines. To tell each host directly would send nearly every
// datagram between availability zones. News go to the hosts of the own zone
// directly, and to each other zone through one host, which passes them on there.
//
// Beyond `cell_size` hosts nobody can follow all the work. Hosts and engines are
// then divided into cells by digests of their names; a host tells the hosts of
// its own cell only, and gives work to the engines of that cell.
//
// Pure: times and randomness are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/fleet_work.h"
#include "cicadaport/serving/request_limits.h"

#include <compare>
#include <map>
#include <random>
#include <vector>

namespace cicadaport::serving {

// Where a host hears the others: an IPv4 address as a number, and a port.
struct peer_address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const peer_address&) const = default;
};

// Who is told of something.
struct news_routes {
    // Told directly.
    std::vector<peer_address> direct;
    // Told to pass it on to the hosts of their availability zone.
    std::vector<peer_address> relays;
};

class host_directory {
public:
    // A host of the own zone that is silent for so long has ended or is cut off;
    // three greetings of one a second may be lost.
    static constexpr std::chrono::milliseconds silence{3'500};
    // Elsewhere the host that passes its greetings on may have ended too.
    static constexpr std::chrono::milliseconds silence_elsewhere{6'000};
    // Hosts that follow each other's work, at most, on average. At 100 hosts of 12
    // requests a second one takes in 0.03 of a core what the others tell.
    static constexpr std::size_t cell_size = 100;
    // A host counts among those that share what replicas take for so long after it
    // was last heard or named.
    static constexpr std::chrono::seconds counted{30};
    // Zones of fewer known hosts than this are told directly.
    static constexpr std::size_t relayed_from = 3;

    // A host that started less than this ago may not know the others yet. It takes
    // itself for the last of the largest fleet that is provided for.
    static constexpr std::chrono::seconds settling_time{4};
    static constexpr std::size_t most_hosts = 410;

    // `zone` is a digest of the availability zone's name; `started` is when this host
    // began to hear the others.
    host_directory(peer_address own, host_number number, std::uint32_t zone,
                   time_point started = {})
        : m_own{own}, m_number{number}, m_zone{zone}, m_started{started}
    {
    }

    // Notes that the process `number` was heard. Returns the number of the process
    // that it has replaced at its address, or 0.
    host_number note(const peer_address& at, host_number number, std::uint32_t zone,
                     time_point now);

    // Notes that another host has named this one.
    void note_named(const peer_address& at, time_point now);

    // Forgets hosts that are silent and returns their numbers.
    std::vector<host_number> forget_silent(time_point now);

    bool knows(const peer_address& at) const { return m_known.contains(at); }

    // Returns hosts that others have named and that were not heard yet.
    std::vector<peer_address> strangers() const;

    // Returns up to `count` known hosts, drawn at random.
    std::vector<peer_address> draw(std::size_t count, std::mt19937_64& random) const;

    // Returns the way of news of work, which stays the same while the hosts do, so
    // that news arrive in their order.
    news_routes routes_for_work() const { return routes(m_number, true); }

    // Returns the way of a greeting, to hosts of all cells; `turn` differs from one
    // to the next, so that the loss of one host that passes on is made good.
    news_routes routes_for_greeting(std::uint64_t turn) const { return routes(turn, false); }

    // Returns the hosts of the own availability zone to which the news of another
    // host are passed on, of work or a greeting.
    std::vector<peer_address> zone_mates(bool of_cell) const;

    std::size_t size() const noexcept { return m_known.size(); }

    // Returns this host's place among all that may send requests to a replica, given by
    // its number; with `in_cell` those of the replica's cell alone may. A host counts for
    // a while after it fell silent: it may go on sending.
    fleet_place place_for(std::uint32_t endpoint, bool in_cell, time_point now) const;

    // Returns into how many cells the fleet is divided, a power of two.
    std::uint64_t cells() const noexcept;

    // Returns whether the engine belongs to the own cell.
    bool is_in_cell(std::uint32_t engine) const noexcept
    {
        return are_in_same_cell(engine, m_number);
    }

private:
    struct entry {
        host_number number = 0;
        std::uint32_t zone = 0;
        time_point heard{};
    };

    news_routes routes(std::uint64_t key, bool of_cell) const;
    // Hosts and engines are given by their numbers.
    bool are_in_same_cell(std::uint64_t one, std::uint64_t other) const noexcept;

    peer_address m_own;
    host_number m_number;
    std::uint32_t m_zone;
    std::map<peer_address, entry> m_known;
    // Named by others, not heard yet, and when last.
    std::map<peer_address, time_point> m_named;
    // The hosts that count, with their number once they were heard, and when each was
    // last heard or named.
    struct counted_host {
        host_number number = 0;
        time_point last{};
    };
    std::map<peer_address, counted_host> m_counted;
    time_point m_started;
};

} // namespace cicadaport::serving
