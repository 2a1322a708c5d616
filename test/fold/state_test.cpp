#include "cicadaport/fold/state.h"

#include <gtest/gtest.h>
#include <record.pb.h>
#include <state.pb.h>

namespace cicadaport::fold {
namespace {

class state_test : public testing::Test {
protected:
    decision propose(protocol::record record, const std::string& author = "a")
    {
        ++m_offset;
        record.set_append_id("append-" + std::to_string(m_offset));
        record.set_proposed_after(m_offset - 1);
        record.set_author(author);
        return m_state.apply(m_offset, record.SerializeAsString());
    }

    decision edit(std::uint64_t based_on, const std::string& text)
    {
        protocol::record record;
        record.mutable_edit()->set_schema_version(configuration::schema_version);
        auto& section = *record.mutable_edit()->add_sections();
        section.set_section("models");
        section.set_based_on_offset(based_on);
        section.set_text(text);
        return propose(record);
    }

    static std::string make_wish(const std::string& append_id, bool drain, std::uint64_t after)
    {
        protocol::record record;
        record.set_append_id(append_id);
        record.set_proposed_after(after);
        record.mutable_endpoint_wish()->set_endpoint("e");
        record.mutable_endpoint_wish()->set_drain(drain);
        return record.SerializeAsString();
    }

    decision claim(const std::string& author, std::uint64_t observed)
    {
        protocol::record record;
        record.mutable_claim_lease()->set_partition("p");
        record.mutable_claim_lease()->set_observed_renewal_offset(observed);
        return propose(record, author);
    }

    decision intend(const std::string& author, std::uint64_t fencing, const std::string& order)
    {
        protocol::record record;
        auto& intent = *record.mutable_intent();
        intent.set_partition("p");
        intent.set_fencing_number(fencing);
        intent.mutable_order()->set_endpoint("e");
        intent.mutable_order()->set_order_id(order);
        return propose(record, author);
    }

