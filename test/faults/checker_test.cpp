#include "cicadaport/faults/checker.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cicadaport::faults {
namespace {

using namespace std::chrono_literals;

// A run in which all is as it should be; each test breaks one thing in it.
class checker_test : public ::testing::Test {
protected:
    checker_test()
    {
        m_records.edits = {{1, "a", {{"models", 0, "one"}}, {0ms, 10ms}},
                           {4, "b", {{"models", 1, "two"}}, {990ms, 1'000ms}}};
        m_records.operators = {{"models", "one", edit_result::accepted, 1},
                               {"models", "two", edit_result::accepted, 4},
                               {"models", "late", edit_result::refused, 0}};
        m_records.leases = {
            claim(2, "first#1", 100ms),
            {lease_change::renewed, 5, "m/default", "first#1", 2, 0ms, {1'090ms, 1'100ms}},
            claim(6, "second#1", 2'200ms)};
        m_records.announced = {{3, "A", "engine-1", 2}, {7, "B", "engine-1", 6}};
        m_records.engines = {
            {"engine-1",
             false,
             {order("A", 2, 500ms), order("A", 6, 2'500ms), order("B", 6, 4'000ms)}}};
        show("control-1", 20ms, 1, "one");
        show("control-1", 1'020ms, 4, "two");
        m_records.shown.push_back({"entry-1", 1'030ms, 4, std::nullopt});
        m_records.live = {"control-1", "entry-1"};
        m_records.faults_ended = 3'000ms;
    }

    static lease_event claim(std::uint64_t offset, const std::string& holder,
                             std::chrono::milliseconds at)
    {
        return {lease_change::claimed, offset, "m/default", holder, offset, 1'000ms,
                {at - 10ms, at}};
    }

    static received_order order(const std::string& id, std::uint64_t fencing_number,
                                std::chrono::milliseconds at)
    {
        return {id, fencing_number, true, false, {at - 10ms, at}};
    }

    void show(const std::string& process, std::chrono::milliseconds at, std::uint64_t offset,
              const std::string& text)
    {
        m_records.shown.push_back(
            {process, at, offset, std::map<std::string, std::string>{{"models", text}}});
    }

    auto& orders() { return m_records.engines[0].orders; }

    // Whether the checker finds this kind of breach and no other.
    bool finds_only(breach_kind kind) const
    {
        const auto found = find_breaches(m_records);
        return !found.empty() &&
               std::ranges::all_of(found, [&](const breach& each) { return each.kind == kind; });
    }

    run_records m_records;
};

TEST_F(checker_test, finds_nothing_in_a_clean_run)
{
    EXPECT_TRUE(find_breaches(m_records).empty());
}

TEST_F(checker_test, finds_nothing_where_an_engine_fences_off_an_old_order)
{
    m_records.engines[0].checks_fencing = true;
    orders().push_back({"A", 2, false, true, {2'600ms, 2'610ms}});
    EXPECT_TRUE(find_breaches(m_records).empty());
}

TEST_F(checker_test, finds_nothing_where_a_restarted_process_has_nothing_in_force_at_first)
{
    show("control-1", 2'000ms, 0, "");
    show("control-1", 2'100ms, 4, "two");
    EXPECT_TRUE(find_breaches(m_records).empty());
}

TEST_F(checker_test, finds_nothing_where_a_lease_is_claimed_as_soon_as_it_is_released)
{
    m_records.leases = {claim(2, "first#1", 100ms),
                        {lease_change::released, 5, "m/default", "first#1", 2, 0ms, {200ms, 210ms}},
                        claim(6, "second#1", 220ms)};
    orders() = {order("A", 2, 150ms), order("B", 6, 400ms)};
    EXPECT_TRUE(find_breaches(m_records).empty());
}

TEST_F(checker_test, finds_orders_that_overlap)
{
    orders()[2].conflicting = true;
    orders()[2].accepted = false;
    EXPECT_TRUE(finds_only(breach_kind::conflicting_orders));
}

TEST_F(checker_test, finds_an_order_that_comes_again_after_another)
{
    orders().push_back(order("A", 6, 4'500ms));
    EXPECT_TRUE(finds_only(breach_kind::conflicting_orders));
}

TEST_F(checker_test, finds_an_order_that_takes_effect_after_a_higher_fencing_number)
{
    m_records.announced.push_back({8, "C", "engine-1", 2});
    orders().push_back(order("C", 2, 3'000ms));
    EXPECT_TRUE(finds_only(breach_kind::stale_order));
}

TEST_F(checker_test, finds_an_order_that_is_not_on_the_log)
{
    m_records.announced.pop_back();
    EXPECT_TRUE(finds_only(breach_kind::unannounced_order));
}

TEST_F(checker_test, finds_an_order_meant_for_another_engine)
{
    m_records.announced[1].endpoint = "engine-2";
    EXPECT_TRUE(finds_only(breach_kind::unannounced_order));
}

TEST_F(checker_test, finds_a_lower_offset_after_a_higher_one)
{
    show("control-1", 2'000ms, 1, "one");
    show("control-1", 2'100ms, 4, "two");
    EXPECT_TRUE(finds_only(breach_kind::reverted));
}

TEST_F(checker_test, finds_a_lower_offset_after_a_restart)
{
    show("control-1", 2'000ms, 0, "");
    show("control-1", 2'050ms, 1, "one");
    show("control-1", 2'100ms, 4, "two");
    EXPECT_TRUE(finds_only(breach_kind::reverted));
}

TEST_F(checker_test, finds_an_older_text_under_a_newer_offset)
{
    show("control-1", 2'000ms, 4, "one");
    EXPECT_TRUE(finds_only(breach_kind::wrong_text));
}

TEST_F(checker_test, finds_an_offset_that_is_no_edit)
{
    show("control-1", 2'000ms, 5, "two");
    EXPECT_TRUE(finds_only(breach_kind::wrong_text));
}

TEST_F(checker_test, finds_an_accepted_edit_that_is_gone)
{
    m_records.operators.push_back({"models", "three", edit_result::accepted, 6});
    EXPECT_TRUE(finds_only(breach_kind::lost_edit));
}

TEST_F(checker_test, finds_an_edit_that_overwrote_another)
{
    m_records.edits[1].changes[0].based_on_offset = 0;
    EXPECT_TRUE(finds_only(breach_kind::lost_edit));
}

TEST_F(checker_test, finds_an_edit_that_took_effect_twice)
{
    m_records.edits.push_back({9, "c", {{"models", 4, "two"}}, {1'100ms, 1'110ms}});
    show("control-1", 1'200ms, 9, "two");
    m_records.shown.push_back({"entry-1", 1'200ms, 9, std::nullopt});
    EXPECT_TRUE(finds_only(breach_kind::unwanted_edit));
}

TEST_F(checker_test, finds_a_copy_of_a_record_that_took_effect)
{
    m_records.edits[1].append_id = "a";
    EXPECT_TRUE(finds_only(breach_kind::unwanted_edit));
}

TEST_F(checker_test, finds_a_refused_edit_that_took_effect)
{
    m_records.operators[1].result = edit_result::refused;
    EXPECT_TRUE(finds_only(breach_kind::unwanted_edit));
}

TEST_F(checker_test, finds_a_process_that_never_has_the_last_edit_in_force)
{
    m_records.shown.pop_back();
    EXPECT_TRUE(finds_only(breach_kind::late));
}

TEST_F(checker_test, finds_a_process_that_has_it_in_force_too_late)
{
    m_records.shown.back().at = m_records.faults_ended + longest_lag + 1ms;
    EXPECT_TRUE(finds_only(breach_kind::late));
}

TEST_F(checker_test, finds_a_claim_while_the_holder_trusts_its_lease)
{
    m_records.leases.back() = claim(6, "second#1", 2'050ms);
    EXPECT_TRUE(finds_only(breach_kind::two_holders));
}

TEST_F(checker_test, finds_an_order_sent_long_after_a_successor_claimed_the_lease)
{
    orders()[1] = order("A", 2, 3'300ms);
    EXPECT_TRUE(finds_only(breach_kind::two_holders));
}

} // namespace
} // namespace cicadaport::faults
