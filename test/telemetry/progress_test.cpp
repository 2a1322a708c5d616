#include "cicadaport/telemetry/progress.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <prometheus/text_serializer.h>

namespace cicadaport::telemetry {
namespace {

using testing::HasSubstr;

TEST(progress_gauges_test, show_what_was_set_last)
{
    prometheus::Registry registry;
    progress_gauges gauges{registry};
    gauges.set({7, 5, std::chrono::milliseconds{100}});
    gauges.set({9, 8, std::chrono::milliseconds{250}});
    const auto text = prometheus::TextSerializer{}.Serialize(registry.Collect());
    EXPECT_THAT(text, HasSubstr("cicadaport_fold_offset 9\n"));
    EXPECT_THAT(text, HasSubstr("cicadaport_configuration_offset 8\n"));
    EXPECT_THAT(text, HasSubstr("cicadaport_log_contact_age_seconds 0.25\n"));
}

} // namespace
} // namespace cicadaport::telemetry
