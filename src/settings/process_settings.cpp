#include "cicadaport/settings/process_settings.h"

#include "cicadaport/base/identifier.h"
#include "cicadaport/yaml/reader.h"

#include <algorithm>
#include <iterator>

namespace cicadaport::settings {
namespace {

using std::chrono::milliseconds;
using yaml::mapping_reader;

http::address read_address(mapping_reader& reader, std::string_view key)
{
    const auto text = reader.text(key);
    if (text.empty()) {
        return {};
    }
    try {
        return http::parse_address(text);
    }
    catch (const std::invalid_argument&) {
        reader.reject(key, "IP:PORT", "'" + text + "'");
        return {};
    }
}

std::vector<http::address> read_addresses(mapping_reader& reader, std::string_view key)
{
    std::vector<http::address> out;
    for (const auto& text : reader.texts(key)) {
        try {
            out.push_back(http::parse_address(text));
        }
        catch (const std::invalid_argument&) {
            reader.reject(key, "a list of IP:PORT", "'" + text + "'");
        }
    }
    return out;
}

milliseconds read_time(mapping_reader& reader, std::string_view key, yaml::integer_range range,
                       milliseconds fallback)
{
    return milliseconds{reader.integer_or(key, range, fallback.count())};
}

placement_policy read_placement(mapping_reader& reader)
{
    // In the order of the enumeration.
    static constexpr std::string_view names[] = {
        "predicted",  "two_random_choices", "random", "round_robin", "least_outstanding",
        "cache_only", "predicted_one_stage"};
    if (reader.text_or("placement", std::string{names[0]}) == names[0]) {
        return placement_policy::predicted;
    }
    const auto name = reader.one_of("placement", names);
    const auto* found = std::find(std::begin(names), std::end(names), name);
    return found == std::end(names) ? placement_policy::predicted
                                    : static_cast<placement_policy>(found - std::begin(names));
}

common_settings read_common(mapping_reader& reader)
{
    static constexpr std::string_view levels[] = {"trace", "debug", "info", "warn", "error"};
    constexpr yaml::integer_range grace_range{0, 3'600'000};
    constexpr yaml::integer_range worker_range{1, 256};
    common_settings out;
    out.id = reader.text_or("id", base::make_identifier());
    out.region = reader.text_or("region", "");
    out.availability_zone = reader.text("availability_zone");
    if (reader.text_or("log_level", out.log_level) != out.log_level) {
        out.log_level = reader.one_of("log_level", levels);
    }
    out.admin_address = read_address(reader, "admin_address");
    out.grace_time = read_time(reader, "grace_time_ms", grace_range, out.grace_time);
    out.workers =
        static_cast<std::uint32_t>(reader.integer_or("workers", worker_range, out.workers));
    return out;
}

template <typename Settings, typename Read>
Settings read_settings(const std::string& file, Read read)
{
    yaml::problem_list problems{file};
    const auto root = yaml::parse(yaml::read_file(file), problems);
    problems.throw_if_any();
    mapping_reader reader{root, "", problems};
    Settings out;
    out.common = read_common(reader);
    read(reader, out);
    reader.finish();
    problems.throw_if_any();
    return out;
}

} // namespace

entry_settings read_entry_settings(const std::string& file)
{
    return read_settings<entry_settings>(file, [](mapping_reader& reader, entry_settings& out) {
        out.placement = read_placement(reader);
        static constexpr std::string_view paths[] = {"resumable", "pass_through"};
        out.caller_address = read_address(reader, "caller_address");
        if (reader.text_or("completion_path", "resumable") != "resumable" &&
            reader.one_of("completion_path", paths) == "pass_through") {
            out.path = completion_path::pass_through;
        }
        reader.nested("platform",
                      [&](mapping_reader& platform) { out.log = read_address(platform, "log"); });
        out.relays = read_addresses(reader, "relays");
        if (out.relays.empty()) {
            reader.reject("relays", "at least one IP:PORT", "none");
        }
    });
}

control_settings read_control_settings(const std::string& file)
{
    static constexpr yaml::integer_range lease_range{200, 600'000};
    return read_settings<control_settings>(file, [](mapping_reader& reader, control_settings& out) {
        out.relay_address = read_address(reader, "relay_address");
        out.peers = read_addresses(reader, "peers");
        reader.nested("platform", [&](mapping_reader& platform) {
            out.platform.log = read_address(platform, "log");
            out.platform.host_list = read_address(platform, "host_list");
            out.platform.weight_store = read_address(platform, "weight_store");
        });
        out.operator_key_sha256 = reader.text("operator_key_sha256");
        out.lease_time = read_time(reader, "lease_time_ms", lease_range, out.lease_time);
    });
}

} // namespace cicadaport::settings
