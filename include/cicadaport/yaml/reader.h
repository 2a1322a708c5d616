// Checked reading of YAML documents.
//
// Every field that is read is checked, every field that is not read is
// reported as unknown, and all problems of a document are collected before
// anything is refused.
//
//   problem_list problems{"settings.yaml"};
//   mapping_reader reader{root, "", problems};
//   const auto port = reader.integer("port", {1, 65535});
//   reader.finish();
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::yaml {

// One thing wrong with a document. Lines and columns count from 1.
struct problem {
    std::string file;
    int line = 0;
    int column = 0;
    std::string path;
    std::string expected;
    std::string found;
};

// Returns `value` as "file:line:column: path: expected X, found Y".
std::string to_string(const problem& value);

// Says that a document is wrong; `what()` lists every problem, one a line.
class document_error : public std::runtime_error {
public:
    explicit document_error(std::vector<problem> problems);
    std::span<const problem> problems() const noexcept { return m_problems; }

private:
    std::vector<problem> m_problems;
};

// The problems found so far in one document. Not thread safe.
class problem_list {
public:
    explicit problem_list(std::string file) : m_file{std::move(file)} {}

    void add(const YAML::Node& node, std::string path, std::string expected, std::string found);
    bool empty() const noexcept { return m_problems.empty(); }
    const std::vector<problem>& all() const noexcept { return m_problems; }

    // Throws `document_error` if there is any problem.
    void throw_if_any() const;

private:
    std::string m_file;
    std::vector<problem> m_problems;
};

// Bounds of an integer field, both inclusive.
struct integer_range {
    std::int64_t least = 0;
    std::int64_t most = INT64_MAX;
};

// Reads the fields of one mapping. Not thread safe; keeps a reference to the
// problem list.
class mapping_reader {
public:
    mapping_reader(const YAML::Node& node, std::string path, problem_list& problems);

    // Each returns the field, or a neutral value after noting a problem.
    std::string text(std::string_view key);
    std::string text_or(std::string_view key, std::string fallback);
    std::string one_of(std::string_view key, std::span<const std::string_view> allowed);
    std::int64_t integer(std::string_view key, integer_range range);
    std::int64_t integer_or(std::string_view key, integer_range range, std::int64_t fallback);
    double number_or(std::string_view key, double least, double most, double fallback);
    bool boolean_or(std::string_view key, bool fallback);
    std::vector<std::string> texts(std::string_view key);

    // Calls `read` for each element of the list of mappings at `key`; an
    // absent list is an empty one.
    void each(std::string_view key, const std::function<void(mapping_reader&)>& read);

    // Calls `read` with the mapping at `key`, if there is one.
    void nested(std::string_view key, const std::function<void(mapping_reader&)>& read);

    // Notes a problem with the field `key`.
    void reject(std::string_view key, std::string expected, std::string found);

    // Notes every field that was never asked for.
    void finish();

    const std::string& path() const noexcept { return m_path; }

private:
    std::optional<YAML::Node> find(std::string_view key);
    YAML::Node require(std::string_view key, std::string_view expected);
    std::string child_path(std::string_view key) const;

    YAML::Node m_node;
    std::string m_path;
    problem_list& m_problems;
    std::set<std::string, std::less<>> m_known;
};

// Parses `text` into a node, noting a syntax error as a problem.
YAML::Node parse(const std::string& text, problem_list& problems);

// Returns the contents of the file; throws std::runtime_error if it can't be read.
std::string read_file(const std::string& path);

} // namespace cicadaport::yaml
