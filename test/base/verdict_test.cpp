#include "cicadaport/base/verdict.h"

#include <gtest/gtest.h>

namespace cicadaport::base {
namespace {

TEST(verdict_test, a_request_that_was_not_run_may_always_be_sent_again)
{
    EXPECT_TRUE(may_retry(verdict::not_run, true));
    EXPECT_TRUE(may_retry(verdict::not_run, false));
}

TEST(verdict_test, a_request_that_may_have_run_is_sent_again_only_if_idempotent)
{
    EXPECT_TRUE(may_retry(verdict::may_have_run, true));
    EXPECT_FALSE(may_retry(verdict::may_have_run, false));
}

TEST(verdict_test, a_request_that_ran_is_never_sent_again)
{
    EXPECT_FALSE(may_retry(verdict::ran, true));
    EXPECT_FALSE(may_retry(verdict::ran, false));
}

} // namespace
} // namespace cicadaport::base
