// Which replicas may continue an interrupted stream.
//
// What two software versions generate does not fit together, and replicas do not check who began
// a stream. A stream may therefore continue only on the version that began it: its origin.
//
// The origin of a stream is known if this host or another one has recorded it, or if only one
// version can have begun it. The second needs the history of the versions: a version that has left
// the list may have begun streams that callers still want to continue.
//
// Performs no I/O; times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/deployment.h"
#include "cicadaport/serving/endpoint_table.h"

#include <deque>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>

namespace cicadaport::serving {

// Identifies a software version of one service; the same on all hosts.
using origin_id = std::uint64_t;
// Identifies a service, and a stream by the id of the request in whose answer it began; the same
// on all hosts.
using service_number = std::uint64_t;
using stream_number = std::uint64_t;

// Returns the origin of the streams that a replica begins.
origin_id origin_of(const endpoint_report& replica);
service_number number_of_service(std::string_view service);
stream_number number_of_stream(std::string_view request_id);

struct begun_stream {
    stream_number stream = 0;
    origin_id origin = 0;
};

// A version that a service's replicas had when a host last looked.
struct listed_version {
    service_number service = 0;
    origin_id origin = 0;
};

class stream_origins {
public:
    // Streams, and versions that are no longer listed, are forgotten after this time, at least:
    // callers give up streams earlier.
    static constexpr std::chrono::seconds min_retention{15};
    // A view of the list may be this much older than the streams to which it is applied.
    static constexpr std::chrono::seconds max_view_age{5};
    static constexpr std::size_t max_streams = 50'000;
    // A version begins streams only when it has been listed for this long, so that all hosts know
    // of it by then.
    static constexpr std::chrono::milliseconds settling_time{2'000};

    // A version begins resumable streams only with at least this many replicas that generate
    // responses, so that they can continue when one of these ends.
    static constexpr std::size_t min_replicas_to_begin = 2;

    // Keeps streams for at least as long as a request on one of the routes may take.
    void set_longest_request(milliseconds time);

    // Records a report, also of a replica that accepts no work.
    void note_report(const endpoint_report& report, time_point now);
    // Records the versions that the table lists now.
    void update(const endpoint_table& endpoints, time_point now);
    // Records a version that another host has listed within the retention.
    void note_version(const listed_version& version, time_point now);
    // The list was read as a whole: changes before `now` may have been missed.
    void restart_history(time_point now) noexcept { m_history_start = now; }
    // All versions that were listed within the retention are known now.
    void confirm_history(time_point now) noexcept { m_history_start = now - m_retention; }
    bool has_whole_history(time_point now) const noexcept
    {
        return m_history_start && now - *m_history_start >= m_retention;
    }

    // Returns the only version, of those known, on which streams of these services can have begun;
    // nothing if there are several or none.
    std::optional<origin_id> only_origin(std::span<const service_share> services,
                                         time_point now) const;
    // Returns the versions that were listed within the retention.
    std::vector<listed_version> versions(time_point now) const;
    // Returns the ids of those replicas of a service on which no resumable stream should begin:
    // their version was listed too recently, or no second replica of it could continue the stream.
    // If the rest were less than half of the replicas that generate responses, only recent versions
    // begin none, and if all versions are recent, all begin streams.
    std::set<std::string> unfit_to_begin(std::span<const endpoint_pointer> replicas,
                                         time_point now) const;

    // Returns whether the stream was not known yet.
    bool record(const begun_stream& begun, time_point now);
    std::optional<origin_id> find(stream_number stream) const;
    std::size_t size() const noexcept { return m_streams.size(); }
    // Returns the recorded streams, oldest first.
    std::vector<begun_stream> streams() const;
    std::chrono::milliseconds retention() const noexcept { return m_retention; }

    void forget_old(time_point now);

private:
    struct listing {
        origin_id origin = 0;
        time_point first{};
        // Empty while the version is listed.
        std::optional<time_point> removed;
    };

    listing& listing_of(const listed_version& version, time_point now);
    bool is_recent(const listing& of, time_point now) const noexcept
    {
        return !of.removed || now - *of.removed <= m_retention;
    }

    std::chrono::milliseconds m_retention{min_retention};
    std::optional<time_point> m_history_start;
    std::unordered_map<service_number, std::vector<listing>> m_versions;
    std::unordered_map<stream_number, origin_id> m_streams;
    // The recorded streams, oldest first.
    std::deque<std::pair<time_point, stream_number>> m_order;
};

} // namespace cicadaport::serving
