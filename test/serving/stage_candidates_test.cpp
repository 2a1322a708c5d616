#include "cicadaport/serving/stage_candidates.h"

#include <gmock/gmock.h>

namespace cicadaport::serving {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::SizeIs;

stage_candidate candidate(const std::string& id, const std::string& version, double cost)
{
    endpoint_report report;
    report.id = id;
    report.service = "s";
    report.version = version;
    return {std::make_shared<endpoint>(report), cost};
}

std::vector<endpoint_pointer> engines_of(const std::vector<stage_candidate>& candidates)
{
    std::vector<endpoint_pointer> out;
    for (const auto& each : candidates) {
        out.push_back(each.engine);
    }
    return out;
}

std::vector<std::string> ids(const std::vector<endpoint_pointer>& engines)
{
    std::vector<std::string> out;
    for (const auto& each : engines) {
        out.push_back(each->report.id);
    }
    return out;
}

TEST(stage_candidates_test, of_one_version_the_engines_with_the_least_work_change)
{
    const std::vector<stage_candidate> all{candidate("a", "v1", 3), candidate("b", "v1", 1),
                                           candidate("c", "v1", 2)};
    EXPECT_THAT(ids(choose_engines_to_change(all, engines_of(all), engine_stage::prefill, 2)),
                ElementsAre("b", "c"));
    EXPECT_THAT(choose_engines_to_change(all, engines_of(all), engine_stage::prefill, 9),
                SizeIs(3));
}

// All engines of the old version became prefill engines, and its streams could not continue.
TEST(stage_candidates_test, a_version_keeps_decode_engines_while_several_serve)
{
    const std::vector<stage_candidate> all{candidate("a", "v1", 1), candidate("b", "v1", 1),
                                           candidate("c", "v1", 1), candidate("d", "v2", 5),
                                           candidate("e", "v2", 5), candidate("f", "v2", 5)};
    const auto chosen =
        choose_engines_to_change(all, engines_of(all), engine_stage::prefill, all.size());
    std::map<std::string, std::size_t> changed;
    for (const auto& each : chosen) {
        ++changed[each->report.version];
    }
    EXPECT_EQ(changed["v1"], 1U);
    EXPECT_EQ(changed["v2"], 1U);
}

TEST(stage_candidates_test, the_version_with_the_most_decode_engines_gives_them_away_first)
{
    const std::vector<stage_candidate> all{candidate("a", "v1", 1), candidate("b", "v1", 1),
                                           candidate("c", "v1", 1), candidate("d", "v2", 5),
                                           candidate("e", "v2", 6), candidate("f", "v2", 7),
                                           candidate("g", "v2", 8)};
    EXPECT_THAT(ids(choose_engines_to_change(all, engines_of(all), engine_stage::prefill, 1)),
                ElementsAre("d"));
}

TEST(stage_candidates_test, the_version_with_the_fewest_decode_engines_gets_them_first)
{
    const std::vector<stage_candidate> prefilling{candidate("a", "v1", 1), candidate("b", "v2", 9)};
    const auto decoding = engines_of({candidate("c", "v1", 0), candidate("d", "v1", 0)});
    EXPECT_THAT(ids(choose_engines_to_change(prefilling, decoding, engine_stage::decode, 1)),
                ElementsAre("b"));
}

TEST(stage_candidates_test, without_candidates_no_engine_changes)
{
    EXPECT_THAT(choose_engines_to_change({}, {}, engine_stage::prefill, 3), IsEmpty());
}

} // namespace
} // namespace cicadaport::serving
