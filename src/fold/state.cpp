#include "cicadaport/fold/state.h"

#include "cicadaport/base/digest.h"
#include "cicadaport/yaml/reader.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <record.pb.h>
#include <state.pb.h>

#include <algorithm>

namespace cicadaport::fold {
namespace {

constexpr int max_recent_edits = 64;

// Append ids are dropped one window at a time to amortize the cost.
constexpr int max_append_ids = 2 * static_cast<int>(append_window);

// Snapshots add at most this many bytes per record to the log on average, and
// two snapshots are at least `min_snapshot_interval` records apart.
constexpr std::uint64_t snapshot_bytes_per_record = 64;
constexpr std::uint64_t min_snapshot_interval = 256;

decision accept()
{
    return {true, {}};
}

decision refuse(std::string reason)
{
    return {false, std::move(reason)};
}

// Drops the oldest elements of `list` beyond `max_size`.
template <typename List>
void drop_oldest(List& list, int max_size)
{
    if (list.size() > max_size) {
        list.DeleteSubrange(0, list.size() - max_size);
    }
}

void throw_if_unknown(const protocol::record& record)
{
    if (record.has_edit() && record.edit().schema_version() > configuration::schema_version) {
        throw unknown_record{"edit of schema version " +
                             std::to_string(record.edit().schema_version())};
    }
    if (record.body_case() == protocol::record::BODY_NOT_SET) {
        throw unknown_record{"record of an unknown kind"};
    }
}

} // namespace

state::state()
    : m_state{std::make_unique<protocol::folded_state>()},
      m_document{std::make_shared<configuration::document>()}
{
}

state::~state() = default;
state::state(state&&) noexcept = default;
state& state::operator=(state&&) noexcept = default;

state::state(const state& other)
    : m_state{std::make_unique<protocol::folded_state>(*other.m_state)},
      m_recent_decisions{other.m_recent_decisions}, m_due_bytes{other.m_due_bytes},
      m_document{other.m_document}
{
}

state& state::operator=(const state& other)
{
    if (this != &other) {
        *m_state = *other.m_state;
        m_recent_decisions = other.m_recent_decisions;
        m_due_bytes = other.m_due_bytes;
        m_document = other.m_document;
    }
    return *this;
}

std::uint64_t state::offset() const noexcept
{
    return m_state->offset();
}

std::uint64_t state::configuration_offset() const noexcept
{
    return m_state->configuration_offset();
}

decision state::apply(std::uint64_t offset, std::string_view payload)
{
    if (offset <= m_state->offset()) {
        return refuse("already folded");
    }
    protocol::record record;
    const bool readable = record.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (readable) {
        throw_if_unknown(record);
    }
    take_snapshot_if_due();
    m_state->set_offset(offset);
    if (!readable) {
        return refuse("not a record");
    }
    if (m_recent_decisions.contains(record.append_id())) {
        return refuse("a copy");
    }
    if (offset > record.proposed_after() + append_window) {
        return refuse("proposed too long ago");
    }
    auto made = decide(offset, record);
    made.offset = offset;
    record_decision(record.append_id(), made);
    return made;
}

// Append ids are dropped by rules that depend on the records alone, so that all
// processes keep byte-identical states.
void state::record_decision(const std::string& append_id, const decision& made)
{
    auto& ids = *m_state->mutable_recent_append_ids();
    auto& accepted = *m_state->mutable_recent_accepted();
    ids.Add(std::string{append_id});
    accepted.Add(made.accepted);
    m_recent_decisions.emplace(append_id, made);
    if (ids.size() < max_append_ids) {
        return;
    }
    const auto dropped = static_cast<int>(append_window);
    for (int i = 0; i < dropped; ++i) {
        m_recent_decisions.erase(ids.Get(i));
    }
    ids.DeleteSubrange(0, dropped);
    accepted.erase(accepted.begin(), accepted.begin() + dropped);
}

void state::index_append_ids()
{
    m_recent_decisions.clear();
    const auto& ids = m_state->recent_append_ids();
    for (int i = 0; i < ids.size(); ++i) {
        const bool accepted = i < m_state->recent_accepted_size() && m_state->recent_accepted(i);
        m_recent_decisions.emplace(ids.Get(i), decision{accepted, "folded by another process"});
    }
    for (const auto& edit : m_state->recent_edits()) {
        const auto found = m_recent_decisions.find(edit.append_id());
        if (found != m_recent_decisions.end()) {
            found->second = {edit.accepted(), edit.reason(), edit.offset(), edit.winner_section()};
        }
    }
}

std::optional<decision> state::decision_of(const std::string& append_id) const
{
    const auto found = m_recent_decisions.find(append_id);
    return found == m_recent_decisions.end() ? std::nullopt : std::optional{found->second};
}

// Called before a record is folded, not after: a process that starts from the
// snapshot then makes this call with the same state as all others.
void state::take_snapshot_if_due()
{
    const auto due = std::max(m_state->next_snapshot_offset(), min_snapshot_interval);
    if (m_state->offset() < due) {
        return;
    }
    m_due_bytes = std::make_shared<const std::string>(serialize());
    const auto interval =
        std::max(min_snapshot_interval, m_due_bytes->size() / snapshot_bytes_per_record);
    m_state->set_due_snapshot_offset(m_state->offset());
    m_state->set_due_snapshot_digest(base::sha256_hex(*m_due_bytes));
    m_state->set_next_snapshot_offset(m_state->offset() + interval);
}

std::optional<due_snapshot> state::pending_snapshot() const
{
    if (m_state->due_snapshot_offset() == m_state->snapshot_covers()) {
        return std::nullopt;
    }
    return due_snapshot{m_state->due_snapshot_offset(), m_state->due_snapshot_digest(),
                        m_due_bytes};
}

decision state::apply_snapshot(std::uint64_t offset, const protocol::snapshot& taken)
{
    if (taken.covers_offset() != m_state->due_snapshot_offset()) {
        return refuse("the snapshot due covers offset " +
                      std::to_string(m_state->due_snapshot_offset()));
    }
    if (taken.covers_offset() == m_state->snapshot_covers()) {
        return refuse("offset " + std::to_string(m_state->snapshot_offset()) + " has it already");
    }
    if (taken.digest() != m_state->due_snapshot_digest()) {
        return refuse("the snapshot differs from the state that it covers");
    }
    m_state->set_snapshot_covers(taken.covers_offset());
    m_state->set_snapshot_offset(offset);
    return accept();
}

decision state::decide(std::uint64_t offset, const protocol::record& record)
{
    switch (record.body_case()) {
    case protocol::record::kEdit:
        return apply_edit(offset, record);
    case protocol::record::kClaimLease:
        return apply_claim(offset, record.author(), record.claim_lease());
    case protocol::record::kRenewLease:
        return apply_renewal(offset, record.author(), record.renew_lease());
    case protocol::record::kReleaseLease:
        return apply_release(record.author(), record.release_lease());
    case protocol::record::kIntent:
        return apply_intent(offset, record.author(), record.intent());
    case protocol::record::kSettlement:
        return apply_settlement(offset, record.author(), record.settlement());
    case protocol::record::kEndpointWish:
        return apply_wish(offset, record.endpoint_wish());
    case protocol::record::kReport:
        return apply_report(offset, record.report());
    case protocol::record::kStateSnapshot:
        return apply_snapshot(offset, record.state_snapshot());
    case protocol::record::BODY_NOT_SET:
        break;
    }
    return refuse("nothing in the record");
}

decision state::apply_edit(std::uint64_t offset, const protocol::record& record)
{
    auto& outcome = *m_state->add_recent_edits();
    outcome.set_append_id(record.append_id());
    outcome.set_offset(offset);
    const auto finish = [&](decision made) {
        outcome.set_accepted(made.accepted);
        outcome.set_reason(made.reason);
        drop_oldest(*m_state->mutable_recent_edits(), max_recent_edits);
        return made;
    };
    const auto before = m_state->sections();
    auto& sections = *m_state->mutable_sections();
    for (const auto& edit : record.edit().sections()) {
        auto& section = sections[edit.section()];
        if (section.offset() != edit.based_on_offset()) {
            outcome.set_winner_offset(section.offset());
            outcome.set_winner_author(section.author());
            outcome.set_winner_section(edit.section());
            sections = before;
            auto made =
                refuse("section " + edit.section() + " was changed at offset " +
                       std::to_string(outcome.winner_offset()) + " by " + outcome.winner_author());
            made.winner_section = edit.section();
            return finish(std::move(made));
        }
        section.set_text(edit.text());
        section.set_offset(offset);
        section.set_author(record.author());
    }
    try {
        m_document = std::make_shared<configuration::document>(
            configuration::parse_document(joined_sections(), "configuration"));
    }
    catch (const yaml::document_error& error) {
        sections = before;
        return finish(refuse(error.what()));
    }
    m_state->set_configuration_offset(offset);
    m_state->set_reader_version(
        std::max(m_state->reader_version(), record.edit().schema_version()));
    return finish(accept());
}

std::string state::joined_sections() const
{
    std::string text;
    for (const auto name : configuration::section_names) {
        const auto found = m_state->sections().find(std::string{name});
        if (found != m_state->sections().end()) {
            text += found->second.text();
        }
    }
    for (const auto& [name, section] : m_state->sections()) {
        if (std::find(std::begin(configuration::section_names),
                      std::end(configuration::section_names),
                      name) == std::end(configuration::section_names)) {
            // Parsing must see an unknown section, so that it rejects the edit.
            text += section.text();
        }
    }
    return text;
}

decision state::apply_claim(std::uint64_t offset, const std::string& author,
                            const protocol::lease_claim& claim)
{
    auto& lease = (*m_state->mutable_leases())[claim.partition()];
    if (!lease.released() && lease.renewed_offset() != claim.observed_renewal_offset()) {
        return refuse("the lease was renewed at offset " + std::to_string(lease.renewed_offset()));
    }
    lease.set_holder(author);
    lease.set_fencing_number(offset);
    lease.set_renewed_offset(offset);
    lease.set_duration_ms(claim.duration_ms());
    lease.set_released(false);
    return accept();
}

bool state::is_lease_holder(const std::string& author, const std::string& partition,
                            std::uint64_t fencing_number) const
{
    const auto found = m_state->leases().find(partition);
    return found != m_state->leases().end() && !found->second.released() &&
           found->second.holder() == author && found->second.fencing_number() == fencing_number;
}

decision state::apply_renewal(std::uint64_t offset, const std::string& author,
                              const protocol::lease_renewal& renewal)
{
    if (!is_lease_holder(author, renewal.partition(), renewal.fencing_number())) {
        return refuse("the lease is held by another");
    }
    (*m_state->mutable_leases())[renewal.partition()].set_renewed_offset(offset);
    return accept();
}

decision state::apply_release(const std::string& author, const protocol::lease_release& release)
{
    if (!is_lease_holder(author, release.partition(), release.fencing_number())) {
        return refuse("the lease is held by another");
    }
    (*m_state->mutable_leases())[release.partition()].set_released(true);
    return accept();
}

decision state::apply_intent(std::uint64_t offset, const std::string& author,
                             const protocol::order_intent& intent)
{
    if (!is_lease_holder(author, intent.partition(), intent.fencing_number())) {
        return refuse("the lease is held by another");
    }
    auto& orders = (*m_state->mutable_orders())[intent.order().endpoint()];
    if (orders.has_intent()) {
        return refuse("order " + orders.intent().order_id() + " is not settled");
    }
    *orders.mutable_intent() = intent.order();
    orders.set_intent_offset(offset);
    orders.set_intent_fencing_number(intent.fencing_number());
    return accept();
}

decision state::apply_settlement(std::uint64_t offset, const std::string& author,
                                 const protocol::order_settlement& settlement)
{
    if (!is_lease_holder(author, settlement.partition(), settlement.fencing_number())) {
        return refuse("the lease is held by another");
    }
    auto& orders = (*m_state->mutable_orders())[settlement.endpoint()];
    if (!orders.has_intent() || orders.intent().order_id() != settlement.order_id()) {
        return refuse("no such order is outstanding");
    }
    if (settlement.applied() && orders.intent().has_set_role()) {
        orders.set_role(orders.intent().set_role());
        orders.set_role_changes(orders.role_changes() + 1);
    }
    if (settlement.applied() && orders.intent().has_load_model()) {
        orders.set_model(orders.intent().load_model().model());
        orders.set_version(orders.intent().load_model().version());
    }
    orders.clear_intent();
    orders.set_settled_offset(offset);
    return accept();
}

decision state::apply_wish(std::uint64_t offset, const protocol::endpoint_request& wish)
{
    auto& wishes = *m_state->mutable_wishes();
    if (!wish.drain() && wish.role().empty()) {
        wishes.erase(wish.endpoint());
        return accept();
    }
    auto& kept = wishes[wish.endpoint()];
    kept.set_drain(wish.drain());
    kept.set_role(wish.role());
    kept.set_offset(offset);
    return accept();
}

decision state::apply_report(std::uint64_t offset, const protocol::endpoint_report& report)
{
    auto& conditions = *m_state->mutable_conditions();
    if (report.condition() == "serving") {
        conditions.erase(report.endpoint());
        return accept();
    }
    auto& kept = conditions[report.endpoint()];
    kept.set_condition(report.condition());
    kept.set_reason(report.reason());
    kept.set_offset(offset);
    return accept();
}

std::string state::serialize() const
{
    std::string bytes;
    google::protobuf::io::StringOutputStream sink{&bytes};
    google::protobuf::io::CodedOutputStream coded{&sink};
    coded.SetSerializationDeterministic(true);
    m_state->SerializeToCodedStream(&coded);
    coded.Trim();
    return bytes;
}

state state::deserialize(std::string_view bytes)
{
    state out;
    if (!out.m_state->ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        throw std::invalid_argument{"not a folded state"};
    }
    if (out.m_state->reader_version() > configuration::schema_version) {
        throw unknown_record{"state of version " + std::to_string(out.m_state->reader_version())};
    }
    out.index_append_ids();
    out.m_document = std::make_shared<configuration::document>(
        configuration::parse_document(out.joined_sections(), "configuration"));
    return out;
}

} // namespace cicadaport::fold
