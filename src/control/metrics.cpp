#include "cicadaport/control/metrics.h"

#include "cicadaport/relay/log_readers.h"

#include <mutex>
#include <peer.pb.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <state.pb.h>

namespace cicadaport::control {
namespace {

using gauge_family = prometheus::Family<prometheus::Gauge>;

gauge_family& make_family(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

std::string condition_of(const fold::state& state, const std::string& endpoint)
{
    const auto& wishes = state.message().wishes();
    if (const auto wish = wishes.find(endpoint); wish != wishes.end() && wish->second.drain()) {
        return "drained";
    }
    const auto& orders = state.message().orders();
    if (const auto order = orders.find(endpoint);
        order != orders.end() && order->second.has_intent()) {
        return "changing";
    }
    const auto& conditions = state.message().conditions();
    const auto reported = conditions.find(endpoint);
    return reported == conditions.end() ? "serving" : reported->second.condition();
}

} // namespace

class metrics::implementation {
public:
    implementation(const fold::replica& replica, const relay::process_table& processes)
        : m_replica{replica}, m_processes{processes}
    {
    }

    std::string expose(std::chrono::milliseconds contact_age)
    {
        const std::scoped_lock lock{m_mutex};
        set_to_zero();
        m_replica.inspect([&](const fold::state& state) { count(state, contact_age); });
        count_processes();
        return prometheus::TextSerializer{}.Serialize(m_registry.Collect());
    }

private:
    // What is gone since the last time shows as zero rather than as it was.
    void set_to_zero()
    {
        for (auto* gauge : m_counted) {
            gauge->Set(0);
        }
    }

    void add(gauge_family& family, const prometheus::Labels& labels, double value)
    {
        auto& gauge = family.Add(labels);
        m_counted.insert(&gauge);
        gauge.Increment(value);
    }

    void count(const fold::state& state, std::chrono::milliseconds contact_age)
    {
        m_progress.set({state.offset(), state.configuration_offset(), contact_age});
        if (state.document()) {
            for (const auto& each : state.document()->endpoints) {
                add(m_endpoints,
                    {{"serves", each.serves}, {"condition", condition_of(state, each.name)}}, 1);
            }
        }
        for (const auto& [name, orders] : state.message().orders()) {
            add(m_role_changes, {{"endpoint", name}}, orders.role_changes());
        }
        for (const auto& [partition, lease] : state.message().leases()) {
            add(m_fencing_numbers, {{"partition", partition}},
                static_cast<double>(lease.fencing_number()));
            add(m_renewals, {{"partition", partition}},
                static_cast<double>(lease.renewed_offset()));
        }
    }

    void count_processes()
    {
        for (const auto& each : m_processes.list(relay::process_table::clock::now())) {
            const bool live = each.age_ms() <= relay::live_age.count();
            add(m_process_counts, {{"kind", each.kind()}, {"state", live ? "live" : "silent"}}, 1);
        }
    }

    const fold::replica& m_replica;
    const relay::process_table& m_processes;
    std::mutex m_mutex;
    prometheus::Registry m_registry;
    telemetry::progress_gauges m_progress{m_registry};
    gauge_family& m_endpoints = make_family(m_registry, "cicadaport_endpoints",
                                            "Endpoints by what they serve and their condition");
    gauge_family& m_role_changes =
        make_family(m_registry, "cicadaport_role_changes", "Role changes that were carried out");
    gauge_family& m_fencing_numbers =
        make_family(m_registry, "cicadaport_lease_fencing_number",
                    "Fencing number of a partition's lease; grows when the holder changes");
    gauge_family& m_renewals =
        make_family(m_registry, "cicadaport_lease_renewed_offset",
                    "Offset of the last renewal; stands still while nobody holds the lease");
    gauge_family& m_process_counts =
        make_family(m_registry, "cicadaport_processes", "Known processes by kind, live or silent");
    std::set<prometheus::Gauge*> m_counted;
};

metrics::metrics(const fold::replica& replica, const relay::process_table& processes)
    : m_impl{std::make_unique<implementation>(replica, processes)}
{
}

metrics::~metrics() = default;

std::string metrics::expose(std::chrono::milliseconds contact_age)
{
    return m_impl->expose(contact_age);
}

} // namespace cicadaport::control
