// The state that the log's records add up to.
//
// Every process folds the same records in the same order with the same code
// and reaches the same decisions; there is no other agreement. The fold reads
// no clock and asks nobody.
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

// What the fold made of one record.
struct decision {
    bool accepted = false;
    std::string reason;
    // Where the record stands on the log.
    std::uint64_t offset = 0;
    // The section that another edit had moved, where that was the reason.
    std::string winner_section = {};
};

// How many offsets a record may lie behind the one its author had folded. The
// append ids of at least as many records are remembered, so that no copy can
// take effect, however late it arrives.
constexpr std::uint64_t append_window = 2'048;

// A state that may be appended to the log as a snapshot.
struct due_snapshot {
    std::uint64_t covers_offset = 0;
    std::string digest;
    // Empty if this process took over a later state.
    std::shared_ptr<const std::string> bytes;
};

// A record that this build can't judge: deciding would diverge from the others.
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

    // Returns what became of the record with this append id, if it is among
    // the last `append_window`. The reason is lost where the state was taken
    // over from another process.
    std::optional<decision> decision_of(const std::string& append_id) const;

    // Returns the snapshot that is due and that no accepted one covers yet.
    std::optional<due_snapshot> pending_snapshot() const;

    // The offset of the last record folded.
    std::uint64_t offset() const noexcept;

    // The offset of the last accepted configuration edit.
    std::uint64_t configuration_offset() const noexcept;

    // The configuration in force.
    std::shared_ptr<const configuration::document> document() const noexcept { return m_document; }

    // The whole state as a message, for readers of leases, orders and edits.
    const protocol::folded_state& message() const noexcept { return *m_state; }

    // Returns the state as bytes, equal for equal states.
    std::string serialize() const;

    // Throws std::invalid_argument if `bytes` is not a serialized state, and
    // `unknown_record` if it takes a newer build to fold on from it.
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
    bool holds(const std::string& author, const std::string& partition,
               std::uint64_t fencing_number) const;
    decision apply_snapshot(std::uint64_t offset, const protocol::snapshot& taken);
    void remember(const std::string& append_id, const decision& made);
    void take_snapshot_if_due();
    void index_append_ids();
    std::string joined_sections() const;

    std::unique_ptr<protocol::folded_state> m_state;
    // The recent append ids, for look-up.
    std::unordered_map<std::string, decision> m_recent;
    std::shared_ptr<const std::string> m_due_bytes;
    std::shared_ptr<const configuration::document> m_document;
};

} // namespace cicadaport::fold
