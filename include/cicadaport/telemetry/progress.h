// How far a process has followed the log, for Prometheus.
#pragma once

#include <chrono>
#include <cstdint>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace cicadaport::telemetry {

// What a process knows of the log at one moment.
struct progress {
    std::uint64_t offset = 0;
    std::uint64_t configuration_offset = 0;
    // Since the log, or a peer that follows it, last answered.
    std::chrono::milliseconds contact_age{0};
};

// The gauges of that, under the same names in every process, so that one alert
// finds any process that lags.
//
// Thread safety: all members from any thread. The registry must outlive it.
//
//   progress_gauges gauges{registry};
//   gauges.set({state.offset(), state.configuration_offset(), age});
class progress_gauges {
public:
    explicit progress_gauges(prometheus::Registry& registry);

    void set(const progress& now);

private:
    prometheus::Gauge& m_offset;
    prometheus::Gauge& m_configuration_offset;
    prometheus::Gauge& m_contact_age;
};

} // namespace cicadaport::telemetry
