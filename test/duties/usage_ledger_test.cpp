#include "cicadaport/duties/usage_ledger.h"

#include <gmock/gmock.h>

namespace cicadaport::duties {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::Pair;

constexpr time_point start{std::chrono::hours{5}};
// The beginning of window 1000.
constexpr time_of_day true_start{5'000s};

class usage_ledger_test : public ::testing::Test {
protected:
    usage_ledger_test()
    {
        ledger.enable(5s);
        ledger.clock().update(true_start, start);
    }

    usage_ledger ledger;
};

TEST_F(usage_ledger_test, runs_count_in_the_window_in_which_they_began)
{
    ledger.record_run("a", start);
    ledger.record_run("a", start + 4'999ms);
    ledger.record_run("b", start + 5s);
    ledger.record_run("a", start - 1ms);
    EXPECT_THAT(ledger.total(1'000), ElementsAre(Pair("a", 2)));
    EXPECT_THAT(ledger.total(1'001), ElementsAre(Pair("b", 1)));
    EXPECT_THAT(ledger.total(999), ElementsAre(Pair("a", 1)));
    EXPECT_EQ(ledger.end_of(1'000), true_start + 5s);
}

// Deployments without accounts or without the duty must not pay for it.
TEST_F(usage_ledger_test, nothing_is_counted_without_an_account_or_while_not_enabled)
{
    ledger.record_run("", start);
    EXPECT_THAT(ledger.own_counts(), IsEmpty());
    usage_ledger disabled;
    disabled.clock().update(true_start, start);
    disabled.record_run("a", start);
    EXPECT_THAT(disabled.own_counts(), IsEmpty());
}

// Guards against counts that are added twice when announcements are repeated or reordered.
TEST_F(usage_ledger_test, repeated_and_reordered_announcements_count_once)
{
    EXPECT_EQ(ledger.record_announced(7, 1'000, {{"a", 3}, {"b", 1}}, true_start), 4U);
    EXPECT_EQ(ledger.record_announced(7, 1'000, {{"a", 5}}, true_start), 6U);
    EXPECT_EQ(ledger.record_announced(7, 1'000, {{"a", 3}, {"b", 1}}, true_start), 6U);
    EXPECT_EQ(ledger.record_announced(8, 1'000, {{"a", 2}}, true_start), 2U);
    ledger.record_run("b", start);
    EXPECT_THAT(ledger.total(1'000), ElementsAre(Pair("a", 7), Pair("b", 2)));
    EXPECT_EQ(ledger.host_count(1'000), 3U);
}

TEST_F(usage_ledger_test, a_window_is_announced_until_the_recipient_knows_all_its_runs)
{
    EXPECT_FALSE(ledger.must_announce(1'000, 7));
    ledger.record_run("a", start);
    ledger.record_run("b", start);
    EXPECT_TRUE(ledger.must_announce(1'000, 7));
    ledger.handle_receipt(7, 1'000, 1);
    EXPECT_TRUE(ledger.must_announce(1'000, 7));
    ledger.handle_receipt(7, 1'000, 2);
    EXPECT_FALSE(ledger.must_announce(1'000, 7));
    EXPECT_TRUE(ledger.must_announce(1'000, 8));
    ledger.record_run("a", start + 1s);
    EXPECT_TRUE(ledger.must_announce(1'000, 7));
}

// Guards against memory that grows with windows that are never reported.
TEST_F(usage_ledger_test, closed_and_far_windows_are_not_taken)
{
    ledger.record_run("a", start);
    ledger.record_announced(7, 1'000, {{"a", 3}}, true_start);
    ledger.close(1'000);
    EXPECT_THAT(ledger.total(1'000), IsEmpty());
    EXPECT_FALSE(ledger.record_announced(7, 1'000, {{"a", 4}}, true_start));
    EXPECT_FALSE(ledger.record_announced(7, 2'000, {{"a", 4}}, true_start));
    ledger.record_run("a", start);
    EXPECT_EQ(ledger.late_runs(), 1U);
    EXPECT_THAT(ledger.own_counts(), IsEmpty());
}

// Guards against runs that change their account with the configuration.
TEST_F(usage_ledger_test, runs_keep_the_name_with_which_they_started)
{
    ledger.record_run("before", start);
    ledger.record_run("after", start + 1s);
    ledger.record_announced(7, 1'000, {{"before", 2}}, true_start);
    EXPECT_THAT(ledger.total(1'000), ElementsAre(Pair("after", 1), Pair("before", 3)));
}

TEST_F(usage_ledger_test, accounts_are_told_apart_after_all_windows_were_closed)
{
    ledger.record_announced(7, 1'000, {{"a", 3}, {"b", 4}}, true_start);
    ledger.close(1'000);
    ledger.record_announced(7, 1'001, {{"b", 5}}, true_start);
    ledger.record_announced(8, 1'001, {{"a", 6}}, true_start);
    EXPECT_THAT(ledger.total(1'001), ElementsAre(Pair("a", 6), Pair("b", 5)));
}

} // namespace
} // namespace cicadaport::duties
