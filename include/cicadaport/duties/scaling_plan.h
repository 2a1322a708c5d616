// Decides how many replicas of each kind each zone of a service should have.
//
// Reclaimable replicas cost a fraction of ordinary ones, so they carry most of the load. The plan
// keeps enough of both kinds that the loss of all reclaimable replicas of one zone leaves capacity
// for the recent peak. It adds replicas at once and removes them late and in large steps, because a
// late request costs more than a replica, and a replica that leaves takes its cached prompts along.
//
// Pure: views and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/duties/demand_window.h"

#include <algorithm>
#include <optional>

namespace cicadaport::duties {

// The inputs and results of the last decision, for the log.
struct scaling_basis {
    // Demand for which capacity is planned, in engines.
    double demand = 0;
    // Factor by which unserved requests raise the demand.
    double pressure = 1;
    // Replicas that serve, that are ordered and do not serve yet, and that are wanted.
    std::uint32_t serving = 0;
    std::uint32_t pending = 0;
    std::uint32_t target = 0;
    // Ordinary replicas that are wanted.
    std::uint32_t ordinary_target = 0;
    std::string_view reason = "none";
};

class scaling_plan {
public:
    // Utilization of all replicas at the demand for which capacity is planned, which includes a
    // burst.
    static constexpr double target_utilization = 0.75;
    // Utilization of the rest after the loss of one zone's reclaimable replicas.
    static constexpr double max_utilization_after_loss = 0.85;
    // Ordinary replicas carry this share of the recent peak by themselves, so that the most urgent
    // requests are served when all reclaimable replicas are lost. The loss of one zone's is covered
    // by `max_utilization_after_loss`, at a fraction of the price.
    static constexpr double ordinary_share_of_peak = 1.0 / 4;
    // The same before any demand was seen, as a share of the replicas.
    static constexpr double ordinary_share_of_total = 0.1;
    // Minimum number of replicas of each of the two stages.
    static constexpr std::uint32_t min_per_stage = 2;
    static constexpr std::uint32_t min_total = 2 * min_per_stage;
    // Before demand was seen, each stage keeps this share of all replicas: which stage new replicas
    // have is up to the platform.
    static constexpr double stage_share_without_demand = 1.0 / 6;
    // The plan orders more once it lacks this share of its target.
    static constexpr double shortage_ratio = 0.1;
    // It removes replicas only beyond this ratio to its target, and ordinary ones only if this
    // share of their target is surplus.
    static constexpr double excess_ratio = 1.25;
    static constexpr double ordinary_excess_ratio = 0.5;
    // Maximum share of all replicas that one step removes.
    static constexpr double max_step_share = 1.0 / 3;
    // Time between two steps down.
    static constexpr std::chrono::seconds hold_time{15};
    // No order is given before the list of replicas has not grown for this time: replicas register
    // one after the other when a deployment starts.
    static constexpr std::chrono::milliseconds settle_time{1'500};
    // Ordinary replicas are not reclaimed, so a list that has lost more than half of them at once
    // is taken for incomplete, for at most this time. Entries that expire while the store is away
    // are back within about 2 s of its return.
    static constexpr double min_listed_fraction = 0.5;
    static constexpr std::chrono::seconds max_doubt{10};
    // The list shows the effect of an order after less than this time.
    static constexpr std::chrono::seconds list_delay{2};
    // An order whose effect does not show within the boot time and this time is given again.
    static constexpr std::chrono::seconds overdue_time{6};
    // No order is given for a zone and kind for this long after a reclaim, a refusal, and an
    // order with an unknown outcome. The platform offers no reclaimable replicas for about 11 s
    // after a reclaim.
    static constexpr std::chrono::seconds reclaim_pause{11};
    static constexpr std::chrono::seconds unavailable_pause{4};
    static constexpr std::chrono::seconds unknown_pause{1};
    // Unserved requests: the share of them, and their number within `pressure_interval`, that
    // raise the demand by `pressure_step`.
    static constexpr std::chrono::seconds pressure_interval{5};
    static constexpr std::uint64_t min_unserved = 3;
    static constexpr double unserved_share = 0.05;
    // They do so only above this utilization: below it, requests are late for other reasons than a
    // lack of replicas.
    static constexpr double min_pressure_utilization = 0.3;
    static constexpr double pressure_step = 1.25;
    static constexpr double max_pressure = 2;

    // Follows the view without giving orders, while another host decides.
    void follow(const scaling_view& view, time_point now);

    // Returns whether the host that decides should have given orders for what the view shows.
    bool has_due_orders(const scaling_view& view, time_point now) const;

    // Returns the orders to give now, usually none. To be called several times a second.
    // `record_outcome()` must be called for each of them.
    std::vector<scaling_order> decide(const scaling_view& view, time_point now);

    void record_outcome(const scaling_order& order, order_outcome outcome, time_point now);

    const scaling_basis& basis() const noexcept { return m_basis; }

private:
    // What is known of one kind of replica in one zone.
    struct record {
        // The number in force by the last order, or else as listed.
        std::uint32_t desired = 0;
        std::uint32_t serving = 0;
        std::uint32_t target = 0;
        time_point raised{};
        time_point lowered{};
        time_point blocked_until{};

        std::uint32_t pending() const { return desired > serving ? desired - serving : 0; }
        // Replicas that serve and are not ordered away.
        std::uint32_t staying() const { return std::min(desired, serving); }
    };
    struct zone {
        std::string name;
        double price = 1;
        std::array<record, replica_kind_count> records{};

        record& of(replica_kind kind) { return records.at(static_cast<std::size_t>(kind)); }
    };

    void observe(const scaling_view& view, time_point now);
    // Records since when the list of replicas lacks ordinary ones that were not ordered away.
    void check_list(const scaling_view& view, time_point now);
    // Returns whether the list of replicas is taken for incomplete.
    bool is_list_doubtful(time_point now) const;
    zone& zone_named(const std::string& name);
    void update_record(record& known, replica_kind kind, std::uint32_t serving,
                       const scaling_terms& terms, time_point now);
    void update_pressure(const scaling_view& view, time_point now);
    template <typename Value>
    std::uint32_t sum(Value value);
    bool offers_reclaimable(const scaling_terms& terms) const;
    std::uint32_t lowest_total(const scaling_terms& terms) const;
    std::uint32_t wanted_total(const scaling_terms& terms, time_point now);
    std::uint32_t wanted_ordinary(const scaling_terms& terms, std::uint32_t total, time_point now);
    // Sets the targets of one kind to `total`, spread evenly over the zones; the rest goes to
    // cheap zones. Zones that can't be ordered from keep what they have.
    void spread(replica_kind kind, std::uint32_t total, const scaling_terms& terms, time_point now);
    void set_targets(const scaling_terms& terms, time_point now);
    std::vector<scaling_order> raise(const scaling_terms& terms, time_point now);
    std::vector<scaling_order> lower(const scaling_view& view, time_point now);
    // Returns how many replicas of a kind may be ordered away in one step that already removes
    // `removed` others.
    std::uint32_t removable(const scaling_view& view, replica_kind kind, std::uint32_t removed);
    std::vector<scaling_order> remove(replica_kind kind, std::uint32_t count,
                                      const scaling_terms& terms, time_point now);

    // Cheapest first.
    std::vector<zone> m_zones;
    demand_window m_demand;
    // Replicas, and ordinary ones of them, that are kept while the demand is not known: those of
    // the start, and later those that the known demand needed last.
    std::uint32_t m_held_total = 0;
    // Whether the list of replicas was complete at the start, as far as can be told.
    bool m_is_settled = false;
    time_point m_settled_at{};
    std::optional<time_point> m_doubtful_since;
    std::uint32_t m_held_ordinary = 0;
    std::optional<time_point> m_acting_since;
    time_point m_last_lowered{};
    std::uint64_t m_requests = 0;
    std::uint64_t m_unserved = 0;
    double m_pressure = 1;
    time_point m_pressure_checked{};
    time_point m_last_unserved{};
    scaling_basis m_basis;
};

} // namespace cicadaport::duties
