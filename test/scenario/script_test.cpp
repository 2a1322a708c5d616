#include "cicadaport/scenario/script.h"

#include "cicadaport/yaml/reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cicadaport::scenario {
namespace {

using ::testing::HasSubstr;
using std::chrono_literals::operator""ms;

std::string problems_of(const std::string& text)
{
    try {
        parse_script(text, "s.yaml");
    }
    catch (const yaml::document_error& error) {
        return error.what();
    }
    return {};
}

TEST(script_test, reads_steps_in_order_with_their_time_limits)
{
    const auto script = parse_script("promise: p\n"
                                     "deployment: saheli\n"
                                     "steps:\n"
                                     "  - kill: {process: entry-2}\n"
                                     "    within_ms: 700\n"
                                     "  - sleep: {ms: 5}\n",
                                     "s.yaml");
    ASSERT_EQ(script.steps.size(), 2);
    EXPECT_EQ(script.steps[0].name, "kill");
    EXPECT_EQ(script.steps[0].detail, "entry-2");
    EXPECT_EQ(script.steps[0].limit, 700ms);
    EXPECT_EQ(std::get<send_signal>(script.steps[0].what).signal, process_signal::kill);
    EXPECT_EQ(std::get<sleep_for>(script.steps[1].what).time, 5ms);
}

TEST(script_test, names_the_place_of_an_unknown_field)
{
    const auto problems = problems_of("promise: p\n"
                                      "deployment: saheli\n"
                                      "steps:\n"
                                      "  - kill: {process: entry-2, sig: 9}\n");
    EXPECT_THAT(problems, HasSubstr("s.yaml:4:30"));
    EXPECT_THAT(problems, HasSubstr("steps[0].kill.sig"));
}

TEST(script_test, refuses_a_step_with_two_actions)
{
    const auto problems = problems_of("promise: p\n"
                                      "deployment: saheli\n"
                                      "steps:\n"
                                      "  - kill: {process: entry-2}\n"
                                      "    sleep: {ms: 5}\n");
    EXPECT_THAT(problems, HasSubstr("exactly one action, found 2"));
}

TEST(script_test, lists_all_problems_at_once)
{
    const auto problems = problems_of("deployment: nowhere\n"
                                      "steps:\n"
                                      "  - sleep: {ms: -1}\n");
    EXPECT_THAT(problems, HasSubstr("promise"));
    EXPECT_THAT(problems, HasSubstr("nguyen_phat or saheli"));
    EXPECT_THAT(problems, HasSubstr("steps[0].sleep.ms"));
}

TEST(script_test, refuses_an_unknown_verdict)
{
    const auto problems = problems_of("promise: p\n"
                                      "deployment: saheli\n"
                                      "steps:\n"
                                      "  - expect_answers: {name: a, verdict: perhaps}\n");
    EXPECT_THAT(problems, HasSubstr("not_run or may_have_run or ran"));
}

} // namespace
} // namespace cicadaport::scenario
