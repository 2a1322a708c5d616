#include "cicadaport/http/health.h"

#include <gtest/gtest.h>

namespace cicadaport::http {
namespace {

health_source source(bool ready)
{
    return {[ready] { return ready; }, [] { return std::string{"metric 1\n"}; }};
}

TEST(health_test, a_process_that_is_not_ready_is_still_healthy)
{
    EXPECT_EQ(health_answer("/healthz", source(false))->status, 200U);
    EXPECT_EQ(health_answer("/readyz", source(false))->status, 503U);
    EXPECT_EQ(health_answer("/readyz", source(true))->status, 200U);
}

TEST(health_test, metrics_are_text_and_other_paths_are_left_to_others)
{
    EXPECT_EQ(health_answer("/metrics", source(true))->body, "metric 1\n");
    EXPECT_FALSE(health_answer("/v1/admin/processes", source(true)));
}

} // namespace
} // namespace cicadaport::http
