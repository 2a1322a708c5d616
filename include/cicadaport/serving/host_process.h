// The process that runs on each host: it accepts callers' connections, follows the
// platform's lists and sends requests to endpoints, all on one event loop.
//
// Hosts keep no durable state. The data for serving a request is read from the platform's
// lists; orders to engines are recorded in the platform's store before they are sent.
#pragma once

#include "cicadaport/serving/caller_connection.h"
#include "cicadaport/serving/duty_settings.h"
#include "cicadaport/serving/feed_follower.h"
#include "cicadaport/serving/peer_gossip.h"
#include "cicadaport/serving/stage_director.h"
#include "cicadaport/serving/usage_director.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cicadaport::serving {

// Settings of a host.
struct host_settings {
    std::string name;
    std::string availability_zone;
    http::address caller_address;
    http::address readiness_address;
    http::address store_address;
    peer_settings peers;
    // Maximum time of a planned stop.
    milliseconds grace_time{8'000};
    // How long connections are accepted after a stop has begun. The balancer checks
    // readiness once a second and acts on the second failed check.
    milliseconds accept_time_after_stop{2'600};
    // How long requests may still be sent to a replica after it announced that it leaves.
    milliseconds max_leaving_delay{2'000};
    // Maximum time from the acceptance of a configuration until it is in force.
    milliseconds max_apply_delay{2'000};
    // Maximum time from when a host can reach the store again until it serves what was
    // accepted meanwhile.
    milliseconds max_recovery_delay{3'000};
    // Retry budget: attempts beyond the first, of all hosts together, as a ratio to requests.
    attempt_budget::bounds attempts;
    // The most memory, in bytes, and the most descriptors that the process may use; empty if the
    // deployment does not limit them.
    std::optional<std::uint64_t> max_memory;
    std::optional<std::uint32_t> max_descriptors;
    // What one connection of a caller may make the host hold.
    connection_bounds caller_bounds;
    // Empty if the platform offers no interface for duties.
    std::optional<duty_settings> duties;
    // Number of partitions of a topic in the platform's store.
    std::uint32_t store_partitions = 1;
    // If set, a host whose view of the configuration is older than this runs no request of an
    // account.
    std::optional<milliseconds> max_revocation_delay;
};

class host_process {
public:
    // Returns the current settings; throws std::runtime_error if they can't be read.
    using settings_source = std::function<host_settings()>;

    // `wire` must outlive the process. `source` is called once by the constructor, and again
    // on each SIGHUP.
    host_process(settings_source source, const wire_format& wire);
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    // Serves until a stop, by `stop()`, SIGTERM or SIGINT, has completed.
    void run();

    // Begins a planned stop: the host first reports that it is not ready, then accepts no new
    // connections, and ends when all requests have been answered or the grace time is over.
    // Thread safe.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::serving
