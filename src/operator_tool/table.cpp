#include "cicadaport/operator_tool/table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace cicadaport::operator_tool {
namespace {

constexpr std::size_t column_gap = 2;

struct column {
    std::string name;
    std::size_t width = 0;
    bool is_number = true;
};

std::string cell_text(const nlohmann::json& row, const std::string& name)
{
    if (!row.contains(name)) {
        return "-";
    }
    const auto& value = row.at(name);
    const auto text = value.is_string() ? value.get<std::string>() : value.dump();
    return text.empty() ? "-" : text;
}

std::vector<column> columns_of(const nlohmann::json& list)
{
    std::vector<column> out;
    for (const auto& row : list) {
        for (const auto& [name, value] : row.items()) {
            const auto is_it = [&, &key = name](const column& each) { return each.name == key; };
            auto found = std::find_if(out.begin(), out.end(), is_it);
            if (found == out.end()) {
                found = out.insert(out.end(), column{name, name.size()});
            }
            found->width = std::max(found->width, cell_text(row, name).size());
            found->is_number = found->is_number && value.is_number();
        }
    }
    return out;
}

void append_cell(std::string& line, const column& where, const std::string& text)
{
    const std::string padding(where.width - text.size(), ' ');
    line += where.is_number ? padding + text : text + padding;
    line.append(column_gap, ' ');
}

void append_line(std::string& out, std::string line)
{
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
}

} // namespace

std::string format_table(const nlohmann::json& list)
{
    if (list.empty()) {
        return "none\n";
    }
    const auto columns = columns_of(list);
    std::string out;
    std::string heading;
    for (const auto& each : columns) {
        append_cell(heading, each, each.name);
    }
    append_line(out, std::move(heading));
    for (const auto& row : list) {
        std::string line;
        for (const auto& each : columns) {
            append_cell(line, each, cell_text(row, each.name));
        }
        append_line(out, std::move(line));
    }
    return out;
}

} // namespace cicadaport::operator_tool
