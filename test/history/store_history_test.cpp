#include "cicadaport/history/store_history.h"

#include <gmock/gmock.h>

#include <limits>

namespace cicadaport::history {
namespace {

using namespace std::chrono_literals;
using relation = store_history::relation;

const time_point start{1h};

epoch_statement stating(std::uint64_t epoch)
{
    return {true, epoch};
}

TEST(store_history_test, the_first_epoch_is_no_return)
{
    store_history history;
    EXPECT_EQ(history.observe(stating(7), start), relation::current);
    EXPECT_EQ(history.generation(), 0U);
    EXPECT_EQ(history.known_since(), start);
}

TEST(store_history_test, a_higher_epoch_is_a_return)
{
    store_history history;
    int returns = 0;
    const auto subscribed = history.on_return([&] { ++returns; });
    history.observe(stating(1), start);
    EXPECT_EQ(history.observe(stating(2), start + 5s), relation::newer);
    EXPECT_EQ(history.observe(stating(2), start + 6s), relation::current);
    EXPECT_EQ(history.generation(), 1U);
    EXPECT_EQ(history.epoch(), 2U);
    EXPECT_EQ(history.known_since(), start + 5s);
    EXPECT_EQ(returns, 1);
}

TEST(store_history_test, an_answer_of_an_earlier_epoch_changes_nothing)
{
    store_history history;
    history.observe(stating(4), start);
    EXPECT_EQ(history.observe(stating(3), start + 1s), relation::older);
    EXPECT_EQ(history.observe(stating(0), start + 1s), relation::older);
    EXPECT_EQ(history.epoch(), 4U);
    EXPECT_EQ(history.generation(), 0U);
}

TEST(store_history_test, an_answer_without_a_usable_epoch_keeps_the_last_one)
{
    store_history history;
    history.observe(stating(4), start);
    EXPECT_EQ(history.observe({}, start), relation::unknown);
    EXPECT_EQ(history.observe({true, std::nullopt}, start), relation::unknown);
    EXPECT_EQ(history.epoch(), 4U);
    EXPECT_EQ(history.generation(), 0U);
}

TEST(store_history_test, a_store_without_epochs_that_has_not_returned_has_one_history)
{
    store_history history;
    EXPECT_EQ(history.observe({}, start), relation::unknown);
    EXPECT_FALSE(history.epoch());
    EXPECT_FALSE(history.known_since());
}

TEST(store_history_test, the_first_epoch_after_answers_without_one_is_a_return)
{
    store_history history;
    history.observe({}, start);
    EXPECT_EQ(history.observe(stating(1), start + 1s), relation::newer);
    EXPECT_EQ(history.generation(), 1U);
}

TEST(store_history_test, an_epoch_that_stays_lower_is_believed_at_last)
{
    store_history history;
    history.observe(stating(3), start);
    history.observe(stating(99), start);
    EXPECT_EQ(history.observe(stating(3), start + 1s), relation::older);
    EXPECT_EQ(history.observe(stating(3), start + 3s), relation::older);
    EXPECT_EQ(history.observe(stating(3), start + 4s), relation::newer);
    EXPECT_EQ(history.epoch(), 3U);
    EXPECT_EQ(history.generation(), 2U);
}

TEST(store_history_test, late_answers_of_an_earlier_epoch_among_others_are_not_believed)
{
    store_history history;
    history.observe(stating(4), start);
    for (int second = 0; second < 10; ++second) {
        const auto now = start + std::chrono::seconds{second};
        EXPECT_EQ(history.observe(stating(3), now), relation::older);
        EXPECT_EQ(history.observe(stating(4), now), relation::current);
    }
    EXPECT_EQ(history.generation(), 0U);
}

TEST(store_history_test, an_unannounced_return_begins_a_generation)
{
    store_history history;
    int returns = 0;
    const auto subscribed = history.on_return([&] { ++returns; });
    history.record_unannounced_return(start);
    EXPECT_EQ(history.generation(), 1U);
    EXPECT_EQ(history.known_since(), start);
    EXPECT_FALSE(history.epoch());
    EXPECT_EQ(returns, 1);
}

TEST(store_history_test, a_subscription_that_has_ended_is_not_called)
{
    store_history history;
    int returns = 0;
    static_cast<void>(history.on_return([&] { ++returns; }));
    history.record_unannounced_return(start);
    EXPECT_EQ(returns, 0);
}

TEST(store_history_test, the_largest_epoch_is_accepted)
{
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    store_history history;
    history.observe(stating(largest - 1), start);
    EXPECT_EQ(history.observe(stating(largest), start), relation::newer);
}

TEST(store_history_test, a_return_that_another_host_learned_of_counts_if_it_is_later)
{
    store_history history;
    EXPECT_TRUE(history.record_return_elsewhere(start));
    EXPECT_EQ(history.known_since(), start);
    EXPECT_EQ(history.generation(), 0U) << "this process has read nothing of the ended history";
    EXPECT_FALSE(history.record_return_elsewhere(start + store_history::max_news_delay));
    EXPECT_EQ(history.known_since(), start) << "the same return, or news that took its time";
    EXPECT_TRUE(history.record_return_elsewhere(start + 10s));
}

// Regression: a host that had been cut off noticed a return late, and the others rejected requests
// without a route once more.
TEST(store_history_test, news_of_a_host_that_noticed_a_return_late_begin_no_return)
{
    store_history history;
    history.record_unannounced_return(start);
    EXPECT_TRUE(history.record_return_elsewhere(start + 4s));
    EXPECT_EQ(history.last_return(), start);
    EXPECT_EQ(history.known_since(), start + 4s);
}

} // namespace
} // namespace cicadaport::history
