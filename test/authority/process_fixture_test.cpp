#include "authority/process_fixture.h"

#include <gtest/gtest.h>

namespace cicadaport::authority::testing {
namespace {

TEST(process_fixture_test, a_stopped_child_is_seen_as_stopped_and_a_killed_one_as_ended)
{
    child_process child{"cicadaport-standin-log", {}, {}, "/dev/null"};
    child.signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return child.is_stopped(); }));
    child.signal(SIGKILL);
    EXPECT_TRUE(eventually([&] { return child.has_ended(); }));
}

} // namespace
} // namespace cicadaport::authority::testing
