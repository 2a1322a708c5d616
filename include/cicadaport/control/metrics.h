// What a control process shows to Prometheus.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/relay/process_table.h"
#include "cicadaport/telemetry/progress.h"

#include <chrono>
#include <memory>
#include <string>

namespace cicadaport::control {

// Gauges of the folded state and of the known processes, filled when asked
// for. All but the process's own progress come from the log and are the same
// in every control process that has folded as far.
//
// Thread safety: all members from any thread. What it is given must outlive it.
class metrics {
public:
    metrics(const fold::replica& replica, const relay::process_table& processes);
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Returns everything in Prometheus' text format; `contact_age` is the time
    // since the log or a peer answered this process.
    std::string expose(std::chrono::milliseconds contact_age);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::control
