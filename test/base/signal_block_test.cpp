#include "cicadaport/base/signal_block.h"

#include <gtest/gtest.h>

namespace cicadaport::base {
namespace {

volatile ::sig_atomic_t handled = 0;

// A SIGHUP during the start ended the host.
TEST(signal_block_test, a_signal_before_its_handler_is_installed_is_handled_afterwards)
{
    handled = 0;
    signal_block start{SIGHUP};
    ::raise(SIGHUP);
    struct ::sigaction wanted {};
    wanted.sa_handler = [](int) { handled = handled + 1; };
    struct ::sigaction before {};
    ::sigaction(SIGHUP, &wanted, &before);
    EXPECT_EQ(handled, 0);
    start.release();
    EXPECT_EQ(handled, 1);
    ::raise(SIGHUP);
    EXPECT_EQ(handled, 2) << "no longer held back";
    ::sigaction(SIGHUP, &before, nullptr);
}

} // namespace
} // namespace cicadaport::base
