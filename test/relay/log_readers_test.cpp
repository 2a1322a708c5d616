#include "cicadaport/relay/log_readers.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

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

TEST(log_readers_test, ranks_live_control_processes_alone)
{
    std::vector known{control("a", "z1"), control("b", "z2"), control("c", "z1")};
    known[0].set_kind("entry");
    EXPECT_EQ(rank_of("c", known), 1U);
}

} // namespace
} // namespace cicadaport::relay
