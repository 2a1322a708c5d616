// The limits that replicas in need name in their answers: how many requests a
// second one takes from all hosts together, for as long as its answers say so.
//
// The load that this answers: hosts that each send a replica what it takes from
// all of them. They have no common count, so each takes a part that follows from
// the number of hosts alone. Where the limit is so low that the parts would be
// seldom and many, a few hosts share it and the others send nothing; all draw the
// same few, different ones for each replica. The parts add up to less than the
// limit, so that hosts which do not know each other yet break it by little.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadaport::serving {

// What an answer of a replica says of its limit.
struct limit_statement {
    // The replica's id, and which start of it answered.
    std::string endpoint;
    std::int64_t incarnation = 0;
    // Nothing if the answer names no limit.
    std::optional<double> per_second;
    // When the request was sent that it answers.
    time_point asked{};
};

// What a statement changes for the replica that makes it.
enum class limit_change { none, begun, changed, ended };
std::string_view to_string(limit_change change);

// A host's place among those that may send requests to a replica.
struct fleet_place {
    // How many they are, this one included.
    std::size_t hosts = 1;
    // How many come before this one, in an order on which all hosts agree.
    std::size_t rank = 0;
};

// What this host has sent to a replica since it was last asked.
struct limit_use {
    std::string endpoint;
    double per_second = 0;
    // Since when no answer that names the limit is known.
    clock::duration age{0};
    unsigned runs = 0;
    unsigned prompt_readings = 0;
    // Calls of this host's own.
    unsigned calls = 0;
};

class request_limits {
public:
    // The part of a limit that hosts use.
    static constexpr double used_part = 0.9;
    // What the hosts may send at once after they have sent nothing: so many requests,
    // and what the limit allows in this time. It bounds how many hosts share a limit.
    static constexpr double shared_burst = 2.5;
    static constexpr std::chrono::milliseconds burst_time{500};
    // All hosts together send a replica at least so much, however low its limit:
    // nothing else tells them that its need has ended.
    static constexpr double least_per_second = 0.25;
    // If nobody has told of a limit for so long, the hosts that do not share it try
    // the replica too, at this part of the limit.
    static constexpr std::chrono::seconds silence{10};
    static constexpr double trial_part = 0.25;
    // A limit of which nothing is heard is told to other hosts again after this time.
    static constexpr std::chrono::seconds telling_interval{1};
    // So is the end of a limit, for this long.
    static constexpr std::chrono::seconds end_told_for{4};
    // One that nobody has named for so long is forgotten.
    static constexpr std::chrono::minutes remembered{10};

    // Notes what an answer says. One that names no limit ends it only if its request
    // was sent after the newest answer that names one was known: answers on different
    // connections overtake each other.
    limit_change note(const limit_statement& said, time_point now);

    // Returns whether other hosts are to be told again of the replica's limit or of its
    // end, which an answer has just shown, and counts it as told.
    bool take_telling(const std::string& endpoint, time_point now);
    // Another host has told of it.
    void note_told(const std::string& endpoint, time_point now);

    // Returns whether this host may send the replica a request.
    bool may_send(const std::string& endpoint, const fleet_place& place, time_point now);

    // Returns when it may, if nothing is sent before; nothing if other hosts share the
    // limit.
    std::optional<time_point> next_sending(const std::string& endpoint, const fleet_place& place,
                                           time_point now);

    // A request, or the reading of a prompt for another replica, goes to the replica.
    void count_sent(const std::string& endpoint, bool only_reads_prompt);
    // So does a call of this host's own: an order, or a question how it is.
    void count_call(const std::string& endpoint);

    // Returns the replicas that name a limit.
    std::vector<std::string> limited() const;

    void forget_old(time_point now);

    // Forgets what starts of the replica before this one have said.
    void forget_before(const std::string& endpoint, std::int64_t incarnation);

    // Returns what was sent to each replica with a limit that was sent anything since
    // the last call.
    std::vector<limit_use> take_uses(time_point now);

private:
    struct record {
        std::int64_t incarnation = 0;
        double per_second = 0;
        time_point named_at{};
        time_point told_at{};
        // When it ended, if it has.
        std::optional<time_point> ended_at;
        // Requests that this host may send, as of a time.
        double permits = 0;
        time_point permits_at{};
        unsigned runs = 0;
        unsigned prompt_readings = 0;
        unsigned calls = 0;
    };

    // This host's part of a limit.
    struct share {
        double per_second = 0;
        double burst = 1;
    };

    // Returns the limit of a replica; null if there is none.
    record* find(const std::string& endpoint);
    static share share_of(const record& limit, const fleet_place& place, time_point now);
    // Adds the permits that have come since the last call. Returns this host's share.
    static share refill(record& limit, const fleet_place& place, time_point now);

    std::unordered_map<std::string, record> m_records;
};

} // namespace cicadaport::serving
