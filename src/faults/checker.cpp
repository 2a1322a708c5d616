#include "cicadaport/faults/checker.h"

#include <algorithm>
#include <set>

namespace cicadaport::faults {
namespace {

using std::chrono::milliseconds;

struct kind_name {
    breach_kind kind;
    std::string_view name;
};
constexpr kind_name kinds[] = {
    {breach_kind::conflicting_orders, "conflicting_orders"},
    {breach_kind::stale_order, "stale_order"},
    {breach_kind::unannounced_order, "unannounced_order"},
    {breach_kind::reverted, "reverted"},
    {breach_kind::wrong_text, "wrong_text"},
    {breach_kind::lost_edit, "lost_edit"},
    {breach_kind::unwanted_edit, "unwanted_edit"},
    {breach_kind::late, "late"},
    {breach_kind::two_holders, "two_holders"},
};

void add(std::vector<breach>& to, breach_kind kind, std::string detail)
{
    to.push_back({kind, std::move(detail)});
}

void append(std::vector<breach>& to, const std::vector<breach>& more)
{
    to.insert(to.end(), more.begin(), more.end());
}

std::string describe(const received_order& order)
{
    return "order " + order.order_id + " with fencing number " +
           std::to_string(order.fencing_number);
}

// The orders of one engine, one after the other.
class order_check {
public:
    order_check(const engine_record& engine, std::vector<breach>& breaches)
        : m_engine{engine}, m_breaches{breaches}
    {
    }

    void take(const received_order& order)
    {
        const bool fenced_off =
            m_engine.checks_fencing && !order.accepted && order.fencing_number < m_highest_received;
        m_highest_received = std::max(m_highest_received, order.fencing_number);
        if (order.conflicting && !fenced_off) {
            found(breach_kind::conflicting_orders, describe(order) + " came during another");
        }
        if (order.accepted && order.order_id != m_last) {
            take_effect(order);
        }
        if (order.accepted) {
            m_highest_accepted = std::max(m_highest_accepted, order.fencing_number);
        }
    }

private:
    // The engine carries out an order that differs from its last.
    void take_effect(const received_order& order)
    {
        if (m_superseded.contains(order.order_id)) {
            found(breach_kind::conflicting_orders, describe(order) + " came again after " + m_last);
        }
        if (order.fencing_number < m_highest_accepted) {
            found(breach_kind::stale_order, describe(order) + " took effect after fencing number " +
                                                std::to_string(m_highest_accepted));
        }
        m_superseded.insert(m_last);
        m_last = order.order_id;
    }

    void found(breach_kind kind, const std::string& detail)
    {
        add(m_breaches, kind, m_engine.name + ": " + detail);
    }

