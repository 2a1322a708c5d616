// Checks that docs/PROOFS.md names only tests that exist and leaves no promise
// and no fault out.
#include "cicadaport/yaml/reader.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <regex>
#include <set>
#include <string>
#include <vector>

namespace {

using cicadaport::yaml::read_file;

std::string root()
{
    const char* value = std::getenv("CICADAPORT_ROOT");
    return value == nullptr ? "." : value;
}

// Returns all matches of a group in a text.
std::vector<std::string> matches(const std::string& text, const std::regex& pattern, int group)
{
    std::vector<std::string> out;
    for (std::sregex_iterator it{text.begin(), text.end(), pattern}, end; it != end; ++it) {
        out.push_back((*it)[group]);
    }
    return out;
}

// Returns "suite.name" of every test in the tree.
std::set<std::string> tests_in_tree()
{
    const std::regex pattern{R"((?:TEST|TEST_F|TEST_P)\(\s*(\w+),\s*(\w+)\))"};
    std::set<std::string> out;
    for (const auto& each : std::filesystem::recursive_directory_iterator{root() + "/test"}) {
        if (each.path().extension() != ".cpp") {
            continue;
        }
        const auto text = read_file(each.path().string());
        for (std::sregex_iterator it{text.begin(), text.end(), pattern}, end; it != end; ++it) {
            out.insert((*it)[1].str() + "." + (*it)[2].str());
        }
    }
    return out;
}

// Returns the cells of the row that begins with `id`; empty if there is none.
std::vector<std::string> row(const std::string& page, const std::string& id)
{
    const auto start = page.find("\n| " + id + " ");
    if (start == std::string::npos) {
        return {};
    }
    const auto line = page.substr(start + 1, page.find('\n', start + 1) - start - 1);
    return matches(line, std::regex{R"(\|\s*([^|]*[^|\s])\s*(?=\|))"}, 1);
}

class proofs_test : public testing::Test {
protected:
    std::string m_page = read_file(root() + "/docs/PROOFS.md");
};

TEST_F(proofs_test, every_named_test_exists)
{
    const auto known = tests_in_tree();
    const auto named = matches(m_page, std::regex{R"(`(\w+_test\.\w+)`)"}, 1);
    EXPECT_FALSE(named.empty());
    for (const auto& each : named) {
        EXPECT_TRUE(known.contains(each)) << each;
    }
}

TEST_F(proofs_test, every_named_scenario_exists)
{
    const auto named = matches(m_page, std::regex{R"(`scenarios/([\w*]+)\.yaml`)"}, 1);
    EXPECT_FALSE(named.empty());
    for (const auto& each : named) {
        EXPECT_TRUE(std::filesystem::exists(root() + "/scenarios/" + each + ".yaml")) << each;
    }
}

TEST_F(proofs_test, every_scenario_is_named)
{
    for (const auto& each : std::filesystem::directory_iterator{root() + "/scenarios"}) {
        const auto file = "scenarios/" + each.path().filename().string();
        EXPECT_NE(m_page.find("`" + file + "`"), std::string::npos) << file;
    }
}

TEST_F(proofs_test, every_promise_and_every_fault_has_a_whole_row)
{
    constexpr int promises = 9;
    constexpr int faults = 12;
    constexpr std::size_t columns = 7;
    for (int i = 1; i <= promises; ++i) {
        EXPECT_EQ(row(m_page, "P" + std::to_string(i)).size(), columns) << "P" << i;
    }
    for (int i = 1; i <= faults; ++i) {
        EXPECT_EQ(row(m_page, "F" + std::to_string(i)).size(), columns) << "F" << i;
    }
}

} // namespace
