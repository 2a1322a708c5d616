#include "safeguard_off.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cicadaport::base {
namespace {

std::string read_file(const std::filesystem::path& file)
{
    const std::ifstream in{file};
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

TEST(safeguards_test, are_on_unless_a_test_disables_them)
{
    EXPECT_TRUE(safeguards::is_on(safeguard::claim));
    {
        const safeguard_off without{safeguard::claim};
        EXPECT_FALSE(safeguards::is_on(safeguard::claim));
        EXPECT_TRUE(safeguards::is_on(safeguard::verdict));
    }
    EXPECT_TRUE(safeguards::is_on(safeguard::claim));
}

TEST(safeguards_test, no_library_and_no_program_can_switch_one_off)
{
    const char* const root = std::getenv("CICADAPORT_ROOT");
    ASSERT_NE(root, nullptr);
    std::size_t read = 0;
    for (const auto* folder : {"include", "src", "programs"}) {
        for (const auto& each :
             std::filesystem::recursive_directory_iterator{std::filesystem::path{root} / folder}) {
            if (!each.is_regular_file()) {
                continue;
            }
            ++read;
            const auto allowed = each.path().filename() == "safeguards.h";
            EXPECT_TRUE(allowed ||
                        read_file(each.path()).find("safeguard_off") == std::string::npos)
                << each.path();
        }
    }
    EXPECT_GT(read, 0U);
}

} // namespace
} // namespace cicadaport::base
