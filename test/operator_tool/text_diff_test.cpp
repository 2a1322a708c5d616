#include "cicadaport/operator_tool/text_diff.h"

#include <gtest/gtest.h>

namespace cicadaport::operator_tool {
namespace {

TEST(text_diff_test, equal_texts_have_none)
{
    EXPECT_EQ(unified_diff({"a", "x\n"}, {"b", "x\n"}), "");
}

TEST(text_diff_test, shows_changed_lines_with_three_lines_around_them)
{
    EXPECT_EQ(
        unified_diff({"a", "1\n2\n3\n4\n5\n6\n7\n8\n9\n"}, {"b", "1\n2\n3\n4\nfive\n6\n7\n8\n9\n"}),
        "--- a\n+++ b\n@@ -2,7 +2,7 @@\n 2\n 3\n 4\n-5\n+five\n 6\n 7\n 8\n");
}

TEST(text_diff_test, changes_that_lie_apart_get_a_hunk_each)
{
    const auto text =
        unified_diff({"a", "x\n1\n2\n3\n4\n5\n6\n7\ny\n"}, {"b", "1\n2\n3\n4\n5\n6\n7\ny\nz\n"});
    EXPECT_EQ(text,
              "--- a\n+++ b\n@@ -1,4 +1,3 @@\n-x\n 1\n 2\n 3\n@@ -7,3 +6,4 @@\n 6\n 7\n y\n+z\n");
}

TEST(text_diff_test, a_new_text_is_all_added)
{
    EXPECT_EQ(unified_diff({"a", ""}, {"b", "1\n"}), "--- a\n+++ b\n@@ -0,0 +1,1 @@\n+1\n");
}

} // namespace
} // namespace cicadaport::operator_tool
