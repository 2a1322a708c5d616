// Applies the entries of the platform's list of replicas to what a host knows of them.
//
// An entry that can't be used changes nothing that is known of its replica: it may come from
// anybody who writes to the list.
#pragma once

#include "cicadaport/serving/feed_follower.h"

namespace cicadaport::serving {

class endpoint_feed {
public:
    // `host` must outlive this object.
    explicit endpoint_feed(host_state& host);

    // Applies the whole list. Replicas that a complete list lacks are removed.
    void apply_list(const std::vector<feed_entry>& entries, list_state state);

    // Applies entries that were appended. Returns those that may change another host's view: all
    // but heartbeats of replicas that are offered. Another host may lack records that this host
    // has.
    std::vector<feed_entry> apply_added(const std::vector<feed_entry>& entries);

    // Applies what is known of replicas of services that the configuration has begun to name. To be
    // called when a configuration has come into force.
    void handle_configuration();

private:
    struct update {
        // Entries that changed this host's view.
        std::vector<feed_entry> changed;
        std::vector<feed_entry> relevant;
    };

    update apply(const std::vector<feed_entry>& entries);
    // Parses an entry. Returns nothing if it can't be used.
    std::optional<endpoint_report> read(const feed_entry& entry) const;
    void handle_reports(const std::vector<endpoint_report>& reports);
    void log_changes(const std::vector<feed_entry>& changes) const;

    host_state& m_host;
};

} // namespace cicadaport::serving
