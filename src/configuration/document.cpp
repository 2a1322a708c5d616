#include "cicadaport/configuration/document.h"

#include "cicadaport/yaml/reader.h"

#include <algorithm>
#include <set>

namespace cicadaport::configuration {
namespace {

using std::chrono::milliseconds;
using yaml::mapping_reader;

constexpr std::int64_t longest_time_ms = 3'600'000;
constexpr std::int64_t most_per_second = 100'000'000;
constexpr std::size_t sha256_digits = 64;

template <typename List>
auto find_named(const List& list, std::string_view name) noexcept -> decltype(list.data())
{
    const auto found =
        std::find_if(list.begin(), list.end(), [&](const auto& each) { return each.name == name; });
    return found == list.end() ? nullptr : &*found;
}

std::uint32_t count(mapping_reader& reader, std::string_view key, std::int64_t most,
                    std::int64_t fallback)
{
    return static_cast<std::uint32_t>(reader.integer_or(key, {0, most}, fallback));
}

milliseconds duration(mapping_reader& reader, std::string_view key, milliseconds fallback)
{
    return milliseconds{reader.integer_or(key, {1, longest_time_ms}, fallback.count())};
}

priority read_priority(mapping_reader& reader)
{
    constexpr std::int64_t most_ranks = 15;
    constexpr std::int64_t whole = 100;
    priority out;
    out.name = reader.text("name");
    out.rank = static_cast<std::uint32_t>(reader.integer("rank", {0, most_ranks}));
    out.least_share_percent = count(reader, "least_share_percent", whole, 0);
    out.deadline = duration(reader, "deadline_ms", out.deadline);
    return out;
}

model read_model(mapping_reader& reader)
{
    constexpr std::int64_t most_output_tokens = 1'000'000;
    constexpr std::int64_t most_replicas = 100'000;
    model out;
    out.name = reader.text("name");
    out.version = reader.text("version");
    out.adapters = reader.texts("adapters");
    out.weight_bytes = static_cast<std::uint64_t>(reader.integer_or("weight_bytes", {}, 0));
    out.least_replicas = count(reader, "least_replicas", most_replicas, out.least_replicas);
    out.expected_output_tokens =
        count(reader, "expected_output_tokens", most_output_tokens, out.expected_output_tokens);
    return out;
}

engine_roles read_roles(mapping_reader& reader)
{
    static constexpr std::string_view policies[] = {"never", "threshold", "rent_or_buy"};
    constexpr std::int64_t most_engines = 100'000;
    constexpr double most_price = 1e9;
    engine_roles out;
    out.policy = reader.one_of("policy", policies);
    out.least_prefill = count(reader, "least_prefill", most_engines, 0);
    out.least_decode = count(reader, "least_decode", most_engines, 0);
    out.change_price_requests =
        reader.number_or("change_price_requests", 0, most_price, out.change_price_requests);
    out.change_time = duration(reader, "change_time_ms", out.change_time);
    return out;
}

caller read_caller(mapping_reader& reader)
{
    constexpr std::int64_t most_concurrent = 1'000'000;
    caller out;
    out.account = reader.text("account");
    out.key_sha256 = reader.text("key_sha256");
    if (!out.key_sha256.empty() &&
        (out.key_sha256.size() != sha256_digits ||
         out.key_sha256.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        reader.reject("key_sha256", "64 lower-case hexadecimal digits", "another text");
    }
    out.priority = reader.text("priority");
    out.requests_per_second = count(reader, "requests_per_second", most_per_second, 0);
    out.tokens_per_second = count(reader, "tokens_per_second", most_per_second, 0);
    out.concurrent_requests = count(reader, "concurrent_requests", most_concurrent, 0);
    return out;
}

route read_route(mapping_reader& reader)
{
    static constexpr std::string_view methods[] = {"GET", "POST", "PUT", "PATCH", "DELETE"};
    static constexpr std::string_view key_uses[] = {"none", "optional", "required"};
    route out;
    out.method = reader.one_of("method", methods);
    out.path = reader.text("path");
    if (!out.path.empty() && (out.path.front() != '/' || out.path.starts_with("/v1/"))) {
        reader.reject("path", "a path that starts with / and not with /v1/", "'" + out.path + "'");
    }
    out.idempotent = reader.boolean_or("idempotent", false);
    out.timeout = duration(reader, "timeout_ms", out.timeout);
    if (reader.text_or("key", "optional") != "optional") {
        const auto use = reader.one_of("key", key_uses);
        out.key = use == "required" ? key_use::required : key_use::none;
    }
    return out;
}

service read_service(mapping_reader& reader)
{
    service out;
    out.name = reader.text("name");
    reader.each("routes", [&](mapping_reader& each) { out.routes.push_back(read_route(each)); });
    return out;
}

http::address read_address(mapping_reader& reader, std::string_view key)
{
    const auto text = reader.text(key);
    try {
        return text.empty() ? http::address{} : http::parse_address(text);
    }
    catch (const std::invalid_argument&) {
        reader.reject(key, "IP:PORT", "'" + text + "'");
        return {};
    }
}

endpoint read_endpoint(mapping_reader& reader)
{
    static constexpr std::string_view kinds[] = {"engine", "service"};
    static constexpr std::string_view roles[] = {"mixed", "prefill", "decode"};
    endpoint out;
    out.name = reader.text("name");
    out.kind =
        reader.one_of("kind", kinds) == "service" ? endpoint_kind::service : endpoint_kind::engine;
    out.serves = reader.text("serves");
    out.address = read_address(reader, "address");
    out.region = reader.text_or("region", "");
    out.availability_zone = reader.text("availability_zone");
    if (out.kind == endpoint_kind::engine) {
        if (reader.text_or("role", "mixed") != "mixed") {
            out.role = reader.one_of("role", roles);
        }
        out.checks_fencing = reader.boolean_or("checks_fencing", false);
    }
    return out;
}

// Notes every name that stands twice.
template <typename List, typename Name>
void check_unique(const YAML::Node& node, const List& list, const std::string& path, Name name,
                  yaml::problem_list& problems)
{
    std::set<std::string, std::less<>> seen;
    for (const auto& each : list) {
        if (!seen.insert(name(each)).second) {
            problems.add(node, path, "each name once", "'" + name(each) + "' twice");
        }
    }
}

void check_names(const YAML::Node& root, const document& out, yaml::problem_list& problems)
{
    const auto by_name = [](const auto& each) { return each.name; };
    const auto node = [&](const char* key) { return root[key] ? root[key] : root; };
    check_unique(node("priorities"), out.priorities, "priorities", by_name, problems);
    check_unique(node("models"), out.models, "models", by_name, problems);
    check_unique(node("services"), out.services, "services", by_name, problems);
    check_unique(node("endpoints"), out.endpoints, "endpoints", by_name, problems);
    check_unique(
        node("callers"), out.callers, "callers", [](const auto& each) { return each.account; },
        problems);
    check_unique(
        node("callers"), out.callers, "callers", [](const auto& each) { return each.key_sha256; },
        problems);
}

// Notes shares that promise more than there is.
void check_shares(const YAML::Node& root, const document& out, yaml::problem_list& problems)
{
    constexpr std::uint32_t whole = 100;
    std::uint32_t sum = 0;
    for (const auto& each : out.priorities) {
        sum += each.least_share_percent;
    }
    if (sum > whole) {
        problems.add(root["priorities"], "priorities",
                     "values of least_share_percent that add up to 100 at most",
                     std::to_string(sum));
    }
}

void check_references(const YAML::Node& root, const document& out, yaml::problem_list& problems)
{
    for (std::size_t i = 0; i < out.callers.size(); ++i) {
        if (!out.find_priority(out.callers[i].priority)) {
            problems.add(root["callers"][i], "callers[" + std::to_string(i) + "].priority",
                         "the name of a priority", "'" + out.callers[i].priority + "'");
        }
    }
    for (std::size_t i = 0; i < out.endpoints.size(); ++i) {
        const auto& each = out.endpoints[i];
        const bool is_engine = each.kind == endpoint_kind::engine;
        const bool known = is_engine ? out.find_model(each.serves) != nullptr
                                     : out.find_service(each.serves) != nullptr;
        if (!known) {
            problems.add(root["endpoints"][i], "endpoints[" + std::to_string(i) + "].serves",
                         is_engine ? "the name of a model" : "the name of a service",
                         "'" + each.serves + "'");
        }
    }
}

} // namespace

const priority* document::find_priority(std::string_view name) const noexcept
{
    return find_named(priorities, name);
}

const model* document::find_model(std::string_view name) const noexcept
{
    return find_named(models, name);
}

const service* document::find_service(std::string_view name) const noexcept
{
    return find_named(services, name);
}

const endpoint* document::find_endpoint(std::string_view name) const noexcept
{
    return find_named(endpoints, name);
}

document parse_document(const std::string& text, const std::string& file)
{
    yaml::problem_list problems{file};
    const auto root = yaml::parse(text.empty() ? "{}" : text, problems);
    problems.throw_if_any();
    document out;
    mapping_reader reader{root, "", problems};
    reader.each("priorities",
                [&](mapping_reader& each) { out.priorities.push_back(read_priority(each)); });
    reader.each("models", [&](mapping_reader& each) { out.models.push_back(read_model(each)); });
    reader.nested("engine_roles", [&](mapping_reader& each) { out.roles = read_roles(each); });
    reader.each("callers", [&](mapping_reader& each) { out.callers.push_back(read_caller(each)); });
    reader.each("services",
                [&](mapping_reader& each) { out.services.push_back(read_service(each)); });
    reader.each("endpoints",
                [&](mapping_reader& each) { out.endpoints.push_back(read_endpoint(each)); });
    reader.finish();
    problems.throw_if_any();
    check_names(root, out, problems);
    check_references(root, out, problems);
    check_shares(root, out, problems);
    problems.throw_if_any();
    return out;
}

std::vector<section_text> split_sections(const std::string& text, const std::string& file)
{
    yaml::problem_list problems{file};
    const auto root = yaml::parse(text, problems);
    if (problems.empty() && !root.IsMap()) {
        problems.add(root, "", "a mapping of sections", "something else");
    }
    problems.throw_if_any();
    std::vector<std::size_t> starts;
    for (std::size_t at = 0; at != std::string::npos && at < text.size();) {
        starts.push_back(at);
        const auto end = text.find('\n', at);
        at = end == std::string::npos ? end : end + 1;
    }
    std::vector<section_text> sections;
    std::vector<std::size_t> lines;
    for (const auto& field : root) {
        sections.push_back({field.first.Scalar(), {}});
        lines.push_back(static_cast<std::size_t>(field.first.Mark().line));
    }
    for (std::size_t i = 0; i < sections.size(); ++i) {
        const auto begin = starts.at(lines[i]);
        const auto end = i + 1 < lines.size() ? starts.at(lines[i + 1]) : text.size();
        sections[i].text = text.substr(begin, end - begin);
        if (!sections[i].text.ends_with('\n')) {
            sections[i].text += '\n';
        }
    }
    return sections;
}

} // namespace cicadaport::configuration
