// Runs every scenario of the folder scenarios/ against real processes.
#include "cicadaport/scenario/runner.h"
#include "cicadaport/yaml/reader.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <future>
#include <set>
#include <string_view>

namespace cicadaport::scenario {
namespace {

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? "." : value;
}

constexpr std::string_view deployments[] = {"nguyen_phat", "saheli"};

// Returns the names of the scenario files without their deployments.
std::set<std::string> scenario_names()
{
    std::set<std::string> out;
    for (const auto& each :
         std::filesystem::directory_iterator{environment("CICADAPORT_ROOT") + "/scenarios"}) {
        const auto name = each.path().stem().string();
        for (const auto deployment : deployments) {
            if (name.starts_with(deployment)) {
                out.insert(name.substr(deployment.size() + 1));
            }
        }
    }
    return out;
}

report run_file(const std::string& name)
{
    const auto root = environment("CICADAPORT_ROOT");
    const auto file = root + "/scenarios/" + name + ".yaml";
    const auto script = parse_script(yaml::read_file(file), file);
    return run(script, {root, environment("CICADAPORT_BIN")});
}

class scenario_file_test : public testing::TestWithParam<std::string> {};

// Both deployments at once: their scenarios share nothing.
TEST_P(scenario_file_test, holds_in_both_deployments)
{
    std::vector<std::future<report>> running;
    for (const auto deployment : deployments) {
        const auto name = std::string{deployment} + "_" + GetParam();
        running.push_back(std::async(std::launch::async, run_file, name));
    }
    for (auto& each : running) {
        const auto result = each.get();
        EXPECT_TRUE(result.passed()) << to_text(result);
    }
}

INSTANTIATE_TEST_SUITE_P(scenarios, scenario_file_test, testing::ValuesIn(scenario_names()),
                         [](const auto& each) { return each.param; });

} // namespace
} // namespace cicadaport::scenario
