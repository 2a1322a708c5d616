// The membership view of a host: the other hosts that it knows, and the routes of gossip to them.
//
// Hosts that each see a fiftieth of the traffic and choose engines by that view alone would all
// choose the same engine, so each host announces to the others the work that it sends to engines.
// Sending every announcement directly would make nearly every datagram cross availability zones.
// Gossip therefore goes directly to the hosts of the own zone, and to each other zone through one
// relay host, which forwards it there.
//
// Beyond `max_cell_size` hosts no host can process the announcements of all others. Hosts and
// engines are then divided into cells by hashes of their names. A host announces its work only to
// the hosts of its cell, and sends work only to the engines of that cell.
//
// Performs no I/O; times and randomness are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/fleet_work.h"
#include "cicadaport/serving/request_limits.h"

#include <compare>
#include <limits>
#include <map>
#include <random>
#include <vector>

namespace cicadaport::serving {

// The address at which a host receives gossip: an IPv4 address as a number, and a port.
struct peer_address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const peer_address&) const = default;
};

// The hosts to which a message is sent.
struct gossip_routes {
    // Receive the message for themselves.
    std::vector<peer_address> direct;
    // Receive the message and forward it to the hosts of their availability zone.
    std::vector<peer_address> relays;
};

// A host that receives what concerns a duty.
struct duty_recipient {
    host_number number = 0;
    peer_address at;
};

// The order in which hosts perform the duty of a subject.
struct duty_order {
    // This host's rank; the last possible one if it must not act.
    std::size_t own_rank = std::numeric_limits<std::size_t>::max();
    // The other hosts among the first of the order.
    std::vector<duty_recipient> first;
};

class host_directory {
public:
    // A host of the own zone that is silent for this long has stopped or is partitioned. Three
    // heartbeats, which are sent once a second, may be lost.
    static constexpr std::chrono::milliseconds silence_timeout{3'500};
    // The same for a host of another zone. It is longer because the relay of the host's heartbeats
    // may have stopped too.
    static constexpr std::chrono::milliseconds other_zone_silence_timeout{6'000};
    // Maximum average number of hosts in a cell. With 100 hosts of 12 requests per second, a host
    // uses 0.03 of a core to process the announcements of the others.
    static constexpr std::size_t max_cell_size = 100;
    // A host is counted among those that share the rate limits of replicas for this long after its
    // last message or the last message that named it.
    static constexpr std::chrono::seconds counted_retention{30};
    // Number of known hosts from which on a zone gets its messages through a relay; the hosts of
    // smaller zones get them directly.
    static constexpr std::size_t min_relayed_hosts = 3;

    // A host that started less than this ago may not know the others yet. Until then it assumes
    // the last rank in a fleet of the largest supported size.
    static constexpr std::chrono::seconds settling_time{4};
    static constexpr std::size_t max_hosts = 410;

    // `zone` is a hash of the availability zone's name; `started` is the time from which on this
    // host receives messages of the others.
    host_directory(peer_address own, host_number number, std::uint32_t zone,
                   time_point started = {})
        : m_own{own}, m_number{number}, m_zone{zone}, m_started{started}
    {
    }

    // Records a message received from the process `number`. Returns the number of the process that
    // it has replaced at its address, or 0.
    host_number record_message(const peer_address& at, host_number number, std::uint32_t zone,
                               time_point now);

    // Records that a message of another host names the host at this address.
    void record_mention(const peer_address& at, time_point now);

    // Removes silent hosts and returns their numbers.
    std::vector<host_number> forget_silent(time_point now);

    bool knows(const peer_address& at) const { return m_known.contains(at); }

    // Returns hosts that other hosts have named but from which no message was received yet.
    std::vector<peer_address> unconfirmed_hosts() const;

    // Returns up to `count` known hosts, drawn at random.
    std::vector<peer_address> random_hosts(std::size_t count, std::mt19937_64& random) const;

    // Returns the routes of announcements of work to hosts of the own cell. They stay the same
    // while the membership does, so that announcements arrive in order.
    gossip_routes routes_for_work() const { return routes(m_number, true); }

    // Returns the routes of a heartbeat to hosts of all cells. `turn` differs from one heartbeat to
    // the next, which selects different relays, so that the loss of one relay is compensated.
    gossip_routes routes_for_heartbeat(std::uint64_t turn) const { return routes(turn, false); }

    // Returns the hosts of the own availability zone to which a relayed message is forwarded: an
    // announcement of work goes to those of the own cell (`own_cell_only`), a heartbeat to all.
    std::vector<peer_address> zone_peers(bool own_cell_only) const;

    std::size_t size() const noexcept { return m_known.size(); }

    // Returns this host's rank among the hosts that may send requests to a replica, given by its
    // number; with `in_cell` only hosts of the replica's cell may. A host is still counted for a
    // while after it fell silent, since it may still send requests.
    fleet_place place_for(std::uint32_t endpoint, bool in_cell, time_point now) const;

    // Records whether a known host has told that it has a path to replicas.
    void record_reachability(const peer_address& at, bool has_path);

    // Returns the hosts that have a path to replicas and were heard from within their last two
    // heartbeats.
    struct hosts_by_zone {
        std::vector<peer_address> own_zone;
        std::vector<peer_address> other_zones;
    };
    hosts_by_zone hosts_with_paths(time_point now) const;

    // Returns this host's rank among the hosts from which it receives messages; the last rank in a
    // fleet of the largest supported size until it has settled. All hosts that know each other
    // compute the same order.
    std::size_t rank_among_known(time_point now) const;

    // Returns the rendezvous order of the known hosts for a subject, given by its digest, with the
    // other hosts among the first `count`. Hosts without a path to replicas are stopping or cut
    // off and are left out. All hosts that know each other compute the same order.
    duty_order order_of_hosts(std::uint32_t subject, std::size_t count, bool own_may_act,
                              time_point now) const;

    // Returns the number of cells into which the fleet is divided, a power of two.
    std::uint64_t cell_count() const noexcept;

    // Returns whether the engine belongs to the own cell.
    bool is_in_cell(std::uint32_t engine) const noexcept
    {
        return are_in_same_cell(engine, m_number);
    }

private:
    struct entry {
        host_number number = 0;
        std::uint32_t zone = 0;
        time_point last_message{};
        bool has_path = true;
    };

    gossip_routes routes(std::uint64_t key, bool own_cell_only) const;
    // Hosts and engines are given by their numbers.
    bool are_in_same_cell(std::uint64_t one, std::uint64_t other) const noexcept;

    peer_address m_own;
    host_number m_number;
    std::uint32_t m_zone;
    std::map<peer_address, entry> m_known;
    // Hosts that were named by others but sent no message yet, with the time of the last naming.
    std::map<peer_address, time_point> m_mentioned;
    // The counted hosts, each with its number (0 until its first message) and the time of the last
    // message from it or naming it.
    struct counted_host {
        host_number number = 0;
        time_point last{};
    };
    std::map<peer_address, counted_host> m_counted;
    time_point m_started;
};

} // namespace cicadaport::serving
