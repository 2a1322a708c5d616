#include "cicadaport/membership/watchers.h"

#include <gtest/gtest.h>

#include <memory>
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

std::shared_ptr<const configuration::document> document_of(int endpoints)
{
    auto out = std::make_shared<configuration::document>();
    for (int i = 0; i < endpoints; ++i) {
        out->endpoints.emplace_back().name = "e" + std::to_string(i);
    }
    return out;
}

std::size_t watched_by(watcher_ranks& ranks,
                       const std::shared_ptr<const configuration::document>& document,
                       const names& processes)
{
    std::size_t count = 0;
    for (const auto& rank : ranks.update(document, processes)) {
        count += rank ? 1 : 0;
    }
    return count;
}

TEST(watchers_test, kept_ranks_follow_processes_that_come_and_go)
{
    constexpr int endpoints = 40;
    const auto document = document_of(endpoints);
    watcher_ranks ranks{"a"};
    EXPECT_EQ(watched_by(ranks, document, {"a", "b"}), endpoints);
    EXPECT_LT(watched_by(ranks, document, {"a", "b", "c", "d"}), endpoints);
    EXPECT_EQ(watched_by(ranks, document, {"a", "d"}), endpoints) << "two ended";
}

TEST(watchers_test, kept_ranks_follow_the_endpoints)
{
    watcher_ranks ranks{"a"};
    EXPECT_EQ(watched_by(ranks, document_of(3), {"a"}), 3U);
    EXPECT_EQ(watched_by(ranks, document_of(5), {"a"}), 5U);
}

} // namespace
} // namespace cicadaport::membership
