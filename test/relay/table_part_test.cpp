#include "cicadaport/relay/table_part.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

#include <algorithm>

namespace cicadaport::relay {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::steady_clock::time_point start{1h};
constexpr std::size_t letter_log_readers = 6;
constexpr int letter_processes = 820;
// What an entry process may spend on control of every kind.
constexpr std::size_t bytes_per_second_limit = 29'000;

std::vector<protocol::process_status> processes(int count)
{
    std::vector<protocol::process_status> out(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        auto& status = out[static_cast<std::size_t>(i)];
        status.set_id("process-" + std::to_string(i));
        status.set_kind(i % 2 == 0 ? "control" : "entry");
        status.set_address("127.0.0.1:20010");
        status.set_availability_zone("zone-1");
        status.set_offset_in_force(1'000'000);
        status.set_reads_log(i < static_cast<int>(letter_log_readers));
    }
    return out;
}

class table_part_test : public testing::Test {
protected:
    std::size_t told(const table_reader& reader, int count, std::chrono::milliseconds after)
    {
        return m_part.choose(reader, processes(count), start + after).size();
    }

    table_part m_part;
    const table_reader m_entry{"entry", true, true};
    const table_reader m_looking_entry{"looking entry", true, false};
    const table_reader m_control{"control", false, true};
};

TEST_F(table_part_test, todays_twelve_processes_are_told_to_all_every_time)
{
    for (const auto& reader : {m_entry, m_looking_entry, m_control}) {
        EXPECT_EQ(told(reader, 12, 0s), 12U);
        EXPECT_EQ(told(reader, 12, 1s), 12U);
    }
}

TEST_F(table_part_test, an_entry_that_follows_gets_a_large_table_at_first_and_then_now_and_then)
{
    EXPECT_EQ(told(m_entry, letter_processes, 0s), letter_processes);
    EXPECT_EQ(told(m_entry, letter_processes, 1s), letter_log_readers);
    EXPECT_EQ(told(m_entry, letter_processes, table_part::whole_interval), letter_processes);
}

TEST_F(table_part_test, an_entry_gets_a_large_table_without_what_callers_ask_for)
{
    auto known = processes(letter_processes);
    known.back().add_offered()->set_model("model-0");
    EXPECT_EQ(m_part.choose(m_control, known, start).back().offered_size(), 1);
    EXPECT_EQ(m_part.choose(m_entry, known, start).back().offered_size(), 0);
}

TEST_F(table_part_test, an_entry_that_only_looks_gets_the_readers_of_the_log)
{
    EXPECT_EQ(told(m_looking_entry, letter_processes, 0s), letter_log_readers);
}

TEST_F(table_part_test, a_control_process_gets_everything)
{
    EXPECT_EQ(told(m_control, letter_processes, 0s), letter_processes);
    EXPECT_EQ(told(m_control, letter_processes, 1s), letter_processes);
}

TEST_F(table_part_test, one_follower_takes_nothing_from_another)
{
    told(m_entry, letter_processes, 0s);
    EXPECT_EQ(told({"other entry", true, true}, letter_processes, 0s), letter_processes);
}

TEST_F(table_part_test, tables_of_the_letters_size_leave_an_entry_most_of_its_limit)
{
    constexpr auto watched = 60s;
    std::size_t bytes = 0;
    for (auto after = 0s; after < watched; after += table_part::interval) {
        for (const auto& each :
             m_part.choose(m_entry, processes(letter_processes), start + after)) {
            bytes += each.ByteSizeLong();
        }
    }
    EXPECT_LE(bytes / static_cast<std::size_t>(watched.count()), bytes_per_second_limit / 5);
}

TEST_F(table_part_test, nobody_is_told_more_often_than_once_a_second)
{
    EXPECT_TRUE(m_part.is_due(m_control, start));
    EXPECT_FALSE(m_part.is_due(m_control, start + 999ms));
    EXPECT_TRUE(m_part.is_due(m_control, start + 1s));
}

} // namespace
} // namespace cicadaport::relay
