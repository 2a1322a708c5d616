#include "cicadaport/history/announced_page.h"

#include <gmock/gmock.h>

namespace cicadaport::history {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};

class announced_page_test : public ::testing::Test {
protected:
    announced_page_test()
    {
        known.epoch = 3;
        known.offset = 10;
        known.last_record = 0xaaU;
        known.known_at = start;
        page.epoch = 3;
        page.from = 10;
        page.to = 12;
        page.end = 12;
        page.record_before = 0xaaU;
        page.last_record = 0xccU;
        page.read_at = start + 1s;
    }

    // Turns the page into one that announces the end of the list and no records.
    void announce_only_end(std::uint64_t end, record_digest last)
    {
        page.from = page.to = page.end = end;
        page.record_before = page.last_record = last;
    }

    known_part known;
    announced_part page;
};

TEST_F(announced_page_test, continues_at_the_known_record)
{
    EXPECT_EQ(relate(known, page), page_relation::continues);
}

TEST_F(announced_page_test, a_page_of_an_ended_history_is_outdated)
{
    page.epoch = 2;
    EXPECT_EQ(relate(known, page), page_relation::outdated);
}

TEST_F(announced_page_test, a_page_without_an_epoch_is_outdated_where_the_store_states_one)
{
    page.epoch.reset();
    EXPECT_EQ(relate(known, page), page_relation::outdated);
}

TEST_F(announced_page_test, a_page_of_a_later_history_contradicts)
{
    page.epoch = 4;
    EXPECT_EQ(relate(known, page), page_relation::contradicts);
}

TEST_F(announced_page_test, without_epochs_another_record_at_the_same_offset_contradicts)
{
    known.epoch.reset();
    page.epoch.reset();
    page.record_before = 0xbbU;
    EXPECT_EQ(relate(known, page), page_relation::contradicts);
}

TEST_F(announced_page_test, a_list_of_the_same_length_with_another_last_record_contradicts)
{
    announce_only_end(10, 0xbbU);
    EXPECT_EQ(relate(known, page), page_relation::contradicts);
}

TEST_F(announced_page_test, an_overlapping_record_that_differs_contradicts)
{
    page.from = 8;
    page.record_before = 0x11U;
    page.overlap = 0xbbU;
    EXPECT_EQ(relate(known, page), page_relation::contradicts);
    page.overlap = 0xaaU;
    EXPECT_EQ(relate(known, page), page_relation::continues);
}

TEST_F(announced_page_test, a_list_that_ends_before_known_records_contradicts_if_it_was_read_later)
{
    announce_only_end(9, 0x11U);
    EXPECT_EQ(relate(known, page), page_relation::contradicts);
    page.read_at = start + max_announcement_delay;
    EXPECT_EQ(relate(known, page), page_relation::continues)
        << "the other host may have read it earlier";
}

TEST_F(announced_page_test, records_that_one_host_does_not_know_contradict_nothing)
{
    known.last_record.reset();
    page.record_before = 0xbbU;
    EXPECT_EQ(relate(known, page), page_relation::continues);
}

} // namespace
} // namespace cicadaport::history
