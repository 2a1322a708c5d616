// One director for each partition of the configured fleet.
#pragma once

#include "cicadaport/authority/partition_director.h"

#include <map>
#include <memory>
#include <string>

namespace cicadaport::authority {

// Starts directors as partitions appear in the configuration.
//
// Belongs to one event loop, which it must outlive once `run()` is spawned.
class fleet_directors {
public:
    // `process_id` is completed to a name that is unique to this run.
    fleet_directors(director_services services, const std::string& process_id, lease_timing timing);

    // Runs until all directors have ended after `stop()`.
    boost::asio::awaitable<void> run();

    // Finishes what is being sent and releases all leases.
    void stop() noexcept { m_stopping = true; }

    // Returns what the role controllers of the partitions held here do.
    std::vector<role_report> roles_now() const;

private:
    void start_missing();
    bool have_ended() const;

    director_services m_services;
    std::string m_self;
    lease_timing m_timing;
    std::map<std::string, std::unique_ptr<partition_director>> m_directors;
    bool m_stopping = false;
};

} // namespace cicadaport::authority
