// Follows one of the platform's lists: reads the newest record of each key first, then
// the records that are appended.
//
// Hundreds of hosts need the same lists several times a second, and the store may reject
// the calls of some hosts. A host therefore reads only when the interval and a random delay
// have passed since the list was last read, by itself or by another host that announced
// the records by gossip. The first host to read thus reads for all hosts. A host that
// receives no gossip reads the list itself, so its view is never older than if every host
// read.
//
// The list is a topic of the platform's log. When records that were not read yet have
// expired, the follower reads the whole list again. A failed call is retried with growing
// backoff; what was read before stays in force meanwhile.
//
// A call fails when its response stalls, not when it is long: a host that is far behind may need
// longer for the records than for any other response. Of a large backlog of configurations only
// the newest one is read.
//
// Not thread safe: used only on the event loop of its host.
#pragma once

#include "cicadaport/serving/feed_times.h"
#include "cicadaport/serving/host_state.h"
#include "cicadaport/transport/stall_timer.h"

#include <functional>

namespace cicadaport::serving {

class feed_follower final : public transport::answer_observer {
public:
    // Called when entries of the list have been read.
    struct callbacks {
        // Receives the whole list: at the start, and after unread records have expired.
        std::function<void(const std::vector<feed_entry>&)> on_full_list;
        // Receives appended entries. Returns those that may be new to another host, whether or
        // not this host knew them before.
        std::function<std::vector<feed_entry>(const std::vector<feed_entry>&)> on_added;
    };

    feed_follower(host_state& host, http::address store, feed which, feed_times times,
                  callbacks actions);
    ~feed_follower() override;

    void start() { send_request(); }

    // Applies records that another host has read.
    void apply(const shared_page& page);

    // Returns whether the whole list has been read at least once.
    bool has_read() const noexcept { return m_has_read; }

private:
    bool owns(const transport::message_head&) override { return true; }
    void on_head(transport::message_head head) override;
    void on_body(std::string_view piece) override;
    void on_complete() override;
    void on_failure(transport::exchange_failure failure) override;

    void send_request();
    // Returns whether the response that is being received is a large backlog of which only the
    // newest record matters.
    bool is_superseded_backlog() const;
    // Ends the call and reads the newest record of each key instead.
    void skip_backlog();
    // Reads the newest record of each key, after `pause`.
    void start_full_read(milliseconds pause);
    void schedule_read_after(milliseconds pause);
    // Schedules a read for when no host has read for the interval plus a random delay.
    void schedule_next_read();
    // Returns a random delay of up to `most`. It grows with the number of hosts, so that few
    // of them read at the same time.
    milliseconds random_delay(milliseconds most) const;
    void apply_newest();
    void apply_records();
    // Announces records to the other hosts, but none that may hold keys of callers.
    void announce(shared_page page) const;
    // Returns the entries that this host has not seen yet.
    std::vector<feed_entry> unseen_entries(std::vector<feed_entry> entries) const;
    // Records that the view shows the list as of `at`, unless it is already newer.
    void update_known_at(time_point at, list_reader by);
    // Record the outcome of a call to the store.
    void succeeded();
    void failed(std::string_view reason);

    host_state& m_host;
    http::address m_store;
    feed m_feed;
    feed_times m_times;
    callbacks m_actions;
    std::shared_ptr<transport::exchange_connection> m_connection;
    transport::stall_timer m_response_timer;
    transport::timer_queue::handle m_read_timer;
    // How far the list has been read; shared with the rest of the host.
    list_position& m_position;
    time_point m_requested_at{};
    // The offset of the first requested record.
    std::uint64_t m_requested_offset = 0;
    // Since when records that another host has read have been missing here.
    std::optional<time_point> m_gap_since;
    unsigned m_status = 0;
    // The size of the response's body; empty if its head does not state it.
    std::optional<std::uint64_t> m_body_size;
    std::string m_body;
    // Whether the newest record of each key is being read, not the appended records.
    bool m_reading_full_list = true;
    std::vector<feed_entry> m_full_list;
    std::optional<std::uint64_t> m_first_appended_offset;
    bool m_has_read = false;
};

} // namespace cicadaport::serving
