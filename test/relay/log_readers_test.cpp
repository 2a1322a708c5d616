#include "cicadaport/relay/log_readers.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

#include <algorithm>
#include <vector>

namespace cicadaport::relay {
namespace {

protocol::process_status control(const std::string& id, const std::string& zone)
{
    protocol::process_status out;
    out.set_id(id);
    out.set_kind("control");
    out.set_availability_zone(zone);
    out.set_reads_log(true);
    out.set_log_age_ms(10);
    return out;
}

TEST(log_readers_test, one_process_in_each_zone_reads_the_log)
{
    const std::vector known{control("a", "z1"), control("b", "z1"), control("c", "z2")};
    EXPECT_TRUE(should_read_log("a", "z1", known));
    EXPECT_FALSE(should_read_log("b", "z1", known));
    EXPECT_TRUE(should_read_log("c", "z2", known));
}

TEST(log_readers_test, the_next_takes_over_from_a_silent_reader)
{
    std::vector known{control("a", "z1"), control("b", "z1")};
    known[0].set_age_ms(static_cast<std::uint32_t>(live_age.count()));
    EXPECT_TRUE(should_read_log("b", "z1", known));
    EXPECT_EQ(rank_of("b", known), 0U);
}

TEST(log_readers_test, the_next_takes_over_from_a_reader_that_is_cut_off_from_the_log)
{
    std::vector known{control("a", "z1"), control("b", "z1")};
    known[0].set_log_age_ms(static_cast<std::uint32_t>(longest_log_silence.count()));
    EXPECT_TRUE(should_read_log("b", "z1", known));
    EXPECT_TRUE(should_read_log("a", "z1", known)) << "the first goes on trying";
}

// How many of a zone's processes read the log when it last answered the first
// so long ago and the others never.
std::ptrdiff_t readers_after(std::chrono::milliseconds silence)
{
    constexpr int letter_processes_in_a_zone = 68;
    std::vector<protocol::process_status> known;
    for (int i = 0; i < letter_processes_in_a_zone; ++i) {
        auto& each = known.emplace_back(control("control-" + std::to_string(100 + i), "z1"));
        each.set_reads_log(false);
        each.set_log_age_ms(i == 0 ? static_cast<std::uint32_t>(silence.count()) : 0);
    }
    return std::count_if(known.begin(), known.end(),
                         [&](const auto& each) { return should_read_log(each.id(), "z1", known); });
}

TEST(log_readers_test, in_an_outage_they_join_one_by_one_and_ever_more_slowly)
{
    EXPECT_EQ(readers_after(longest_log_silence), 2) << "the next takes over as soon as before";
    EXPECT_EQ(readers_after(longest_log_silence + std::chrono::seconds{2}), 3);
    EXPECT_LE(readers_after(std::chrono::hours{1}), 12);
    EXPECT_GT(readers_after(std::chrono::hours{1}), readers_after(std::chrono::minutes{1}));
}

TEST(log_readers_test, all_try_a_log_that_has_never_answered)
{
    std::vector known{control("a", "z1"), control("b", "z1"), control("c", "z1")};
    for (auto& each : known) {
        each.set_reads_log(false);
        each.set_log_age_ms(0);
    }
    EXPECT_TRUE(should_read_log("c", "z1", known));
}

TEST(log_readers_test, ranks_live_control_processes_alone)
{
    std::vector known{control("a", "z1"), control("b", "z2"), control("c", "z1")};
    known[0].set_kind("entry");
    EXPECT_EQ(rank_of("c", known), 1U);
}

} // namespace
} // namespace cicadaport::relay
