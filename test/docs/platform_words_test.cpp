// The words of the users' platform stay in the folder platform/.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;

std::string text_of(const fs::path& file)
{
    std::ostringstream out;
    out << std::ifstream{file}.rdbuf();
    return out.str();
}

// The product's own interface has longer names that end alike.
bool uses(const std::string& text, const std::string& word)
{
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        if (at == 0 || text[at - 1] != '-') {
            return true;
        }
    }
    return false;
}

TEST(platform_words_test, stand_in_no_source_file_outside_the_adapter)
{
    const std::vector<std::string> words{"Request-Id:",   "Deadline-Ms",   "Target-Instance",
                                         "Not-Executed",  "Response-Seal", "Kv-Source",
                                         "Token-Count",   "Prompt-Prefix", "Request-Priority",
                                         "Serving-Stage", "keyed.op",      "keyed.servers",
                                         "/-/",           "kv-handle",     "target-latency-ms",
                                         "max-attempts",  "path-prefix",   "CICADAPORT_BOOT"};
    const auto root = fs::path{std::getenv("CICADAPORT_ROOT")};
    std::size_t read = 0;
    for (const std::string folder : {"include", "src", "programs"}) {
        for (const auto& entry : fs::recursive_directory_iterator{root / folder}) {
            const auto extension = entry.path().extension();
            if (extension != ".h" && extension != ".cpp") {
                continue;
            }
            ++read;
            const auto text = text_of(entry.path());
            for (const auto& word : words) {
                EXPECT_FALSE(uses(text, word)) << word << " in " << entry.path();
            }
        }
    }
    EXPECT_GT(read, 100U);
}

} // namespace
