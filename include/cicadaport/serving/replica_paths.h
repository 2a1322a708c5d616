// Notices when this host has lost all paths to replicas.
//
// A failed connection or a missing answer alone says nothing about the host: the replica may be
// down. The host then probes a few replicas. If none of them accepts a connection, the host counts
// as cut off until one does. If all replicas are down, all hosts count as cut off, which changes
// nothing, since there is no other host to turn to.
//
// Not thread safe: used only on the event loop of its host.
#pragma once

#include "cicadaport/serving/endpoint_table.h"
#include "cicadaport/transport/timer_queue.h"

namespace cicadaport::serving {

struct host_state;

class replica_paths {
public:
    // Number of replicas that are probed at once.
    static constexpr std::size_t probe_count = 3;
    // Shortest time between two rounds of probes, and the time between them while cut off.
    static constexpr std::chrono::milliseconds probe_interval{500};
    // A missing answer causes no probes if any replica has answered within this time.
    static constexpr std::chrono::milliseconds answer_time{250};

    // `host` must outlive this object.
    explicit replica_paths(host_state& host) : m_host{host} {}

    // A connection to a replica was not established.
    void note_unreached();
    // A replica has not answered in time.
    void note_silence();
    void note_answer() noexcept;

    bool is_cut_off() const noexcept { return m_is_cut_off; }

private:
    void probe();
    void handle_probe(const std::string& endpoint, bool accepts_connections);
    void set_cut_off(bool cut_off);

    host_state& m_host;
    time_point m_last_answer{};
    time_point m_last_round{};
    std::size_t m_pending = 0;
    std::size_t m_accepted = 0;
    std::string m_probed;
    bool m_is_cut_off = false;
    transport::timer_queue::handle m_next_round;
};

} // namespace cicadaport::serving
