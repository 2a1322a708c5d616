#include "internal/endpoint_feed.h"

#include "internal/feed_records.h"

#include "cicadaport/telemetry/exception_log.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {

endpoint_feed::endpoint_feed(host_state& host) : m_host{host}
{
    // Nothing is offered before the first configuration.
    m_host.endpoints.name_services({}, m_host.timers.now());
}

void endpoint_feed::apply_list(const std::vector<feed_entry>& entries, list_state state)
{
    if (state != list_state::refilling) {
        m_host.endpoints.keep_only(keys_of(entries), m_host.timers.now());
    }
    if (state != list_state::refilled) {
        m_host.origins.handle_whole_list();
    }
    apply(entries);
    spdlog::info("endpoints_read listed={} count={} deferred={} refilling={} {}", entries.size(),
                 m_host.endpoints.size(), m_host.endpoints.deferred_count(),
                 state == list_state::refilling,
                 to_fields(m_host.endpoints_position, m_host.timers.now()));
}

std::vector<feed_entry> endpoint_feed::apply_added(const std::vector<feed_entry>& entries)
{
    auto applied = apply(entries);
    log_changes(applied.changed);
    return std::move(applied.relevant);
}

void endpoint_feed::handle_configuration()
{
    std::set<std::string> names;
    for (const auto& [name, each] : m_host.deployed->services()) {
        names.insert(name);
    }
    const auto now = m_host.timers.now();
    const auto applied = m_host.endpoints.name_services(std::move(names), now);
    if (applied.empty()) {
        return;
    }
    for (const auto& each : applied) {
        m_host.origins.note_report(each);
    }
    handle_reports(applied);
    spdlog::info("endpoints_named version={} applied={} count={} deferred={}",
                 m_host.deployed->version(), applied.size(), m_host.endpoints.size(),
                 m_host.endpoints.deferred_count());
}

std::optional<endpoint_report> endpoint_feed::read(const feed_entry& entry) const
{
    try {
        return m_host.wire.read_endpoint(entry);
    }
    catch (const std::exception&) {
        telemetry::log_exception("list_entry");
        return std::nullopt;
    }
}

endpoint_feed::update endpoint_feed::apply(const std::vector<feed_entry>& entries)
{
    const auto now = m_host.timers.now();
    update out;
    std::vector<endpoint_report> reports;
    for (const auto& each : entries) {
        if (!each.value) {
            if (m_host.endpoints.remove(each.key, now)) {
                out.changed.push_back(each);
            }
            out.relevant.push_back(each);
            continue;
        }
        const auto report = read(each);
        if (!report) {
            continue;
        }
        if (m_host.endpoints.is_named(report->service)) {
            reports.push_back(*report);
            m_host.origins.note_report(*report);
        }
        const bool changed = m_host.endpoints.apply(*report, now);
        if (changed) {
            out.changed.push_back(each);
        }
        if (changed || m_host.endpoints.find(each.key) == nullptr) {
            out.relevant.push_back(each);
        }
    }
    handle_reports(reports);
    return out;
}

void endpoint_feed::handle_reports(const std::vector<endpoint_report>& reports)
{
    m_host.forget_removed_replicas();
    m_host.origins.handle_changed_list();
    for (const auto& each : reports) {
        m_host.handle_listed_replica(each);
    }
}

void endpoint_feed::log_changes(const std::vector<feed_entry>& changes) const
{
    for (const auto& each : changes) {
        const auto listed = m_host.endpoints.find(each.key);
        spdlog::info("endpoint_changed id={} offered={} version={} record={} {}", each.key,
                     listed != nullptr, listed != nullptr ? listed->report.version : "",
                     each.offset, to_fields(m_host.endpoints_position, m_host.timers.now()));
    }
}

} // namespace cicadaport::serving
