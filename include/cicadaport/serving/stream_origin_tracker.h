// Knows which software version began a stream, also if another host served it, and tells the
// other hosts.
//
// While streams of a service may have begun on several versions, hosts announce the origin of each
// stream by gossip. What must outlast the loss of all hosts lies in a topic of the platform's log
// whose records expire: two hosts append the origins that they know, and at longer intervals the
// versions that are listed. A host that doesn't know the origin of a stream reads that topic.
// A stream whose origin can't be determined is not continued.
//
// When the store has returned from an older copy, the topic is read from its first record again,
// the hosts that append write again what they know, and the records don't count as reaching back as
// far as streams last until they can.
//
// Not thread safe: used only on the event loop of its host.
#pragma once

#include "cicadaport/history/record_digest.h"
#include "cicadaport/history/store_history.h"
#include "cicadaport/http/address.h"
#include "cicadaport/serving/line_budget.h"
#include "cicadaport/serving/stream_origins.h"
#include "cicadaport/transport/timer_queue.h"

#include <functional>
#include <memory>
#include <set>

namespace cicadaport::serving {

class gossip_sender;
struct call_response;
struct host_state;

class stream_origin_tracker {
public:
    // Announced origins are batched for this long.
    static constexpr milliseconds announcement_delay{5};
    // Interval between appends of origins, and of versions if there is nothing else to append.
    static constexpr milliseconds append_interval{100};
    static constexpr std::chrono::seconds versions_interval{5};
    // Number of hosts that append.
    static constexpr std::size_t writer_count = 2;
    // Bounds the size of a record; further streams follow an interval later.
    static constexpr std::size_t max_streams_per_append = 2'000;
    // A view of the list of replicas is current if it is at most this old, or if the other hosts,
    // which would have announced a change, have been heard without an interruption since.
    static constexpr milliseconds max_view_age{1'500};

    // `host` must outlive the tracker.
    explicit stream_origin_tracker(host_state& host);

    // `gossip` is not owned; null while this host sends no gossip.
    void set_gossip(gossip_sender* gossip) noexcept { m_gossip = gossip; }
    void set_store(http::address store) { m_store = std::move(store); }
    void set_longest_request(milliseconds time) { m_origins.set_longest_request(time); }

    // To be called after changes of the list of replicas were applied to the host's table, and
    // before that with each report that was read.
    void note_report(const endpoint_report& report);
    void handle_changed_list();
    // To be called when the list was read as a whole.
    void handle_whole_list();

    // Records that the stream of a request on a route to `services` began on a replica.
    void record_begin(std::span<const service_share> services, const std::string& request_id,
                      const endpoint_report& replica);
    // Applies what another host has announced.
    void apply_announced(const begun_stream& begun);

    // Finds the origin of the stream that began in the answer to the request `begun_as`, which is
    // empty if it isn't known, on a route to `services`. Calls `on_found` exactly once, possibly
    // before it returns, with nothing if the origin can't be determined.
    using found_function = std::function<void(std::optional<origin_id>)>;
    void find(std::span<const service_share> services, const std::string& begun_as,
              found_function on_found);

    // Returns the ids of those replicas of a service on which no resumable stream should begin:
    // the other hosts may not know their version yet, or no second replica of it could continue
    // the stream. Empty if the rest could not carry the load.
    std::set<std::string>
    replicas_that_begin_no_streams(std::span<const endpoint_pointer> replicas) const;

    // To be called about once a second.
    void run_housekeeping();

    std::size_t known_count() const noexcept { return m_origins.size(); }

private:
    struct waiting_search {
        std::vector<service_share> services;
        std::string begun_as;
        found_function on_found;
    };

    void announce();
    bool is_writer() const;
    void schedule_append();
    void append();
    // Returns the origin if the records and the versions that this host knows determine it.
    std::optional<origin_id> find_known(std::span<const service_share> services,
                                        const std::string& begun_as) const;
    bool is_view_current() const;
    // Forgets what rests on offsets and on acknowledged appends.
    void handle_return();
    // Returns whether this host has known the present history of the store for as long as streams
    // last, or whether it is the only one that it has known.
    bool is_history_settled(time_point now) const;
    void begin_read();
    void read_log();
    void handle_page(const std::optional<call_response>& response);
    // Returns whether the read is complete.
    bool apply_page(const call_response& response);
    void record_return(std::string_view evidence);
    void apply_record(std::string_view bytes);
    void end_read(bool is_complete);
    void log_search(const std::string& begun_as, std::optional<origin_id> origin,
                    std::string_view source);

    host_state& m_host;
    gossip_sender* m_gossip = nullptr;
    http::address m_store;
    stream_origins m_origins;
    std::vector<begun_stream> m_unannounced;
    std::vector<begun_stream> m_unwritten;
    std::vector<listed_version> m_written_versions;
    time_point m_versions_written_at{};
    bool m_append_pending = false;
    // Whether all known streams are to be appended again.
    bool m_must_rewrite = false;
    transport::timer_queue::handle m_announcement;
    transport::timer_queue::handle m_append_timer;
    // Searches that wait for the read that is in progress, and those for the next one.
    std::vector<waiting_search> m_waiting;
    std::vector<waiting_search> m_waiting_for_next;
    bool m_is_reading = false;
    // The next record to read, and whether this read has found versions.
    std::uint64_t m_offset = 0;
    bool m_found_versions = false;
    // Digest of the record before `m_offset`, and whether the next page begins with that record.
    history::record_digest m_last_record;
    bool m_is_verifying = false;
    // The store's history when the pending call was made.
    std::uint64_t m_read_generation = 0;
    // When records of another history, or of one that may have lost records, were last read.
    std::optional<time_point> m_incomplete_at;
    history::store_history::subscription m_return_subscription;
    line_budget m_log_budget;
};

} // namespace cicadaport::serving
