#include "cicadaport/telemetry/progress.h"

namespace cicadaport::telemetry {
namespace {

prometheus::Gauge& make_gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

progress_gauges::progress_gauges(prometheus::Registry& registry)
    : m_offset{make_gauge(registry, "cicadaport_fold_offset", "Offset of the last folded record")},
      m_configuration_offset{make_gauge(registry, "cicadaport_configuration_offset",
                                        "Offset of the configuration in force")},
      m_contact_age{make_gauge(registry, "cicadaport_log_contact_age_seconds",
                               "Time since the log, or a peer that follows it, answered")}
{
}

void progress_gauges::set(const progress& now)
{
    m_offset.Set(static_cast<double>(now.offset));
    m_configuration_offset.Set(static_cast<double>(now.configuration_offset));
    m_contact_age.Set(std::chrono::duration<double>(now.contact_age).count());
}

} // namespace cicadaport::telemetry
