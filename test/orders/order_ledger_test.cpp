#include "cicadaport/history/fencing_token.h"
#include "cicadaport/orders/order_attempt.h"

#include <gtest/gtest.h>

namespace cicadaport::orders {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};
const engine_key engine{"e", 1};
const engine_key other_engine{"f", 2};

class order_ledger_test : public ::testing::Test {
protected:
    // Reads a list with one record for each engine.
    bool read(std::uint64_t generation, std::uint64_t offset, std::uint64_t other_offset,
              std::string_view value = "decode 6 host-1")
    {
        return ledger.begin_reading(generation, std::max(offset, other_offset) + 1) &&
               ledger.record_listed(engine, offset, value, now) &&
               ledger.record_listed(other_engine, other_offset, "decode", now) &&
               ledger.end_reading();
    }

    time_point now = start;
    order_ledger ledger;
};

TEST_F(order_ledger_test, an_engine_is_not_free_for_the_quiet_time_after_an_announcement)
{
    EXPECT_TRUE(ledger.can_announce(engine, start));
    ASSERT_TRUE(ledger.record_listed(engine, 4, "prefill", start));
    EXPECT_FALSE(ledger.can_announce(engine, start + 13s));
    EXPECT_TRUE(ledger.can_announce(engine, start + order_ledger::exclusive_period));
    EXPECT_TRUE(ledger.can_announce(other_engine, start));
}

TEST_F(order_ledger_test, a_repeated_announcement_does_not_extend_the_quiet_time)
{
    ASSERT_TRUE(ledger.record_listed(engine, 4, "prefill", start));
    ASSERT_TRUE(ledger.record_listed(engine, 4, "prefill", start + 10s));
    EXPECT_TRUE(ledger.can_announce(engine, start + order_ledger::exclusive_period));
    ASSERT_TRUE(ledger.record_listed(engine, 5, "decode", start + 20s));
    EXPECT_FALSE(ledger.can_announce(engine, start + 21s));
}

TEST_F(order_ledger_test, reports_the_stage_that_an_engine_may_be_changing_to)
{
    ASSERT_TRUE(ledger.record_listed(engine, 4, "prefill 5 host-1", start));
    EXPECT_EQ(ledger.changing_to(engine.id, start + 1s), "prefill");
    EXPECT_FALSE(ledger.changing_to(engine.id, start + order_ledger::stage_change_timeout));
}

TEST_F(order_ledger_test, orders_of_two_hosts_are_further_apart_than_a_lease)
{
    // The longest lease of the known deployments; one more second covers delivery on a
    // connection that was opened in time.
    constexpr auto lease = 3s;
    EXPECT_GT(order_ledger::exclusive_period, order_ledger::send_timeout + lease + 1s);
    // Orders without a response are carried out up to 12 s later.
    EXPECT_GT(order_ledger::exclusive_period, order_ledger::send_timeout + 12s);
}

TEST_F(order_ledger_test, a_list_that_goes_back_is_a_return)
{
    ASSERT_TRUE(read(0, 5, 7));
    EXPECT_TRUE(read(0, 5, 7));
    EXPECT_FALSE(read(0, 5, 6)) << "an older end";
    EXPECT_TRUE(read(1, 5, 6)) << "offsets of an earlier generation count no more";
    EXPECT_FALSE(read(1, 4, 8)) << "an older record of one engine";
}

TEST_F(order_ledger_test, another_record_at_a_known_offset_is_a_return)
{
    ASSERT_TRUE(read(0, 5, 7));
    EXPECT_FALSE(read(0, 5, 7, "decode 6 host-2"));
}

TEST_F(order_ledger_test, a_known_record_that_is_missing_is_a_return)
{
    ASSERT_TRUE(read(0, 5, 7));
    EXPECT_TRUE(ledger.begin_reading(0, 9));
    EXPECT_TRUE(ledger.record_listed(other_engine, 8, "decode", now));
    EXPECT_FALSE(ledger.end_reading());
}

// Regression: another record at a known offset did not begin a new exclusive period.
TEST_F(order_ledger_test, a_record_of_another_generation_excludes_anew_unless_it_is_the_same)
{
    ASSERT_TRUE(read(0, 5, 7));
    now += order_ledger::exclusive_period;
    EXPECT_TRUE(ledger.can_announce(engine, now));
    ASSERT_TRUE(read(1, 5, 7));
    EXPECT_TRUE(ledger.can_announce(engine, now)) << "the same token and holder";
    EXPECT_FALSE(ledger.can_announce(other_engine, now)) << "any record may say no more than that";
    ASSERT_TRUE(read(2, 5, 7, "decode 6 host-2"));
    EXPECT_FALSE(ledger.can_announce(engine, now));
}

TEST_F(order_ledger_test, tokens_and_heard_orders_outlast_a_return)
{
    ASSERT_TRUE(read(0, 5, 7));
    ledger.record_sent_order(engine.number, 40, now);
    ledger.record_sent_order(engine.number, history::max_fencing_token + 1, now);
    ASSERT_TRUE(read(1, 2, 3, "no announcement"));
    EXPECT_EQ(ledger.known_token(engine.number), 40U);
    EXPECT_EQ(ledger.known_token(other_engine.number), 8U) << "a record of an earlier build";
    now += order_ledger::exclusive_period;
    EXPECT_FALSE(ledger.has_heard_of_order(engine.number, now));
    EXPECT_TRUE(ledger.can_announce(engine, now));
}

