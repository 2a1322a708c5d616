// Checks that the pages agree with each other and with the tree.
#include "cicadaport/scenario/child_process.h"
#include "cicadaport/yaml/reader.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <regex>
#include <string>
#include <vector>

namespace {

using cicadaport::scenario::child_process;
using cicadaport::yaml::read_file;
using std::chrono_literals::operator""s;

std::string root()
{
    const char* value = std::getenv("CICADAPORT_ROOT");
    return value == nullptr ? "." : value;
}

std::vector<std::filesystem::path> pages()
{
    std::vector<std::filesystem::path> out{root() + "/README.md", root() + "/CONTRIBUTING.md"};
    for (const auto& each : std::filesystem::recursive_directory_iterator{root() + "/docs"}) {
        if (each.path().extension() == ".md") {
            out.push_back(each.path());
        }
    }
    return out;
}

TEST(pages_test, the_table_of_capacity_is_what_the_script_computes)
{
    const auto output = testing::TempDir() + "cicadaport_capacity_check.log";
    child_process check{root() + "/scripts/capacity", {"--check"}, output};
    EXPECT_EQ(check.wait(60s), 0) << read_file(output);
}

TEST(pages_test, every_link_to_a_file_leads_somewhere)
{
    const std::regex link{R"(\]\(([^)#:]+)(#[^)]*)?\))"};
    for (const auto& page : pages()) {
        const auto text = read_file(page.string());
        for (std::sregex_iterator it{text.begin(), text.end(), link}, end; it != end; ++it) {
            const auto target = page.parent_path() / (*it)[1].str();
            EXPECT_TRUE(std::filesystem::exists(target)) << page << " links to " << (*it)[1];
        }
    }
}

// Fails unless each first group of `pattern` in the sources stands, in
// backquotes, on `page`.
void expect_rows(const std::string& page, const std::regex& pattern)
{
    const auto text = read_file(root() + "/docs/reference/" + page);
    std::size_t found = 0;
    for (const auto& each : std::filesystem::recursive_directory_iterator{root() + "/src"}) {
        if (each.path().extension() != ".cpp") {
            continue;
        }
        const auto source = read_file(each.path().string());
        for (std::sregex_iterator it{source.begin(), source.end(), pattern}, end; it != end; ++it) {
            ++found;
            EXPECT_NE(text.find("`" + (*it)[1].str() + "`"), std::string::npos)
                << page << " has no row for " << (*it)[1] << " of " << each.path();
        }
    }
    EXPECT_GT(found, 0U) << page;
}

TEST(pages_test, every_metric_has_a_row)
{
    expect_rows("metrics.md", std::regex{R"x("(cicadaport_[a-z_]+)")x"});
}

TEST(pages_test, every_error_of_callers_has_a_row)
{
    expect_rows("errors.md", std::regex{R"x(return \{"([a-z_]+)", [0-9]{3},)x"});
}

TEST(pages_test, every_error_of_the_administration_api_has_a_row)
{
    expect_rows("errors.md", std::regex{R"x(problem\(status_[a-z_]+,\s*"([a-z_]+)")x"});
}

TEST(pages_test, every_warning_has_a_row)
{
    expect_rows("errors.md", std::regex{R"x(spdlog::(?:warn|error|critical)\(\s*"([a-z_]+))x"});
}

} // namespace
