// The state that results from folding the records of the shared log.
//
// The fold is deterministic: every process folds the same records in the same
// order with the same code and reaches the same decisions, without any other
// form of agreement. It reads no clock and sends no requests.
//
//   state folded;
//   for (const auto& entry : entries) folded.apply(entry.offset(), entry.payload());
//
// Not thread safe; see `replica` for that.
#pragma once

#include "cicadaport/configuration/document.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cicadaport::protocol {
class configuration_edit;
class endpoint_report;
class endpoint_request;
class folded_state;
class lease_claim;
class lease_release;
class lease_renewal;
class order_intent;
class order_settlement;
class record;
class snapshot;
} // namespace cicadaport::protocol

namespace cicadaport::fold {

// The result of folding one record.
struct decision {
    bool accepted = false;
    std::string reason;
    // The record's offset in the log.
    std::uint64_t offset = 0;
    // The section that another edit changed first, if the record was refused for that.
    std::string winner_section = {};
};

// The largest accepted distance, in offsets, from the last offset that a
// record's author had folded to the record itself. The state stores the append
// ids of at least as many records, so that a duplicate never takes effect,
// however late it arrives.
constexpr std::uint64_t append_window = 2'048;

// A state that is to be appended to the log as a snapshot.
struct due_snapshot {
    std::uint64_t covers_offset = 0;
    std::string digest;
    // The serialized state; null if this process installed a later state.
    std::shared_ptr<const std::string> bytes;
};

// Thrown for a record that this build can't interpret. Any decision on it could
// differ from that of processes with a newer build.
class unknown_record : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class state {
public:
    state();
    ~state();
    state(const state& other);
    state& operator=(const state& other);
    state(state&&) noexcept;
    state& operator=(state&&) noexcept;

    // Folds the record at `offset`. Records at or below `offset()` have no
    // effect. Throws `unknown_record`.
    decision apply(std::uint64_t offset, std::string_view payload);

    // Returns the decision on the record with this append id, if it is among
    // the last `append_window` records. In a deserialized state only recent
    // configuration edits still have the reason.
    std::optional<decision> decision_of(const std::string& append_id) const;

    // Returns the due snapshot unless an accepted snapshot record covers it.
    std::optional<due_snapshot> pending_snapshot() const;

    // The offset of the last folded record.
    std::uint64_t offset() const noexcept;

    // The offset of the last accepted configuration edit.
    std::uint64_t configuration_offset() const noexcept;

    // The configuration of the last accepted edit.
    std::shared_ptr<const configuration::document> document() const noexcept { return m_document; }

    // The whole state as a message, for access to leases, orders and edits.
    const protocol::folded_state& message() const noexcept { return *m_state; }

    // Serializes the state deterministically: equal states give equal bytes.
    std::string serialize() const;

    // Restores a serialized state. Throws std::invalid_argument if `bytes` is not
    // a serialized state, `unknown_record` if folding further records requires a
    // newer build, and `yaml::document_error` if the configuration can't be read.
    static state deserialize(std::string_view bytes);

private:
    decision decide(std::uint64_t offset, const protocol::record& record);
    decision apply_edit(std::uint64_t offset, const protocol::record& record);
    decision apply_claim(std::uint64_t offset, const std::string& author,
                         const protocol::lease_claim& claim);
    decision apply_renewal(std::uint64_t offset, const std::string& author,
                           const protocol::lease_renewal& renewal);
    decision apply_release(const std::string& author, const protocol::lease_release& release);
    decision apply_intent(std::uint64_t offset, const std::string& author,
                          const protocol::order_intent& intent);
    decision apply_settlement(std::uint64_t offset, const std::string& author,
                              const protocol::order_settlement& settlement);
    decision apply_report(std::uint64_t offset, const protocol::endpoint_report& report);
    decision apply_wish(std::uint64_t offset, const protocol::endpoint_request& wish);
    bool is_lease_holder(const std::string& author, const std::string& partition,
                         std::uint64_t fencing_number) const;
    decision apply_snapshot(std::uint64_t offset, const protocol::snapshot& taken);
    void record_decision(const std::string& append_id, const decision& made);
    void take_snapshot_if_due();
    void index_append_ids();
    std::string joined_sections() const;

    std::unique_ptr<protocol::folded_state> m_state;
    // Decisions on recent records by append id.
    std::unordered_map<std::string, decision> m_recent_decisions;
    std::shared_ptr<const std::string> m_due_bytes;
    std::shared_ptr<const configuration::document> m_document;
};

} // namespace cicadaport::fold
