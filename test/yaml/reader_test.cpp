#include "cicadaport/yaml/reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cicadaport::yaml {
namespace {

using testing::HasSubstr;

std::string problems_of(const std::string& text)
{
    problem_list problems{"example.yaml"};
    const auto root = parse(text, problems);
    mapping_reader reader{root, "", problems};
    reader.text("name");
    reader.integer("port", {1, 65'535});
    reader.finish();
    try {
        problems.throw_if_any();
    }
    catch (const document_error& error) {
        return error.what();
    }
    return {};
}

TEST(reader_test, accepts_a_document_that_is_as_expected)
{
    EXPECT_EQ(problems_of("name: a\nport: 80\n"), "");
}

TEST(reader_test, names_file_line_column_expected_and_found)
{
    EXPECT_EQ(problems_of("name: a\nport: 70000\n"),
              "example.yaml:2:7: port: expected an integer from 1 to 65535, found '70000'");
}

TEST(reader_test, reports_all_problems_at_once)
{
    const auto problems = problems_of("port: x\ncolour: red\n");
    EXPECT_THAT(problems, HasSubstr("name: expected a text, found no such field"));
    EXPECT_THAT(problems, HasSubstr("port: expected an integer"));
    EXPECT_THAT(problems, HasSubstr("2:1: colour: expected one of name, port"));
}

TEST(reader_test, reports_text_that_is_not_yaml)
{
    EXPECT_THAT(problems_of("name: [\n"), HasSubstr("expected YAML"));
}

} // namespace
} // namespace cicadaport::yaml
