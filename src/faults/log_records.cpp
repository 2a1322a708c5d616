#include "internal/log_records.h"

#include <record.pb.h>

namespace cicadaport::faults {
namespace {

accepted_edit edit_of(const protocol::record& record, std::uint64_t offset, time_bounds when)
{
    accepted_edit out;
    out.offset = offset;
    out.append_id = record.append_id();
    out.when = when;
    for (const auto& each : record.edit().sections()) {
        out.changes.push_back({each.section(), each.based_on_offset(), each.text()});
    }
    return out;
}

lease_event claim_of(const protocol::record& record, std::uint64_t offset)
{
    lease_event out;
    out.partition = record.claim_lease().partition();
    out.fencing_number = offset;
    out.duration = std::chrono::milliseconds{record.claim_lease().duration_ms()};
    return out;
}

template <typename Message>
lease_event change_of(const Message& message, lease_change change)
{
    lease_event out;
    out.change = change;
    out.partition = message.partition();
    out.fencing_number = message.fencing_number();
    return out;
}

} // namespace

void log_recorder::take(std::uint64_t offset, std::string_view payload, time_bounds when)
{
    const auto made = m_folded.apply(offset, payload);
    protocol::record record;
    if (!made.accepted ||
        !record.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return;
    }
    const auto add_lease = [&](lease_event event) {
        event.offset = offset;
        event.holder = record.author();
        event.when = when;
        m_records.leases.push_back(std::move(event));
    };
    if (record.has_edit()) {
        m_records.edits.push_back(edit_of(record, offset, when));
    }
    else if (record.has_claim_lease()) {
        add_lease(claim_of(record, offset));
    }
    else if (record.has_renew_lease()) {
        add_lease(change_of(record.renew_lease(), lease_change::renewed));
    }
    else if (record.has_release_lease()) {
        add_lease(change_of(record.release_lease(), lease_change::released));
    }
    else if (record.has_intent()) {
        const auto& intent = record.intent();
        m_records.announced.push_back({offset, intent.order().order_id(), intent.order().endpoint(),
                                       intent.fencing_number()});
    }
    else if (record.has_settlement()) {
        const auto& settled = record.settlement();
        m_records.settled.push_back(
            {offset, settled.order_id(), settled.endpoint(), settled.applied(), when});
    }
}

} // namespace cicadaport::faults
