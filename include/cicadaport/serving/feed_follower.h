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
// The store may return from an older copy of its data and give offsets out again. A follower then
// reads the whole list anew. It learns of a return from the epoch in the store's answers, or from a
// list that does not continue what it has read: after an interruption of its contact with the
// store, and when another host announces something else, it reads its last record once more.
// What was read before stays in force meanwhile. The list of endpoints is read once more when they
// have had the time to write again what the store has lost.
//
// A call fails when its response stalls, not when it is long: a host that is far behind may need
// longer for the records than for any other response. Of a large backlog of configurations only
// the newest one is read.
//
// Not thread safe: used only on the event loop of its host.
#pragma once

#include "cicadaport/history/announced_page.h"
#include "cicadaport/serving/feed_times.h"
#include "cicadaport/serving/host_state.h"
#include "cicadaport/transport/stall_timer.h"

#include <functional>

namespace cicadaport::serving {

// What a list that was read as a whole tells.
enum class list_state {
    complete,
    // The store has just returned from an older copy. Entries that were written after the copy was
    // made may be missing until their writers write them again.
    refilling,
    // The list is complete again, and no record was missed since it was `refilling`.
    refilled,
};

class feed_follower final : public transport::answer_observer {
public:
    // Called when entries of the list have been read.
    struct callbacks {
        // Receives the whole list: at the start, after unread records have expired, and after a
        // return of the store; then the list of endpoints a second time.
        std::function<void(const std::vector<feed_entry>&, list_state)> on_full_list;
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
    void connect();
    // Returns whether the known part of the list can belong to another history without a statement
    // of the store.
    bool can_be_verified() const noexcept;
    // Returns whether the store may have returned unnoticed since records were last requested.
    bool is_in_doubt() const noexcept;
    // Returns whether the known part of the list must be verified before it is read on.
    bool needs_verification() const noexcept;
    // Decides how the next call verifies the known part, if at all.
    void prepare_verification();
    // Returns false if the store has returned since the call was made, and reads the list anew.
    bool is_answer_current();
    // Called when the store has returned, also if this follower has noticed it.
    void handle_return();
    // Ends the call in progress, if there is one, without an answer.
    void abandon_call();
    // Returns why the answer does not continue the known part of the list; empty if it does.
    std::string_view find_discontinuity(const feed_page& page) const;
    // Has the known part of the list verified soon.
    void verify_soon();
    // Applies the entries of a page by their own versions and moves no position.
    void apply_beside_full_read(const shared_page& page);
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
    void finish_full_list();
    // Returns whether the full list does not continue what was known in its generation.
    bool has_unannounced_return() const;
    // Reads the whole list once more after its writers had time to write again.
    void read_refilled_list();
    void apply_records();
    void read_on(bool reaches_end, bool has_progressed);
    // Returns the part of the list that this host knows.
    history::known_part known_part() const noexcept;
    // Returns whether a page of another host belongs to the history that this host knows. If not,
    // logs it, and has the list read from the store if the page may be the newer one.
    bool is_same_history(const shared_page& page);
    // Announces records to the other hosts, but none that may hold keys of callers.
    void announce(shared_page page) const;
    // Returns the entries of a page that may be new to this host. If nothing proves that earlier
    // ones are those that it knows, it is all that their own versions can place.
    std::vector<feed_entry> entries_to_apply(const shared_page& page) const;
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
    // The offset of the first requested record, and the position when it was requested.
    std::uint64_t m_requested_offset = 0;
    std::uint64_t m_offset_at_request = 0;
    history::record_digest m_last_record_at_request;
    history::epoch_statement m_epoch;
    // Whether records were missed since the known part of the list was verified.
    bool m_in_doubt = false;
    // Number of failed calls for any list when records were last requested.
    std::uint64_t m_failed_list_calls = 0;
    // Whether another host has announced something else than what is known.
    bool m_is_contradicted = false;
    // Whether the call in progress reads the last known record once more; or is followed by a full
    // read, since that record is not known.
    bool m_is_verifying = false;
    bool m_needs_full_list = false;
    // Whether the last known record could not be read since it has expired.
    bool m_has_expired_records = false;
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
    // Number of the returns that were known when the full list was begun.
    std::uint64_t m_full_list_generation = 0;
    transport::timer_queue::handle m_refill_timer;
    bool m_is_reading_refilled = false;
    line_budget m_page_log_budget;
    history::store_history::subscription m_return_subscription;
    bool m_has_read = false;
};

} // namespace cicadaport::serving
