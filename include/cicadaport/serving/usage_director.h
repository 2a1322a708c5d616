// Announces this host's counts of runs to the hosts that may report them, and reports the usage of
// all hosts to the platform while this host is the one to do so.
//
// Correctness does not depend on which host that is: each report is recorded in the store before
// it is made, and a report never replaces the record of the same or of a later window.
//
// Runs on the event loop.
#pragma once

#include "cicadaport/duties/usage_plan.h"
#include "cicadaport/serving/duty_client.h"
#include "cicadaport/serving/duty_news.h"
#include "cicadaport/serving/peer_gossip.h"

namespace cicadaport::serving {

class usage_director {
public:
    static constexpr milliseconds tick_interval{200};
    // Counts of the present window are announced every this many ticks, those of ended windows
    // more often, since their report is near.
    static constexpr unsigned open_window_ticks = 5;
    static constexpr unsigned ended_window_ticks = 2;
    static constexpr milliseconds clock_interval{1'000};
    static constexpr milliseconds retry_interval{500};

    usage_director(host_state& host, peer_gossip& gossip, duty_client& client,
                   const duty_settings& settings);

    // Starts counting, announcing and reporting.
    void start();
    // Announces all counts once more, before the process ends.
    void announce_last();
    void log_counts() const;

private:
    struct report_in_progress {
        std::uint64_t window = 0;
        std::uint64_t accounts = 0;
        std::uint64_t runs = 0;
        std::size_t hosts = 0;
        bool is_repeat = false;
    };

    void tick();
    void update_clock(time_point now);
    void announce(const std::vector<duty_recipient>& to, bool open, bool ended);
    void act(const duty_order& order, time_point now);
    void drop_late(std::uint64_t first_open, std::size_t rank);
    void report(std::uint64_t window, time_point give_up_at);
    void repeat(std::uint64_t window, time_point give_up_at);
    void handle_outcome(const duty_outcome& outcome, const report_in_progress& of);
    // `record` is the offset of the record of its report; empty if it is no offset of the present
    // history.
    void finish_window(std::uint64_t window, std::optional<std::uint64_t> record);
    // Drops what is an offset of an ended history of the store. Windows that are known as reported
    // stay known.
    void handle_return();
    void apply_reported(const reported_usage& reported);
    // Returns what is known of the newest record; the rest is empty.
    duties::usage_view view_of_record(const std::optional<duties::duty_record>& newest) const;
    void handle_failure(time_point now);
    void handle_news(host_number sender, const peer_address& from, const duty_news& news);
    duty_news make_greeting_news() const;

    host_state& m_host;
    peer_gossip& m_gossip;
    duty_client& m_client;
    milliseconds m_lease_time;
    bool m_reports;
    duties::usage_plan m_plan;
    transport::timer_queue::handle m_timer;
    unsigned m_ticks = 0;
    time_point m_clock_updated{};
    // The window in which this host started.
    std::uint64_t m_first_window = 0;
    std::optional<std::uint64_t> m_last_done;
    // Records up to this offset, exclusively, need not be repeated.
    std::uint64_t m_delivered_end = 0;
    // The record whose report this process has sent without an answer.
    std::optional<std::uint64_t> m_unanswered_record;
    // The last report that the platform is known to have accepted.
    std::optional<reported_usage> m_reported;
    // The last window whose report was known when the store returned: announcements of records up
    // to this one may be offsets of an ended history.
    std::optional<std::uint64_t> m_last_before_return;
    history::store_history::subscription m_return_subscription;
    std::optional<report_in_progress> m_in_progress;
    time_point m_paused_until{};
    // Since when the platform accepts no report.
    std::optional<time_point> m_failing_since;
    std::uint64_t m_windows_reported = 0;
    std::uint64_t m_windows_dropped = 0;
    std::uint64_t m_runs_reported = 0;
};

} // namespace cicadaport::serving