TEST(announcement_test, is_read_as_written_and_earlier_builds_records_have_no_token)
{
    const auto read = parse_announcement(to_value({"decode", 42, "host 7"}));
    EXPECT_EQ(read.stage, "decode");
    EXPECT_EQ(read.token, 42U);
    EXPECT_EQ(read.holder, "host 7");
    for (const auto* odd : {"decode", "", "decode ", "decode 0 h", "decode -1 h", "decode 4",
                            "decode 99999999999999999999 h", "decode 9007199254740992 h"}) {
        EXPECT_FALSE(parse_announcement(odd).token) << odd;
    }
}

TEST(order_attempt_test, a_store_without_epoch_that_has_not_returned_delays_nothing)
{
    order_ledger ledger;
    history::store_history history;
    EXPECT_FALSE(order_attempt::check_begin(ledger, history, start));
    order_attempt attempt{ledger, history};
    EXPECT_FALSE(attempt.read({3, true, {}}, start));
    EXPECT_FALSE(attempt.announce({{engine, "decode", 0, {}}}, "host-1", start));
    EXPECT_EQ(attempt.planned().front().token, 4U);
    EXPECT_EQ(attempt.acknowledge(4, start), refusal::misplaced);
    EXPECT_FALSE(attempt.acknowledge(3, start));
    const auto& order = attempt.planned().front();
    EXPECT_FALSE(attempt.check_sending(order, start + 899ms));
    EXPECT_EQ(attempt.check_sending(order, start + 900ms), refusal::too_late);
    history.record_unannounced_return(start);
    EXPECT_EQ(attempt.check_sending(order, start), refusal::store_returned);
}

TEST(order_attempt_test, a_host_that_was_frozen_after_its_announcement_sends_nothing)
{
    order_ledger ledger;
    const history::store_history history;
    order_attempt attempt{ledger, history};
    EXPECT_FALSE(attempt.announce({{engine, "decode", 0, {}}}, "host-1", start));
    EXPECT_FALSE(attempt.acknowledge(0, start));
    const auto& order = attempt.planned().front();
    EXPECT_FALSE(attempt.check_sending(order, start + 800ms));
    EXPECT_EQ(attempt.check_sending(order, start + 5s), refusal::too_late);
}

TEST(order_attempt_test, the_list_is_read_once_in_the_time_in_which_nothing_is_announced)
{
    order_ledger ledger;
    history::store_history history;
    history.observe({true, 1}, start);
    EXPECT_FALSE(order_attempt::check_begin(ledger, history, start));
    EXPECT_EQ((order_attempt{ledger, history}.read({}, start)), refusal::recent_return);
    EXPECT_EQ(order_attempt::check_begin(ledger, history, start + 13'999ms),
              refusal::recent_return);
    EXPECT_FALSE(order_attempt::check_begin(ledger, history, start + 14s));
}

TEST(order_attempt_test, an_announcement_before_a_record_that_was_read_shows_a_return)
{
    order_ledger ledger;
    const history::store_history history;
    order_attempt attempt{ledger, history};
    // The record was appended after the list's end was read.
    EXPECT_FALSE(attempt.read({3, true, {{engine, 3, "decode 4 host-2"}}}, start));
    EXPECT_FALSE(attempt.announce({{engine, "decode", 0, {}}}, "host-1", start));
    EXPECT_EQ(attempt.acknowledge(3, start), refusal::list_contradicts);
}

TEST(order_attempt_test, no_order_is_announced_if_no_token_is_left_for_it)
{
    order_ledger ledger;
    history::store_history history;
    ledger.record_sent_order(engine.number, history::max_fencing_token, start - 1h);
    order_attempt attempt{ledger, history};
    EXPECT_EQ(attempt.announce({{engine, "decode", 0, {}}}, "host-1", start), refusal::no_token);
}

// Regression: a host that had started after a return knew no earlier token and repeated some.
TEST(order_attempt_test, a_host_that_was_told_of_a_return_waits_and_takes_a_larger_token)
{
    order_ledger ledger;
    history::store_history history;
    ASSERT_TRUE(history.record_return_elsewhere(start - 1s));
    ledger.record_largest_token(40);
    order_attempt early{ledger, history};
    EXPECT_EQ(early.read({3, true, {}}, start), refusal::recent_return);
    const auto later = start + order_ledger::exclusive_period;
    order_attempt attempt{ledger, history};
    ASSERT_FALSE(attempt.read({3, true, {}}, later));
    planned_order order;
    order.engine = engine;
    order.stage = "decode";
    ASSERT_FALSE(attempt.announce({order}, "host-2", later));
    EXPECT_GT(attempt.planned().front().token, 40U);
    ASSERT_FALSE(attempt.acknowledge(3, later));
    EXPECT_FALSE(attempt.check_sending(attempt.planned().front(), later));
}

} // namespace
} // namespace cicadaport::orders
