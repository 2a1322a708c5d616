#include "cicadaport/operator_tool/text_diff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace cicadaport::operator_tool {
namespace {

using lines = std::vector<std::string_view>;

constexpr std::size_t context_lines = 3;
// Beyond this many comparisons the changed part is shown as replaced whole.
constexpr std::size_t most_comparisons = 16'000'000;

// One line of the result: ' ' stands in both texts, '-' before, '+' after.
struct edit {
    char sign = ' ';
    std::string_view line;
};

lines split(std::string_view text)
{
    lines out;
    while (!text.empty()) {
        const auto end = text.find('\n');
        out.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return out;
}

// Lengths of the longest common subsequences of the texts' ends.
class common_lengths {
public:
    common_lengths(const lines& before, const lines& after)
        : m_width{after.size() + 1}, m_lengths((before.size() + 1) * m_width)
    {
        for (std::size_t i = before.size(); i-- > 0;) {
            for (std::size_t j = after.size(); j-- > 0;) {
                m_lengths[i * m_width + j] = before[i] == after[j]
                                                 ? at(i + 1, j + 1) + 1
                                                 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    std::uint32_t at(std::size_t i, std::size_t j) const { return m_lengths[i * m_width + j]; }

private:
    std::size_t m_width;
    std::vector<std::uint32_t> m_lengths;
};

void replace_whole(const lines& before, const lines& after, std::vector<edit>& out)
{
    for (const auto& line : before) {
        out.push_back({'-', line});
    }
    for (const auto& line : after) {
        out.push_back({'+', line});
    }
}

void compare_middle(const lines& before, const lines& after, std::vector<edit>& out)
{
    if (before.size() * after.size() > most_comparisons) {
        replace_whole(before, after, out);
        return;
    }
    const common_lengths common{before, after};
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            out.push_back({' ', before[i++]});
            ++j;
        }
        else if (i < before.size() &&
                 (j == after.size() || common.at(i + 1, j) >= common.at(i, j + 1))) {
            out.push_back({'-', before[i++]});
        }
        else {
            out.push_back({'+', after[j++]});
        }
    }
}

std::vector<edit> compare(lines before, lines after)
{
    std::vector<edit> out;
    const auto head = std::mismatch(before.begin(), before.end(), after.begin(), after.end());
    const auto head_size = head.first - before.begin();
    for (auto line = before.begin(); line != head.first; ++line) {
        out.push_back({' ', *line});
    }
    before.erase(before.begin(), before.begin() + head_size);
    after.erase(after.begin(), after.begin() + head_size);
    const auto tail = std::mismatch(before.rbegin(), before.rend(), after.rbegin(), after.rend());
    const lines same_tail{tail.first.base(), before.end()};
    before.resize(before.size() - same_tail.size());
    after.resize(after.size() - same_tail.size());
    compare_middle(before, after, out);
    for (const auto& line : same_tail) {
        out.push_back({' ', line});
    }
    return out;
}

// Returns for each line whether it is near enough to a change to be shown.
std::vector<bool> shown_lines(const std::vector<edit>& edits)
{
    std::vector<bool> out(edits.size());
    for (std::size_t i = 0; i < edits.size(); ++i) {
        if (edits[i].sign == ' ') {
            continue;
        }
        const auto first = i < context_lines ? 0 : i - context_lines;
        const auto last = std::min(edits.size() - 1, i + context_lines);
        std::fill(out.begin() + static_cast<std::ptrdiff_t>(first),
                  out.begin() + static_cast<std::ptrdiff_t>(last) + 1, true);
    }
    return out;
}

// A line number and a count, as a hunk's heading has them.
std::string range_text(std::size_t first, std::size_t count)
{
    return std::to_string(count == 0 ? first - 1 : first) + "," + std::to_string(count);
}

} // namespace

std::string unified_diff(named_text before, named_text after)
{
    if (before.text == after.text) {
        return {};
    }
    const auto edits = compare(split(before.text), split(after.text));
    const auto shown = shown_lines(edits);
    auto out = "--- " + std::string{before.name} + "\n+++ " + std::string{after.name} + "\n";
    std::size_t before_line = 1;
    std::size_t after_line = 1;
    for (std::size_t i = 0; i < edits.size();) {
        std::string hunk;
        std::size_t removed = 0;
        std::size_t added = 0;
        for (; i < edits.size() && shown[i]; ++i) {
            hunk += edits[i].sign + std::string{edits[i].line} + "\n";
            removed += edits[i].sign != '+' ? 1 : 0;
            added += edits[i].sign != '-' ? 1 : 0;
        }
        if (!hunk.empty()) {
            out += "@@ -" + range_text(before_line, removed) + " +" +
                   range_text(after_line, added) + " @@\n" + hunk;
        }
        before_line += removed;
        after_line += added;
        for (; i < edits.size() && !shown[i]; ++i) {
            ++before_line;
            ++after_line;
        }
    }
    return out;
}

} // namespace cicadaport::operator_tool
