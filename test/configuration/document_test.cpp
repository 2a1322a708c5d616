#include "cicadaport/configuration/document.h"

#include "cicadaport/yaml/reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cicadaport::configuration {
namespace {

using testing::HasSubstr;

const std::string good_document = R"(priorities:
  - {name: counter, rank: 0}
models:
  - {name: m, version: "1"}
callers:
  - account: shop
    key_sha256: 0000000000000000000000000000000000000000000000000000000000000000
    priority: counter
endpoints:
  - {name: e1, kind: engine, serves: m, address: 127.0.0.1:1, availability_zone: a}
)";

std::string problems_of(const std::string& text)
{
    try {
        parse_document(text, "c.yaml");
    }
    catch (const yaml::document_error& error) {
        return error.what();
    }
    return {};
}

TEST(document_test, reads_every_section)
{
    const auto document = parse_document(good_document, "c.yaml");
    EXPECT_EQ(document.priorities.size(), 1U);
    EXPECT_NE(document.find_model("m"), nullptr);
    EXPECT_EQ(document.endpoints.front().address.port, 1);
}

TEST(document_test, refuses_an_endpoint_of_an_unknown_model)
{
    EXPECT_THAT(problems_of("endpoints:\n  - {name: e, kind: engine, serves: x, address: "
                            "127.0.0.1:1, availability_zone: a}\n"),
                HasSubstr("endpoints[0].serves: expected the name of a model, found 'x'"));
}

TEST(document_test, refuses_a_name_that_stands_twice)
{
    EXPECT_THAT(problems_of("models:\n  - {name: m, version: a}\n  - {name: m, version: b}\n"),
                HasSubstr("each name once"));
}

TEST(document_test, refuses_an_address_that_is_not_an_ip_number)
{
    EXPECT_THAT(problems_of("models: [{name: m, version: a}]\nendpoints:\n  - {name: e, kind: "
                            "engine, serves: m, address: 'host:1', availability_zone: a}\n"),
                HasSubstr("expected IP:PORT, found 'host:1'"));
}

TEST(document_test, refuses_shares_that_promise_more_than_there_is)
{
    EXPECT_THAT(problems_of("priorities:\n  - {name: a, rank: 0, least_share_percent: 60}\n"
                            "  - {name: b, rank: 1, least_share_percent: 41}\n"),
                HasSubstr("c.yaml:2:3: priorities: expected values of least_share_percent that "
                          "add up to 100 at most, found 101"));
}

TEST(document_test, names_file_line_and_column_of_every_problem)
{
    const auto problems = problems_of("models:\n  - {name: m, version: a, colour: red}\n"
                                      "engine_roles:\n  policy: sometimes\n");
    EXPECT_THAT(problems, HasSubstr("c.yaml:2:"));
    EXPECT_THAT(problems, HasSubstr("colour"));
    EXPECT_THAT(problems, HasSubstr("c.yaml:4:11: engine_roles.policy: expected"));
    EXPECT_THAT(problems, HasSubstr("found 'sometimes'"));
}

TEST(document_test, splits_into_sections_that_join_to_the_same_document)
{
    std::string joined;
    for (const auto& section : split_sections(good_document, "c.yaml")) {
        joined += section.text;
    }
    EXPECT_EQ(joined, good_document);
}

} // namespace
} // namespace cicadaport::configuration
