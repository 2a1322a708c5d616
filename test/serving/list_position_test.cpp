#include "cicadaport/serving/list_position.h"

#include <gtest/gtest.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;

const time_point start{1h};

TEST(list_position_test, has_no_age_before_the_first_read)
{
    EXPECT_EQ(list_position{}.age(start), std::nullopt);
    EXPECT_EQ(to_fields({}, start),
              "offset=0 told_end=0 age_ms=-1 read_by=nobody failures=0 asking_ms=-1 stated_end=0 "
              "generation=0");
}

TEST(list_position_test, is_as_old_as_the_time_at_which_the_view_was_current)
{
    list_position known;
    known.offset = 4;
    known.announced_end = 6;
    known.stated_end = 5;
    known.generation = 3;
    known.known_at = start;
    known.read_by = list_reader::other_host;
    known.failures = 2;
    known.call_started_at = start + 1s;
    EXPECT_EQ(known.age(start + 1'500ms), 1'500ms);
    EXPECT_EQ(
        to_fields(known, start + 1'500ms),
        "offset=4 told_end=6 age_ms=1500 read_by=other_host failures=2 asking_ms=500 stated_end=5 "
        "generation=3");
}

} // namespace
} // namespace cicadaport::serving
