// Real hosts with limits on memory and descriptors, beside callers and replicas that send
// without end, and a log that nobody reads.
#pragma once

#include "platform/soak/faulty_peers.h"
#include "platform/soak/fleet_soak.h"

namespace cicadaport::platform::testing {

// Checks that each host lives, stays far below its memory limit, is ready, and answers the callers
// of sound replicas within their deadline. Uses the program, the folder, the seed and the time of
// the options.
class faulty_peer_soak {
public:
    explicit faulty_peer_soak(soak_options options);

    // Runs all faulty parties at once. May be called once.
    soak_result run();

private:
    class limited_host;

    void publish(const http::address& small, const http::address& large);
    void add_faulty_callers(const limited_host& to);
    void violated(const std::string& text);

    soak_options m_options;
    std::mt19937_64 m_random;
    standin_store m_store;
    std::vector<std::string> m_faulty_services;
    faulty_peers m_peers;
    soak_result m_result;
};

} // namespace cicadaport::platform::testing
