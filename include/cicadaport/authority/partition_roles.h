// Asks the role controller on behalf of one partition's lease holder, and
// remembers what came of its changes.
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

// One role change that the controller asked for.
struct role_change {
    std::string engine;
    std::string from;
    std::string to;
    roles::explanation why;
    // Whether its intent is on the log.
    bool announced = false;
    roles::change_outcome outcome = roles::change_outcome::running;
    roles::clock::time_point begun;
    // Requests that the roles after the change could serve of the work offered
    // since, and those before it could not; negative if it was a mistake.
    double gained_requests = 0;
    roles::seconds watched{0};
};

// What operators are shown of one partition.
struct role_report {
    std::string partition;
    std::string policy;
    double price_requests = 0;
    roles::offered_work offered;
    roles::role_counts present;
    roles::change_progress standing;
    // The newest first.
    std::vector<role_change> changes;
};

// Belongs to the event loop of the partition's director, which tells it what
// engines answer and carries out what it proposes. It keeps nothing that a
// successor needs: a proposal that is not on the log when the lease is lost has
// never been, and one that is there is an outstanding intent, during which the
// successor's own controller waits.
class partition_roles {
public:
    using time_point = roles::clock::time_point;

    explicit partition_roles(std::string partition) : m_partition{std::move(partition)} {}

    // Forgets what an earlier holder summed up. Call when a lease is claimed.
    void restart();

    // Notes what an engine answered at a look; nothing if it did not answer.
    void note(const std::string& engine, std::optional<engine_record> seen);

    // Asks the controller, once every engine was looked at. `processes` are
    // those heard of, with their ages.
    void observe(const fold::state& state, std::span<const protocol::process_status> processes,
                 time_point now);

    // Returns the role that the controller wants for `engine`, while its intent
    // is not on the log; empty if it wants none.
    std::string proposed(const std::string& engine) const;

    // The intent of the proposal for `engine` is on the log.
    void announced(const std::string& engine);

    role_report report() const;

    // Changes that are remembered.
    static constexpr std::size_t kept_changes = 8;

private:
    void follow_settings(const configuration::engine_roles& settings);
    std::vector<roles::engine_observation>
    observe_engines(const fold::state& state,
                    std::span<const protocol::process_status> processes) const;
    roles::offered_work offered_to(const configuration::document& document,
                                   std::span<const protocol::process_status> processes) const;
    void drop_overtaken(const fold::state& state);
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
    std::optional<time_point> m_last;
};

} // namespace cicadaport::authority