    state m_state;
    std::uint64_t m_offset = 0;
};

TEST_F(state_test, the_first_of_two_racing_edits_wins_and_the_second_names_it)
{
    EXPECT_TRUE(edit(0, "models: [{name: m, version: a}]\n").accepted);
    const auto second = edit(0, "models: [{name: m, version: b}]\n");
    EXPECT_FALSE(second.accepted);
    EXPECT_EQ(second.reason, "section models was changed at offset 1 by a");
    EXPECT_EQ(second.winner_section, "models");
    EXPECT_EQ(m_state.document()->find_model("m")->version, "a");
}

TEST_F(state_test, a_deserialized_state_names_the_winner_of_an_edit_conflict)
{
    EXPECT_TRUE(edit(0, "models: [{name: m, version: a}]\n").accepted);
    EXPECT_FALSE(edit(0, "models: [{name: m, version: b}]\n").accepted);
    const auto other = state::deserialize(m_state.serialize());
    EXPECT_EQ(other.decision_of("append-1")->offset, 1U);
    EXPECT_EQ(other.decision_of("append-2")->winner_section, "models");
    EXPECT_EQ(other.decision_of("append-2")->reason, "section models was changed at offset 1 by a");
}

TEST_F(state_test, an_edit_that_fails_the_checks_changes_nothing)
{
    EXPECT_TRUE(edit(0, "models: [{name: m, version: a}]\n").accepted);
    EXPECT_FALSE(edit(1, "models: [{name: m}]\n").accepted);
    EXPECT_EQ(m_state.configuration_offset(), 1U);
    EXPECT_EQ(m_state.document()->find_model("m")->version, "a");
}

TEST_F(state_test, a_copy_of_a_record_has_no_effect)
{
    protocol::record record;
    record.set_append_id("same");
    record.set_author("a");
    record.mutable_claim_lease()->set_partition("p");
    EXPECT_TRUE(m_state.apply(1, record.SerializeAsString()).accepted);
    EXPECT_FALSE(m_state.apply(2, record.SerializeAsString()).accepted);
    EXPECT_EQ(m_state.message().leases().at("p").fencing_number(), 1U);
}

TEST_F(state_test, a_claim_that_did_not_see_the_last_renewal_is_refused)
{
    EXPECT_TRUE(claim("a", 0).accepted);
    protocol::record renewal;
    renewal.mutable_renew_lease()->set_partition("p");
    renewal.mutable_renew_lease()->set_fencing_number(1);
    EXPECT_TRUE(propose(renewal, "a").accepted);
    EXPECT_FALSE(claim("b", 1).accepted);
    EXPECT_TRUE(claim("b", 2).accepted);
}

TEST_F(state_test, an_intent_of_a_holder_that_lost_its_lease_is_refused)
{
    EXPECT_TRUE(claim("a", 0).accepted);
    EXPECT_TRUE(claim("b", 1).accepted);
    EXPECT_FALSE(intend("a", 1, "late").accepted);
    EXPECT_TRUE(intend("b", 2, "good").accepted);
}

TEST_F(state_test, a_second_intent_waits_until_the_first_is_settled)
{
    EXPECT_TRUE(claim("a", 0).accepted);
    EXPECT_TRUE(intend("a", 1, "first").accepted);
    EXPECT_FALSE(intend("a", 1, "second").accepted);
    protocol::record settlement;
    settlement.mutable_settlement()->set_partition("p");
    settlement.mutable_settlement()->set_fencing_number(1);
    settlement.mutable_settlement()->set_endpoint("e");
    settlement.mutable_settlement()->set_order_id("first");
    EXPECT_TRUE(propose(settlement, "a").accepted);
    EXPECT_TRUE(intend("a", 1, "second").accepted);
}

TEST_F(state_test, an_edit_of_a_newer_schema_stops_the_fold_instead_of_diverging)
{
    protocol::record record;
    record.set_append_id("new");
    record.mutable_edit()->set_schema_version(configuration::schema_version + 1);
    EXPECT_THROW(m_state.apply(1, record.SerializeAsString()), unknown_record);
    EXPECT_EQ(m_state.offset(), 0U);
}

TEST_F(state_test, a_deserialized_state_folds_further_records_like_the_original)
{
    EXPECT_TRUE(edit(0, "models: [{name: m, version: a}]\n").accepted);
    auto other = state::deserialize(m_state.serialize());
    EXPECT_TRUE(claim("a", 0).accepted);
    protocol::record record;
    record.set_append_id("append-2");
    record.set_author("a");
    record.mutable_claim_lease()->set_partition("p");
    other.apply(2, record.SerializeAsString());
    EXPECT_EQ(other.serialize(), m_state.serialize());
}

TEST_F(state_test, a_copy_of_a_record_does_not_override_a_later_opposite_record)
{
    const auto drain = make_wish("drain", true, 0);
    EXPECT_TRUE(m_state.apply(++m_offset, drain).accepted);
    EXPECT_TRUE(m_state.apply(++m_offset, make_wish("undrain", false, 1)).accepted);
    EXPECT_FALSE(m_state.apply(++m_offset, drain).accepted);
    EXPECT_FALSE(m_state.message().wishes().contains("e"));
}

TEST_F(state_test, a_copy_has_no_effect_however_late_it_arrives)
{
    const auto drain = make_wish("drain", true, 0);
    EXPECT_TRUE(m_state.apply(++m_offset, drain).accepted);
    for (std::uint64_t i = 0; i < 3 * append_window; ++i) {
        const auto undrain = make_wish("undrain-" + std::to_string(i), false, m_offset);
        EXPECT_TRUE(m_state.apply(++m_offset, undrain).accepted);
    }
    EXPECT_FALSE(m_state.apply(++m_offset, drain).accepted);
    EXPECT_FALSE(m_state.message().wishes().contains("e"));
}

TEST_F(state_test, decisions_on_records_survive_serialization)
{
    EXPECT_TRUE(claim("a", 0).accepted);
    EXPECT_FALSE(claim("b", 7).accepted);
    const auto other = state::deserialize(m_state.serialize());
    EXPECT_TRUE(other.decision_of("append-1")->accepted);
    EXPECT_FALSE(other.decision_of("append-2")->accepted);
    EXPECT_FALSE(other.decision_of("append-3").has_value());
}

class snapshot_test : public state_test {
protected:
    // Folds records until a snapshot is due.
    due_snapshot next_due()
    {
        while (!m_state.pending_snapshot()) {
            protocol::record wish;
            wish.mutable_endpoint_wish()->set_endpoint("e");
            propose(wish);
        }
        return *m_state.pending_snapshot();
    }

    decision propose_snapshot(const due_snapshot& due)
    {
        protocol::record record;
        record.mutable_state_snapshot()->set_covers_offset(due.covers_offset);
        record.mutable_state_snapshot()->set_digest(due.digest);
        record.mutable_state_snapshot()->set_state(*due.bytes);
        return propose(record);
    }
};

TEST_F(snapshot_test, the_first_snapshot_of_a_due_state_is_accepted_and_the_second_refused)
{
    const auto due = next_due();
    EXPECT_EQ(state::deserialize(*due.bytes).offset(), due.covers_offset);
    EXPECT_TRUE(propose_snapshot(due).accepted);
    EXPECT_FALSE(m_state.pending_snapshot().has_value());
    EXPECT_FALSE(propose_snapshot(due).accepted);
}

TEST_F(snapshot_test, a_snapshot_that_differs_from_the_state_it_covers_is_refused)
{
    auto due = next_due();
    due.digest.front() = due.digest.front() == '0' ? '1' : '0';
    EXPECT_FALSE(propose_snapshot(due).accepted);
    EXPECT_TRUE(m_state.pending_snapshot().has_value());
}

TEST_F(snapshot_test, a_snapshot_of_an_older_state_is_refused)
{
    const auto old = next_due();
    EXPECT_TRUE(propose_snapshot(old).accepted);
    next_due();
    EXPECT_FALSE(propose_snapshot(old).accepted);
}

} // namespace
} // namespace cicadaport::fold
