// Enforces the rate limits that replicas advertise in their responses: how many requests per
// second a replica accepts from all hosts together. A limit holds as long as responses name it.
//
// Without coordination each host would send a replica the rate that it accepts from the whole
// fleet. The hosts share no counter, so each host takes a share that depends only on the number of
// hosts. If the limit is so low that each of these shares would rarely allow a request, a few
// hosts share the limit and the others send nothing; all hosts select the same few, and different
// ones for each replica. The shares add up to less than the limit, so hosts that do not know each
// other yet exceed it only slightly.
//
// Performs no I/O; times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadaport::serving {

// What a replica's response says about its rate limit.
struct limit_statement {
    // The replica's id, and the incarnation that sent the response.
    std::string endpoint;
    std::int64_t incarnation = 0;
    // Empty if the response names no limit.
    std::optional<double> per_second;
    // When the corresponding request was sent.
    time_point request_sent_at{};
};

// How a statement changes the known limit of its replica.
enum class limit_change { none, begun, changed, ended };
std::string_view to_string(limit_change change);

// A host's rank among the hosts that may send requests to a replica.
struct fleet_place {
    // Number of these hosts, including this one.
    std::size_t hosts = 1;
    // Number of hosts ordered before this one; all hosts compute the same order.
    std::size_t rank = 0;
};

// What this host has sent to a rate-limited replica since the last query.
struct limit_use {
    std::string endpoint;
    double per_second = 0;
    // Time since the last response known to name the limit.
    clock::duration age{0};
    unsigned run_count = 0;
    unsigned prefill_count = 0;
    // Calls that the host makes itself: orders and status checks.
    unsigned call_count = 0;
};

class request_limits {
public:
    // Fraction of the limit that the hosts use together.
    static constexpr double used_fraction = 0.9;
    // Burst that all hosts together may send after an idle time: this many requests, plus what
    // the limit allows in `burst_time`. It also bounds the number of hosts that share a limit.
    static constexpr double base_burst = 2.5;
    static constexpr std::chrono::milliseconds burst_time{500};
    // Rate that all hosts together send at least, however low the limit: only a response can
    // show that the limit has ended.
    static constexpr double min_per_second = 0.25;
    // If no host has announced a limit for this time, the hosts that do not share it probe the
    // replica too, at this fraction of the limit.
    static constexpr std::chrono::seconds probe_delay{10};
    static constexpr double probe_fraction = 0.25;
    // A limit that no host has announced for this time is announced to other hosts again.
    static constexpr std::chrono::seconds announcement_interval{1};
    // The end of a limit is announced again at the same interval, for this long.
    static constexpr std::chrono::seconds end_announcement_period{4};
    // A limit that no response has named for this time expires.
    static constexpr std::chrono::minutes limit_ttl{10};

    // Records what a response says. A response that names no limit ends the limit only if its
    // request was sent after the newest response that names one was known: responses on different
    // connections can arrive out of order.
    limit_change apply(const limit_statement& statement, time_point now);

    // Returns whether the replica's limit, or its end, which a response has just shown, is due to
    // be announced to other hosts again. If so, it counts as announced at `now`.
    bool take_due_announcement(const std::string& endpoint, time_point now);
    // Records that another host has announced the limit or its end.
    void record_announcement(const std::string& endpoint, time_point now);

    // Returns whether this host may send the replica a request.
    bool may_send(const std::string& endpoint, const fleet_place& place, time_point now);

    // Returns when this host may send the replica its next request, if it sends none before;
    // empty if only other hosts share the limit.
    std::optional<time_point> next_send_time(const std::string& endpoint, const fleet_place& place,
                                             time_point now);

    // Counts a request sent to the replica, or a prefill that it does for another replica.
    void count_sent(const std::string& endpoint, bool is_prefill_only);
    // Counts a call that the host makes itself: an order or a status check.
    void count_call(const std::string& endpoint);

    // Returns the replicas whose limit is in force.
    std::vector<std::string> limited_endpoints() const;

    void forget_old(time_point now);

    // Forgets the limits that earlier incarnations of the replica have named.
    void forget_older_incarnations(const std::string& endpoint, std::int64_t incarnation);

    // Returns what was sent to rate-limited replicas since the last call; a replica to which
    // nothing was sent is left out.
    std::vector<limit_use> take_uses(time_point now);

private:
    struct record {
        std::int64_t incarnation = 0;
        double per_second = 0;
        time_point named_at{};
        time_point announced_at{};
        // When the limit ended; empty while it is in force.
        std::optional<time_point> ended_at;
        // Tokens of the token bucket, one per request, as of `permits_at`.
        double permits = 0;
        time_point permits_at{};
        unsigned run_count = 0;
        unsigned prefill_count = 0;
        unsigned call_count = 0;
    };

    // This host's share of a limit.
    struct share {
        double per_second = 0;
        double burst = 1;
    };

    // Returns the limit of a replica that is in force; null if there is none.
    record* find(const std::string& endpoint);
    static share share_of(const record& limit, const fleet_place& place, time_point now);
    // Adds the tokens that have accrued since the last call. Returns this host's share.
    static share refill(record& limit, const fleet_place& place, time_point now);

    std::unordered_map<std::string, record> m_records;
};

} // namespace cicadaport::serving