    const engine_record& m_engine;
    std::vector<breach>& m_breaches;
    std::string m_last;
    std::set<std::string> m_superseded;
    std::uint64_t m_highest_received = 0;
    std::uint64_t m_highest_accepted = 0;
};

// Whether the log had the order for this engine, announced under no higher
// fencing number than it was sent with.
bool is_announced(const run_records& records, const engine_record& engine,
                  const received_order& order)
{
    return std::ranges::any_of(records.announced, [&](const announced_order& each) {
        return each.order_id == order.order_id && each.endpoint == engine.name &&
               each.fencing_number <= order.fencing_number;
    });
}

using section_texts = std::map<std::string, std::string>;

// Returns the texts at each accepted edit's offset.
std::map<std::uint64_t, section_texts> texts_by_offset(const run_records& records)
{
    std::map<std::uint64_t, section_texts> out;
    section_texts now;
    for (const auto& edit : records.edits) {
        for (const auto& change : edit.changes) {
            now[change.section] = change.text;
        }
        out[edit.offset] = now;
    }
    return out;
}

void check_text(const shown_configuration& shown,
                const std::map<std::uint64_t, section_texts>& texts, std::vector<breach>& out)
{
    const auto where = shown.process + " at " + std::to_string(shown.at.count()) + " ms: offset " +
                       std::to_string(shown.offset);
    const auto expected = texts.find(shown.offset);
    if (expected == texts.end()) {
        add(out, breach_kind::wrong_text, where + " is no accepted edit");
    }
    else if (shown.sections && *shown.sections != expected->second) {
        add(out, breach_kind::wrong_text, where + " with another text");
    }
}

bool contains(const accepted_edit& edit, const operator_edit& sent)
{
    return std::ranges::any_of(edit.changes, [&](const section_change& each) {
        return each.section == sent.section && each.text == sent.text;
    });
}

void check_operator(const operator_edit& sent, const run_records& records, std::vector<breach>& out)
{
    std::vector<std::uint64_t> offsets;
    for (const auto& each : records.edits) {
        if (contains(each, sent)) {
            offsets.push_back(each.offset);
        }
    }
    if (offsets.size() > 1) {
        add(out, breach_kind::unwanted_edit,
            "one edit is at offsets " + std::to_string(offsets[0]) + " and " +
                std::to_string(offsets[1]));
    }
    if (sent.result == edit_result::refused && !offsets.empty()) {
        add(out, breach_kind::unwanted_edit,
            "a refused edit is at offset " + std::to_string(offsets[0]));
    }
    if (sent.result == edit_result::accepted &&
        std::ranges::find(offsets, sent.offset) == offsets.end()) {
        add(out, breach_kind::lost_edit,
            "the edit accepted at offset " + std::to_string(sent.offset) + " is not there");
    }
}

// When `process` first showed `offset` or a later one.
std::optional<milliseconds> first_shown(const run_records& records, const std::string& process,
                                        std::uint64_t offset)
{
    for (const auto& each : records.shown) {
        if (each.process == process && each.offset >= offset) {
            return each.at;
        }
    }
    return std::nullopt;
}

// The offset that `process` showed last.
std::uint64_t last_shown(const run_records& records, const std::string& process)
{
    std::uint64_t out = 0;
    for (const auto& each : records.shown) {
        if (each.process == process) {
            out = each.offset;
        }
    }
    return out;
}

// A holder trusts its lease from before it sent the renewal, so until the
// earliest time at which the renewal can have been appended plus the duration.
void check_claims(const run_records& records, std::vector<breach>& out)
{
    std::map<std::string, lease_event> last;
    for (const auto& event : records.leases) {
        const auto before = last.find(event.partition);
        if (before != last.end() && event.change == lease_change::claimed &&
            before->second.change != lease_change::released &&
            event.when.not_after < before->second.when.not_before + before->second.duration) {
            add(out, breach_kind::two_holders,
                event.holder + " claimed " + event.partition + " at offset " +
                    std::to_string(event.offset) + " while " + before->second.holder +
                    " trusted its lease");
        }
        auto& kept = last[event.partition];
        const auto duration =
            event.change == lease_change::claimed ? event.duration : kept.duration;
        kept = event;
        kept.duration = duration;
    }
}

// Returns the claim that ended the lease with this fencing number, if any.
const lease_event* successor_of(const run_records& records, std::uint64_t fencing_number)
{
    const auto is_claim = [&](const lease_event& each) {
        return each.change == lease_change::claimed && each.fencing_number == fencing_number;
    };
    const auto own = std::ranges::find_if(records.leases, is_claim);
    if (own == records.leases.end()) {
        return nullptr;
    }
    const auto next = std::find_if(own + 1, records.leases.end(), [&](const lease_event& each) {
        return each.change == lease_change::claimed && each.partition == own->partition;
    });
    return next == records.leases.end() ? nullptr : &*next;
}

// An order that arrives long after its author's successor claimed the lease
// was sent by a process that still trusted it.
void check_arrivals(const run_records& records, std::vector<breach>& out)
{
    for (const auto& engine : records.engines) {
        for (const auto& order : engine.orders) {
            const auto* successor = successor_of(records, order.fencing_number);
            if (successor != nullptr &&
                order.when.not_before > successor->when.not_after + longest_travel) {
                add(out, breach_kind::two_holders,
                    engine.name + ": " + describe(order) + " came after " + successor->holder +
                        " had claimed the lease at offset " + std::to_string(successor->offset));
            }
        }
    }
}

} // namespace

std::string_view to_string(breach_kind kind)
{
    const auto* found = std::ranges::find(kinds, kind, &kind_name::kind);
    return found == std::end(kinds) ? "unknown" : found->name;
}

std::vector<breach> find_order_breaches(const run_records& records)
{
    std::vector<breach> out;
    for (const auto& engine : records.engines) {
        order_check check{engine, out};
        for (const auto& order : engine.orders) {
            check.take(order);
            if (!is_announced(records, engine, order)) {
                add(out, breach_kind::unannounced_order,
                    engine.name + ": " + describe(order) + " was never announced");
            }
        }
    }
    return out;
}

std::vector<breach> find_configuration_breaches(const run_records& records)
{
    std::vector<breach> out;
    const auto texts = texts_by_offset(records);
    std::map<std::string, std::uint64_t> highest;
    for (const auto& shown : records.shown) {
        // A process that has just started has nothing in force and says so.
        if (shown.offset == 0) {
            continue;
        }
        auto& before = highest[shown.process];
        if (shown.offset < before) {
            add(out, breach_kind::reverted,
                shown.process + " went back from offset " + std::to_string(before) + " to " +
                    std::to_string(shown.offset));
        }
        before = std::max(before, shown.offset);
        check_text(shown, texts, out);
    }
    return out;
}

std::vector<breach> find_edit_breaches(const run_records& records)
{
    std::vector<breach> out;
    std::map<std::string, std::uint64_t> moved;
    std::set<std::string> seen;
    for (const auto& edit : records.edits) {
        if (!seen.insert(edit.append_id).second) {
            add(out, breach_kind::unwanted_edit,
                "append id " + edit.append_id + " took effect twice");
        }
        for (const auto& change : edit.changes) {
            if (change.based_on_offset != moved[change.section]) {
                add(out, breach_kind::lost_edit,
                    "offset " + std::to_string(edit.offset) + " overwrote section " +
                        change.section + " of offset " + std::to_string(moved[change.section]));
            }
            moved[change.section] = edit.offset;
        }
    }
    for (const auto& sent : records.operators) {
        check_operator(sent, records, out);
    }
    return out;
}

std::vector<breach> find_late_processes(const run_records& records)
{
    std::vector<breach> out;
    if (records.edits.empty()) {
        return out;
    }
    const auto& last = records.edits.back();
    const auto limit = std::max(records.faults_ended, last.when.not_after) + longest_lag;
    for (const auto& process : records.live) {
        const auto at = first_shown(records, process, last.offset);
        if (!at || *at > limit) {
            add(out, breach_kind::late,
                process + " had not offset " + std::to_string(last.offset) + " in force at " +
                    std::to_string(limit.count()) + " ms");
        }
        else if (last_shown(records, process) < last.offset) {
            add(out, breach_kind::late,
                process + " had lost offset " + std::to_string(last.offset) + " at the end");
        }
    }
    return out;
}

std::vector<breach> find_lease_breaches(const run_records& records)
{
    std::vector<breach> out;
    check_claims(records, out);
    check_arrivals(records, out);
    return out;
}

std::vector<breach> find_breaches(const run_records& records)
{
    std::vector<breach> out;
    append(out, find_order_breaches(records));
    append(out, find_configuration_breaches(records));
    append(out, find_edit_breaches(records));
    append(out, find_late_processes(records));
    append(out, find_lease_breaches(records));
    return out;
}

} // namespace cicadaport::faults
