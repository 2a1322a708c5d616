#include "cicadaport/relay/work_limit.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

#include <vector>

namespace cicadaport::relay {
namespace {

std::vector<protocol::process_status> entries_with_work(int entries, int endpoints)
{
    std::vector<protocol::process_status> out(static_cast<std::size_t>(entries));
    for (auto& status : out) {
        for (int i = 0; i < endpoints; ++i) {
            auto& work = *status.add_work();
            work.set_endpoint("engine-" + std::to_string(i));
            work.set_requests(3);
            work.set_prefill_tokens(4'000);
            work.set_decode_tokens(900);
        }
    }
    return out;
}

TEST(work_limit_test, todays_six_entries_are_told_in_full)
{
    auto statuses = entries_with_work(6, 18);
    limit_work(statuses);
    EXPECT_EQ(statuses.front().work_size(), 18);
    EXPECT_FALSE(is_work_left_out(statuses.front()));
}

TEST(work_limit_test, too_much_work_is_left_out_whole_and_marked)
{
    auto statuses = entries_with_work(410, 18);
    statuses.emplace_back();
    limit_work(statuses);
    std::size_t bytes = 0;
    for (const auto& status : statuses) {
        bytes += status.ByteSizeLong();
    }
    EXPECT_LE(bytes, most_work_bytes);
    EXPECT_TRUE(is_work_left_out(statuses.front()));
    EXPECT_FALSE(is_work_left_out(statuses.back())) << "it has none";
}

TEST(work_limit_test, what_was_left_out_stays_so_on_its_further_way)
{
    auto statuses = entries_with_work(410, 18);
    limit_work(statuses);
    limit_work(statuses);
    EXPECT_TRUE(is_work_left_out(statuses.front()));
}

} // namespace
} // namespace cicadaport::relay
