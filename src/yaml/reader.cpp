#include "cicadaport/yaml/reader.h"

#include <fstream>
#include <sstream>

namespace cicadaport::yaml {
namespace {

std::string describe(const YAML::Node& node)
{
    switch (node.Type()) {
    case YAML::NodeType::Scalar:
        return "'" + node.Scalar() + "'";
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Map:
        return "a mapping";
    case YAML::NodeType::Null:
        return "nothing";
    case YAML::NodeType::Undefined:
        break;
    }
    return "no such field";
}

std::string join_lines(const std::vector<problem>& problems)
{
    std::string lines;
    for (const auto& each : problems) {
        lines += (lines.empty() ? "" : "\n") + to_string(each);
    }
    return lines;
}

std::string describe(integer_range range)
{
    const auto least = std::to_string(range.least);
    if (range.most == INT64_MAX) {
        return "an integer of at least " + least;
    }
    return "an integer from " + least + " to " + std::to_string(range.most);
}

} // namespace

std::string to_string(const problem& value)
{
    return value.file + ":" + std::to_string(value.line) + ":" + std::to_string(value.column) +
           ": " + value.path + ": expected " + value.expected + ", found " + value.found;
}

document_error::document_error(std::vector<problem> problems)
    : std::runtime_error{join_lines(problems)}, m_problems{std::move(problems)}
{
}

void problem_list::add(const YAML::Node& node, std::string path, std::string expected,
                       std::string found)
{
    const auto mark = node.IsDefined() ? node.Mark() : YAML::Mark::null_mark();
    m_problems.push_back({m_file, mark.line + 1, mark.column + 1, std::move(path),
                          std::move(expected), std::move(found)});
}

void problem_list::throw_if_any() const
{
    if (!m_problems.empty()) {
        throw document_error{m_problems};
    }
}

mapping_reader::mapping_reader(const YAML::Node& node, std::string path, problem_list& problems)
    : m_node{node}, m_path{std::move(path)}, m_problems{problems}
{
    if (!m_node.IsMap()) {
        m_problems.add(m_node, m_path, "a mapping", describe(m_node));
    }
}

std::string mapping_reader::child_path(std::string_view key) const
{
    return m_path.empty() ? std::string{key} : m_path + "." + std::string{key};
}

std::optional<YAML::Node> mapping_reader::find(std::string_view key)
{
    m_known.emplace(key);
    if (!m_node.IsMap()) {
        return std::nullopt;
    }
    const YAML::Node& node = m_node;
    const YAML::Node child = node[std::string{key}];
    return child.IsDefined() ? std::optional{child} : std::nullopt;
}

YAML::Node mapping_reader::require(std::string_view key, std::string_view expected)
{
    auto child = find(key);
    if (child) {
        return *child;
    }
    if (m_node.IsMap()) {
        m_problems.add(m_node, child_path(key), std::string{expected}, "no such field");
    }
    return YAML::Node{YAML::NodeType::Undefined};
}

std::string mapping_reader::text(std::string_view key)
{
    const auto child = require(key, "a text");
    if (!child.IsDefined()) {
        return {};
    }
    if (!child.IsScalar() || child.Scalar().empty()) {
        m_problems.add(child, child_path(key), "a text", describe(child));
        return {};
    }
    return child.Scalar();
}

std::string mapping_reader::text_or(std::string_view key, std::string fallback)
{
    return find(key) ? text(key) : std::move(fallback);
}

std::string mapping_reader::one_of(std::string_view key, std::span<const std::string_view> allowed)
{
    auto value = text(key);
    std::string names;
    for (const auto name : allowed) {
        if (name == value) {
            return value;
        }
        names += (names.empty() ? "" : " or ") + std::string{name};
    }
    if (!value.empty()) {
        reject(key, names, "'" + value + "'");
    }
    return {};
}

std::int64_t mapping_reader::integer(std::string_view key, integer_range range)
{
    const auto child = require(key, describe(range));
    if (!child.IsDefined()) {
        return range.least;
    }
    std::int64_t value = 0;
    if (!child.IsScalar() || !YAML::convert<std::int64_t>::decode(child, value) ||
        value < range.least || value > range.most) {
        m_problems.add(child, child_path(key), describe(range), describe(child));
        return range.least;
    }
    return value;
}

std::int64_t mapping_reader::integer_or(std::string_view key, integer_range range,
                                        std::int64_t fallback)
{
    return find(key) ? integer(key, range) : fallback;
}

double mapping_reader::number_or(std::string_view key, double least, double most, double fallback)
{
    const auto child = find(key);
    if (!child) {
        return fallback;
    }
    double value = 0;
    if (!child->IsScalar() || !YAML::convert<double>::decode(*child, value) || !(value >= least) ||
        !(value <= most)) {
        std::ostringstream expected;
        expected << "a number from " << least << " to " << most;
        m_problems.add(*child, child_path(key), expected.str(), describe(*child));
        return fallback;
    }
    return value;
}

bool mapping_reader::boolean_or(std::string_view key, bool fallback)
{
    const auto child = find(key);
    if (!child) {
        return fallback;
    }
    bool value = fallback;
    if (!child->IsScalar() || !YAML::convert<bool>::decode(*child, value)) {
        m_problems.add(*child, child_path(key), "true or false", describe(*child));
    }
    return value;
}

std::vector<std::string> mapping_reader::texts(std::string_view key)
{
    std::vector<std::string> values;
    const auto child = find(key);
    if (!child) {
        return values;
    }
    if (!child->IsSequence()) {
        m_problems.add(*child, child_path(key), "a list of texts", describe(*child));
        return values;
    }
    for (const auto& element : *child) {
        if (element.IsScalar()) {
            values.push_back(element.Scalar());
        }
        else {
            m_problems.add(element, child_path(key), "a text", describe(element));
        }
    }
    return values;
}

void mapping_reader::each(std::string_view key, const std::function<void(mapping_reader&)>& read)
{
    const auto child = find(key);
    if (!child || child->IsNull()) {
        return;
    }
    if (!child->IsSequence()) {
        m_problems.add(*child, child_path(key), "a list", describe(*child));
        return;
    }
    std::size_t index = 0;
    for (const auto& element : *child) {
        mapping_reader reader{element, child_path(key) + "[" + std::to_string(index++) + "]",
                              m_problems};
        read(reader);
        reader.finish();
    }
}

void mapping_reader::nested(std::string_view key, const std::function<void(mapping_reader&)>& read)
{
    const auto child = find(key);
    if (!child) {
        return;
    }
    mapping_reader reader{*child, child_path(key), m_problems};
    read(reader);
    reader.finish();
}

void mapping_reader::reject(std::string_view key, std::string expected, std::string found)
{
    const auto child = find(key);
    m_problems.add(child ? *child : m_node, child_path(key), std::move(expected), std::move(found));
}

void mapping_reader::finish()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (const auto& field : m_node) {
        const auto& name = field.first.Scalar();
        if (m_known.contains(name)) {
            continue;
        }
        std::string known;
        for (const auto& key : m_known) {
            known += (known.empty() ? "" : ", ") + key;
        }
        m_problems.add(field.first, child_path(name), "one of " + known, "an unknown field");
    }
}

YAML::Node parse(const std::string& text, problem_list& problems)
{
    try {
        return YAML::Load(text);
    }
    catch (const YAML::ParserException& error) {
        YAML::Node place;
        problems.add(place, "line " + std::to_string(error.mark.line + 1), "YAML", error.msg);
        return YAML::Node{YAML::NodeType::Map};
    }
}

std::string read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        throw std::runtime_error{path + ": cannot be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace cicadaport::yaml
