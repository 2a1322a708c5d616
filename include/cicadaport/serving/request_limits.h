// The limits that replicas in need name in their answers: how many requests a
// second one takes from all hosts together, for as long as its answers say so.
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

// What this host has sent to a replica since it was last asked.
struct limit_use {
    std::string endpoint;
    double per_second = 0;
    // Since when no answer that names the limit is known.
    clock::duration age{0};
    unsigned runs = 0;
    unsigned prompt_readings = 0;
};

class request_limits {
public:
    // Notes what an answer says. One that names no limit ends it only if its request
    // was sent after the newest answer that names one was known: answers on different
    // connections overtake each other.
    limit_change note(const limit_statement& said, time_point now);

    // A request, or the reading of a prompt for another replica, goes to the replica.
    void count_sent(const std::string& endpoint, bool only_reads_prompt);

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
        unsigned runs = 0;
        unsigned prompt_readings = 0;
    };

    std::unordered_map<std::string, record> m_records;
};

} // namespace cicadaport::serving
