// Runs the role controller for the lease holder of one partition and keeps the
// outcomes of its role changes.
#pragma once

#include "cicadaport/authority/order_step.h"
#include "cicadaport/fold/state.h"
#include "cicadaport/roles/controller.h"
#include "cicadaport/roles/offered_message.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadaport::authority {

// One role change that the controller proposed.
struct role_change {
    std::string engine;
    std::string from;
    std::string to;
    roles::explanation why;
    // Whether its intent is on the log.
    bool announced = false;
    roles::change_outcome outcome = roles::change_outcome::running;
    roles::clock::time_point begun;
    // Of the work offered since the change: the requests that the new roles can
    // serve, minus those that the old roles could have served. Negative if the
    // change was a loss.
    double gained_requests = 0;
    roles::seconds watched{0};
};

// The state of one partition's role control, as shown to operators.
struct role_report {
    std::string partition;
    std::string policy;
    double price_requests = 0;
    roles::offered_work offered;
    roles::role_counts present;
    roles::change_progress standing;
    // Newest first.
    std::vector<role_change> changes;
};

// Not thread safe; used from the event loop of the partition's director, which
// passes it the engines' answers and carries out its proposals. It keeps no state
// that a new lease holder needs: a proposal that is not on the log when the lease
// is lost has no effect, and one that is on the log is an outstanding intent,
// during which the new holder's controller waits.
class partition_roles {
public:
    using time_point = roles::clock::time_point;

    explicit partition_roles(std::string partition) : m_partition{std::move(partition)} {}

    // Drops what the controller accumulated under an earlier lease. Call when a
    // lease is claimed.
    void restart();

    // Records an engine's answer to a poll; nothing if it did not answer.
    void record_answer(const std::string& engine, std::optional<engine_record> seen);

    // Runs the controller; does nothing until every engine has been polled.
    // `processes` are the statuses received from processes, with their ages.
    void observe(const fold::state& state, std::span<const protocol::process_status> processes,
                 time_point now);

    // Returns the role that the controller proposes for `engine` while the
    // intent is not on the log; empty if there is no such proposal.
    std::string proposed_role(const std::string& engine) const;

    // Records that the intent of the proposal for `engine` is on the log.
    void record_announced(const std::string& engine);

    role_report report() const;

    static constexpr std::size_t max_kept_changes = 8;

private:
    void follow_settings(const configuration::engine_roles& settings);
    std::vector<roles::engine_observation>
    observe_engines(const fold::state& state,
                    std::span<const protocol::process_status> processes) const;
    roles::offered_work offered_to(const configuration::document& document,
                                   std::span<const protocol::process_status> processes) const;
    void withdraw_superseded_proposal(const fold::state& state);
    void settle_change();
    void watch_change(time_point now);
    void begin_change(roles::role_order order, time_point now);
    const role_change* proposal() const;

    std::string m_partition;
    std::optional<configuration::engine_roles> m_settings;
    std::optional<roles::role_controller> m_controller;
    std::map<std::string, std::optional<engine_record>> m_seen;
    std::deque<role_change> m_changes;
    roles::offered_work m_offered;
    roles::role_counts m_present;
    std::optional<time_point> m_last_observed_at;
};

} // namespace cicadaport::authority
