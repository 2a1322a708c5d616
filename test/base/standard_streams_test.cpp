#include "cicadaport/base/standard_streams.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

namespace cicadaport::base {
namespace {

// The event loop of a host that was started with closed streams used descriptors 0 to 2.
TEST(standard_streams_test, a_descriptor_opened_later_is_not_a_standard_stream)
{
    const int kept_input = ::dup(STDIN_FILENO);
    ::close(STDIN_FILENO);
    open_closed_standard_streams();
    const int later = ::open("/dev/null", O_RDONLY);
    EXPECT_GT(later, STDERR_FILENO);
    ::close(later);
    ::dup2(kept_input, STDIN_FILENO);
    ::close(kept_input);
}

} // namespace
} // namespace cicadaport::base
