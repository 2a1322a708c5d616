// The replicas that a host knows, as the platform lists them.
//
// Pure: reports and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"
#include "cicadaport/http/address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace cicadaport::serving {

using clock = base::boot_clock;
using time_point = clock::time_point;

// The part of a request that an engine does.
enum class engine_stage { none, prefill, decode };

// What a replica last said of itself.
struct endpoint_report {
    std::string id;
    std::string service;
    http::address address;
    std::string availability_zone;
    std::uint32_t slots = 1;
    bool leaving = false;
    engine_stage stage = engine_stage::none;
    // When this incarnation started, in Unix milliseconds, and the number of
    // this report in it.
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;

    // Returns whether the other report says the same, at another time.
    bool says_the_same(const endpoint_report& other) const
    {
        const auto parts = [](const endpoint_report& of) {
            return std::tie(of.id, of.service, of.address, of.availability_zone, of.slots,
                            of.leaving, of.stage, of.incarnation);
        };
        return parts(*this) == parts(other);
    }
};

// One replica that may be given work. Shared, so that requests under way can
// keep it after it has gone.
struct endpoint {
    explicit endpoint(endpoint_report first) : report{std::move(first)} {}

    endpoint_report report;
    // Whether the table no longer offers it.
    bool gone = false;
};

using endpoint_pointer = std::shared_ptr<endpoint>;

class endpoint_table {
public:
    // Forgets nothing of a replica that left for this long, so that an old
    // report does not bring it back.
    static constexpr std::chrono::seconds remembered{120};

    // Takes a report. One that is older than what is known changes nothing:
    // reports of one incarnation may arrive out of order. Returns whether it tells
    // more than that the replica still reports.
    bool apply(const endpoint_report& report, time_point now);

    // The platform no longer lists the replica, or what it lists names none.
    // Returns whether it was offered.
    bool remove(const std::string& id, time_point now);

    // An incarnation has said to this host that it leaves, which binds whatever the
    // platform still lists of it. Returns whether it was offered.
    bool note_leaving(const std::string& id, std::int64_t incarnation, time_point now);

    // Removes all replicas that are not in `ids`, a complete list.
    void keep_only(const std::vector<std::string>& ids, time_point now);

    // Returns the replicas of a service that take work.
    const std::vector<endpoint_pointer>& serving(const std::string& service) const;

    // Returns the replica if it takes work, else null.
    endpoint_pointer find(const std::string& id) const;

    // Returns the replicas that are no longer offered since the last call.
    std::vector<endpoint_pointer> take_dropped() { return std::exchange(m_dropped, {}); }

    std::size_t size() const noexcept { return m_current.size(); }

private:
    struct last_known {
        std::int64_t incarnation = 0;
        std::int64_t sequence = 0;
        // The incarnation has said that it leaves.
        bool left = false;
        time_point at{};
    };

    // Returns whether it was offered.
    bool drop(const std::string& id);
    void forget_old(time_point now);

    std::map<std::string, endpoint_pointer> m_current;
    std::map<std::string, std::vector<endpoint_pointer>> m_by_service;
    std::map<std::string, last_known> m_known;
    std::vector<endpoint_pointer> m_dropped;
};

} // namespace cicadaport::serving
