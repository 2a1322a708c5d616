// The replicas that a host knows, as the platform lists them.
//
// Performs no I/O; reports and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"
#include "cicadaport/http/address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace cicadaport::serving {

using clock = base::boot_clock;
using time_point = clock::time_point;

// The stage of a request that an engine performs.
enum class engine_stage { none, prefill, decode };

// A replica's latest report about itself.
struct endpoint_report {
    std::string id;
    std::string service;
    http::address address;
    std::string availability_zone;
    // The version of the replica's software, not that of its weights.
    std::string version;
    std::uint32_t slots = 1;
    bool leaving = false;
    engine_stage stage = engine_stage::none;
    // The platform may reclaim the replica at short notice, together with the others of its kind
    // and availability zone.
    bool is_reclaimable = false;
    // Start of this incarnation in Unix milliseconds, and the sequence number of the report within
    // the incarnation.
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;

    // Returns whether the other report is equal except for its sequence number.
    bool equals_ignoring_sequence(const endpoint_report& other) const
    {
        const auto parts = [](const endpoint_report& of) {
            return std::tie(of.id, of.service, of.address, of.availability_zone, of.version,
                            of.slots, of.leaving, of.stage, of.is_reclaimable, of.incarnation);
        };
        return parts(*this) == parts(other);
    }
};

// One replica that accepts work. Ownership is shared, so that requests in progress can keep it
// after its removal from the table.
struct endpoint {
    explicit endpoint(endpoint_report first) : report{std::move(first)} {}

    endpoint_report report;
    // True once the table no longer lists the replica.
    bool gone = false;
};

using endpoint_pointer = std::shared_ptr<endpoint>;

class endpoint_table {
public:
    // Incarnation and sequence number of a removed replica are kept for this long, so that an old
    // report does not add it again.
    static constexpr std::chrono::seconds removed_endpoint_ttl{120};

    // Maximum number of reports that are deferred. A replica reports again within seconds.
    static constexpr std::size_t max_deferred_count = 4'096;

    // Sets the services that the configuration names; until then all services count as named.
    // A report of another service may come from anybody who writes to the list. It is deferred: it
    // changes nothing that is known of the replica until its service is named. Applies the deferred
    // reports of services that are named now, and returns them.
    std::vector<endpoint_report> name_services(std::set<std::string> names, time_point now);

    // Returns whether a report of the service is applied, not deferred.
    bool is_named(const std::string& service) const
    {
        return !m_services || m_services->contains(service);
    }

    // Applies a report. A report older than the known one changes nothing, since reports of one
    // incarnation may arrive out of order. After a removal only a newer report adds the replica.
    // Returns whether the report contains a change, as opposed to showing only that the replica
    // still reports.
    bool apply(const endpoint_report& report, time_point now);

    // Removes a replica that the platform no longer lists.
    // Returns whether the replica was in the table.
    bool remove(const std::string& id, time_point now);

    // Removes a replica whose incarnation has told this host that it is shutting down. This takes
    // precedence over later reports of that incarnation, because the platform's list may lag
    // behind. Returns whether the replica was in the table.
    bool note_leaving(const std::string& id, std::int64_t incarnation, time_point now);

    // Removes all replicas that are not in `ids`, the complete list of replicas.
    void keep_only(const std::vector<std::string>& ids, time_point now);

    // Returns the replicas of a service that accept work.
    const std::vector<endpoint_pointer>& serving(const std::string& service) const;

    // Returns the replicas that accept work, by service.
    const std::map<std::string, std::vector<endpoint_pointer>>& by_service() const noexcept
    {
        return m_by_service;
    }

    // Returns the replica if it accepts work, else null.
    endpoint_pointer find(const std::string& id) const;

    // Returns the replicas that were removed since the last call.
    std::vector<endpoint_pointer> take_dropped() { return std::exchange(m_dropped, {}); }

    std::size_t size() const noexcept { return m_current.size(); }
    std::size_t deferred_count() const noexcept { return m_deferred.size(); }

private:
    struct last_known {
        std::int64_t incarnation = 0;
        std::int64_t sequence = 0;
        // The incarnation has reported that it is shutting down.
        bool left = false;
        // The replica was listed, and then removed from the list.
        bool removed = false;
        time_point at{};
    };

    // Returns whether the replica was in the table.
    bool drop(const std::string& id);
    void forget_old(time_point now);

    std::map<std::string, endpoint_pointer> m_current;
    std::map<std::string, std::vector<endpoint_pointer>> m_by_service;
    std::map<std::string, last_known> m_known;
    std::optional<std::set<std::string>> m_services;
    // By id.
    std::map<std::string, endpoint_report> m_deferred;
    std::vector<endpoint_pointer> m_dropped;
};

} // namespace cicadaport::serving
