// Observes replicas that end while they run requests, exchanges these observations with the other
// hosts, and tells which requests must not be sent to a replica.
//
// A request is suspected as a whole, by its digest, and a prompt also for the segments that it
// shares with others. An interrupted answer alone proves nothing, since connections end for many
// reasons. The monitor probes the replica: one that accepts connections has not ended.
//
// Not thread safe: used only on the event loop of its host.
#pragma once

#include "cicadaport/serving/endpoint_table.h"
#include "cicadaport/serving/line_budget.h"
#include "cicadaport/serving/prompt_quarantine.h"
#include "cicadaport/transport/timer_queue.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <random>
#include <set>
#include <string>

namespace cicadaport::serving {

class gossip_sender;

// A request that an engine has not begun to answer yet.
class pending_prompt {
public:
    virtual ~pending_prompt() = default;
    // The prompt's segments that others may share, and the digest of the whole request.
    virtual std::span<const segment_id> suspects() = 0;
    // One of these is in quarantine now, so the request must be cancelled.
    virtual void cancel(const segment_verdict& verdict) = 0;
};

class crash_monitor {
public:
    // Other hosts contradict a suspicion after a random delay of up to this time, so that seldom
    // more than one of them does.
    static constexpr std::chrono::milliseconds max_contradiction_delay{50};

    // All arguments must outlive the monitor.
    crash_monitor(boost::asio::io_context& context, transport::timer_queue& timers,
                  std::mt19937_64& random)
        : m_context{context}, m_timers{timers}, m_random{random}
    {
    }

    // `gossip` is not owned; null while this host sends no gossip.
    void set_gossip(gossip_sender* gossip) noexcept { m_gossip = gossip; }

    // Called when the connection to a replica ended while it was running the request `id`.
    // `segments` are what it may have crashed on: the prompt's segments that others may share, and
    // the digest of the request. Empty if the answer had got past its beginning, so that the
    // request can't have ended the replica.
    void handle_interrupted_answer(const endpoint& engine, std::span<const segment_id> segments,
                                   const std::string& id);
    // Called when an engine has answered the request `id` with these segments.
    void handle_answer(std::span<const segment_id> segments, const std::string& id);

    // Returns whether there is evidence against anything, and whether there is against this.
    bool has_suspects() const noexcept { return m_quarantine.suspect_count() > 0; }
    bool is_suspect(segment_id segment) const { return m_quarantine.is_suspect(segment); }

    // Apply what another host has announced.
    void apply_announced_crash(const engine_crash& crash);
    void apply_announced_survival(const segment_survival& survival);
    void apply_announced_trial(segment_id segment);

    // Returns why the request `id` with these segments must not be sent to a replica; empty if it
    // may be sent.
    std::optional<prompt_quarantine::rejection> check(std::span<const segment_id> segments,
                                                      const std::string& id);
    // While a request is registered, it is cancelled when one of its segments is quarantined.
    void add_pending(pending_prompt& prompt) { m_pending.insert(&prompt); }
    void remove_pending(pending_prompt& prompt) { m_pending.erase(&prompt); }

    // Returns the largest evidence against one of the segments.
    double max_evidence(std::span<const segment_id> segments) const
    {
        return m_quarantine.max_evidence(segments);
    }
    // Returns whether a request with these segments may be sent on to another replica after its
    // replica has ended: not if other replicas have ended before in the same way.
    bool may_retry_after_crash(std::span<const segment_id> segments) const;

    // Returns the crashes that a host which has just started should know.
    std::vector<engine_crash> known_crashes() const { return m_quarantine.all_crashes(); }
    std::size_t quarantined_count() const { return m_quarantine.quarantined_count(m_timers.now()); }
    std::size_t suspect_count() const noexcept { return m_quarantine.suspect_count(); }

    // To be called about once a second: repeats announcements and drops what has expired.
    void run_housekeeping();

private:
    // Requests whose answers were interrupted, while their engine is being probed.
    struct pending_probe {
        engine_crash crash;
        std::string request;
        unsigned answers = 0;
    };

    void handle_probe(const std::string& engine, bool accepts_connections);
    // Who saw a crash.
    enum class crash_source { own_request, other_host };
    // `request` is the id of the interrupted request, if the caller gave it one.
    void record_crash(const engine_crash& crash, crash_source source, const std::string& request);
    void cancel_pending();
    void schedule_contradiction(const segment_survival& survival);
    void contradict();
    void log_rejection(const std::string& id, const segment_verdict& verdict);
    void log_cleared(const std::vector<segment_verdict>& cleared, std::string_view source,
                     const std::string& request);

    boost::asio::io_context& m_context;
    transport::timer_queue& m_timers;
    std::mt19937_64& m_random;
    gossip_sender* m_gossip = nullptr;
    prompt_quarantine m_quarantine;
    // By the engine's id.
    std::map<std::string, pending_probe> m_probes;
    std::set<pending_prompt*> m_pending;
    std::map<segment_id, segment_survival> m_contradictions;
    transport::timer_queue::handle m_contradiction;
    line_budget m_log_budget;
    line_budget m_admission_log_budget;
};

} // namespace cicadaport::serving
