// Runs one director for each partition of the configured fleet.
#pragma once

#include "cicadaport/authority/partition_director.h"

#include <map>
#include <memory>
#include <string>

namespace cicadaport::authority {

// Starts directors as partitions appear in the configuration.
//
// Not thread safe; used from one event loop, which it must outlive once `run()`
// is spawned.
class fleet_directors {
public:
    // A random suffix is added to `process_id`, so that the name is unique to
    // this run of the process.
    fleet_directors(director_services services, const std::string& process_id, lease_timing timing);

    // Runs until all directors have ended after `stop()`.
    boost::asio::awaitable<void> run();

    // Makes `run()` finish the orders being sent and release all leases.
    void stop() noexcept { m_stopping = true; }

    // Returns the reports of the role controllers of all partitions whose lease
    // this process holds.
    std::vector<role_report> current_roles() const;

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
