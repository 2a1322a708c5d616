#include "cicadaport/membership/watchers.h"

#include <gtest/gtest.h>

#include <vector>

namespace cicadaport::membership {
namespace {

using names = std::vector<std::string>;

std::size_t watchers_of(const std::string& endpoint, const names& processes)
{
    std::size_t count = 0;
    for (const auto& each : processes) {
        count += watcher_rank(endpoint, each, processes) ? 1 : 0;
    }
    return count;
}

TEST(watchers_test, each_endpoint_has_two_watchers_however_many_processes_there_are)
{
    EXPECT_EQ(watchers_of("e", {"a", "b", "c", "d", "e", "f"}), watchers_per_endpoint);
}

TEST(watchers_test, a_process_on_its_own_watches_everything)
{
    EXPECT_EQ(watcher_rank("e", "a", names{"a"}), 0U);
    EXPECT_EQ(watcher_rank("e", "a", names{}), 0U) << "it has not heard of itself yet";
}

TEST(watchers_test, when_the_first_watcher_ends_the_second_takes_its_place)
{
    names processes{"a", "b", "c", "d"};
    const auto ranked = [&](std::size_t rank) {
        for (const auto& each : processes) {
            if (watcher_rank("e", each, processes) == rank) {
                return each;
            }
        }
        return std::string{};
    };
    const auto second = ranked(1);
    std::erase(processes, ranked(0));
    EXPECT_EQ(ranked(0), second);
}

} // namespace
} // namespace cicadaport::membership
