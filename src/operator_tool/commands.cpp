#include "cicadaport/operator_tool/commands.h"

#include "cicadaport/configuration/document.h"
#include "cicadaport/operator_tool/table.h"
#include "cicadaport/operator_tool/text_diff.h"
#include "cicadaport/yaml/reader.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <thread>

namespace cicadaport::operator_tool {
namespace {

using configuration::section_text;
using nlohmann::json;

constexpr unsigned first_error_status = 400;
constexpr unsigned conflict_status = 409;
constexpr std::chrono::milliseconds wait_poll{100};
// A process that was silent for longer is not waited for.
constexpr std::uint64_t live_age_ms = 5'000;

// One section as it is in force.
struct known_section {
    std::uint64_t offset = 0;
    std::string text;
};

known_section find_section(const json& configuration, const std::string& name)
{
    for (const auto& each : configuration.at("sections")) {
        if (each.at("name") == name) {
            return {each.at("offset").get<std::uint64_t>(), each.at("text").get<std::string>()};
        }
    }
    return {};
}

std::vector<section_text> read_sections(const std::string& file)
{
    const auto text = yaml::read_file(file);
    configuration::parse_document(text, file);
    return configuration::split_sections(text, file);
}

// Returns the ids of live processes that do not have `offset` in force.
std::vector<std::string> lagging_processes(const json& body, std::uint64_t offset)
{
    std::vector<std::string> out;
    for (const auto& process : body.at("processes")) {
        if (process.at("age_ms").get<std::uint64_t>() < live_age_ms &&
            process.at("configuration_offset").get<std::uint64_t>() < offset) {
            out.push_back(process.at("id").get<std::string>());
        }
    }
    if (out.empty() && body.at("offset").get<std::uint64_t>() < offset) {
        out.emplace_back("the process that was asked");
    }
    return out;
}

// Takes the rows of partitions that another process decides from its answer.
void join_roles(json& into, const json& from)
{
    for (auto& row : into.at("roles")) {
        for (const auto& other : from.at("roles")) {
            const bool better = other.at("partition") == row.at("partition") &&
                                other.at("decided_here") && !row.at("decided_here");
            row = better ? other : row;
        }
    }
}

// Returns the partition's row as a flat one, for a table.
json flat_partition(const json& row)
{
    json out{{"partition", row.at("partition")},
             {"policy", row.at("policy")},
             {"holder", row.at("holder")}};
    if (!row.at("decided_here")) {
        out["held_back"] = "unknown: ask the holder's process";
        return out;
    }
    const auto count = [&](const char* role) {
        return std::to_string(row.at("serving").at(role).get<unsigned>());
    };
    out["prefill/decode/mixed"] = count("prefill") + "/" + count("decode") + "/" + count("mixed");
    for (const auto* field : {"requests_per_second", "prefill", "decode"}) {
        out["offered_" + std::string{field}] = row.at("offered").at(field);
    }
    for (const auto* field : {"lost_to_prefill", "lost_to_decode", "price_requests", "held_back"}) {
        out[field] = row.at(field);
    }
    return out;
}

json flat_changes(const json& body)
{
    auto out = json::array();
    for (const auto& row : body.at("roles")) {
        for (const auto& change : row.value("changes", json::array())) {
            json one{{"partition", row.at("partition")}};
            for (const auto* field :
                 {"engine", "from", "to", "age_s", "lost_requests", "price_requests",
                  "predicted_gain", "outcome", "gained_requests", "watched_s"}) {
                one[field] = change.at(field);
            }
            out.push_back(std::move(one));
        }
    }
    return out;
}

} // namespace

commands::commands(admin_client& admin, output_format format, std::ostream& out,
                   std::ostream& errors)
    : m_admin{admin}, m_format{format}, m_out{out}, m_errors{errors}
{
}

int commands::report(const http::response& reply)
{
    if (reply.status < first_error_status) {
        return exit_done;
    }
    const auto body = json::parse(reply.body, nullptr, false);
    m_errors << "refused: " << (body.is_object() ? body.value("detail", reply.body) : reply.body)
             << '\n';
    return reply.status == conflict_status ? exit_refused : exit_failed;
}

int commands::list(const std::string& what)
{
    const auto reply = m_admin.call("GET", what);
    if (const auto code = report(reply); code != exit_done) {
        return code;
    }
    if (m_format == output_format::json) {
        m_out << reply.body << '\n';
    }
    else {
        m_out << format_table(json::parse(reply.body).at(what));
    }
    return exit_done;
}

int commands::roles()
{
    const auto replies = m_admin.ask_each("roles");
    for (const auto& reply : replies) {
        if (const auto code = report(reply); code != exit_done) {
            return code;
        }
    }
    auto body = json::parse(replies.front().body);
    for (const auto& reply : replies) {
        join_roles(body, json::parse(reply.body));
    }
    if (m_format == output_format::json) {
        m_out << body.dump() << '\n';
        return exit_done;
    }
    auto partitions = json::array();
    for (const auto& row : body.at("roles")) {
        partitions.push_back(flat_partition(row));
    }
    m_out << format_table(partitions) << "\nlast changes\n"
          << format_table(flat_changes(body)) << "\nwishes that wait\n"
          << format_table(body.at("wishes"));
    return exit_done;
}

int commands::change_endpoint(const std::string& endpoint, const std::string& action)
{
    return report(m_admin.call("POST", "endpoints/" + endpoint + "/" + action));
}

int commands::show(const std::string& section)
{
    const auto reply = m_admin.call("GET", "configuration");
    if (const auto code = report(reply); code != exit_done) {
        return code;
    }
    const auto body = json::parse(reply.body);
    bool found = section.empty();
    auto sections = json::array();
    for (const auto& each : body.at("sections")) {
        if (section.empty() || each.at("name") == section) {
            sections.push_back(each);
            found = true;
        }
    }
    if (!found) {
        m_errors << "no section " << section << '\n';
        return exit_failed;
    }
    if (m_format == output_format::json) {
        m_out << json{{"offset", body.at("offset")}, {"sections", sections}}.dump() << '\n';
        return exit_done;
    }
    for (const auto& each : sections) {
        m_out << "# " << each.at("name").get<std::string>() << ": offset " << each.at("offset")
              << " by " << each.at("author").get<std::string>() << '\n'
              << each.at("text").get<std::string>();
    }
    return exit_done;
}

int commands::diff(const std::string& file)
{
    const auto sections = read_sections(file);
    const auto reply = m_admin.call("GET", "configuration");
    if (const auto code = report(reply); code != exit_done) {
        return code;
    }
    const auto present = json::parse(reply.body);
    bool differs = false;
    for (const auto& section : sections) {
        const auto known = find_section(present, section.name);
        const auto name = section.name + " in force, offset " + std::to_string(known.offset);
        const auto text = unified_diff({name, known.text}, {file, section.text});
        m_out << text;
        differs = differs || !text.empty();
    }
    return differs ? exit_refused : exit_done;
}

int commands::publish(const std::string& file, const std::string& author,
                      std::chrono::seconds wait_limit)
{
    const auto sections = read_sections(file);
    const auto read = m_admin.call("GET", "configuration");
    if (const auto code = report(read); code != exit_done) {
        return code;
    }
    const auto present = json::parse(read.body);
    json body{{"author", author}, {"sections", json::array()}};
    for (const auto& section : sections) {
        const auto known = find_section(present, section.name);
        if (known.text != section.text) {
            body["sections"].push_back({{"name", section.name},
                                        {"based_on_offset", known.offset},
                                        {"text", section.text}});
        }
    }
    if (body["sections"].empty()) {
        m_out << "nothing to publish\n";
        return exit_done;
    }
    const auto reply = m_admin.call("POST", "configuration", body.dump());
    if (const auto code = report(reply); code != exit_done) {
        show_winner(reply, file);
        return code;
    }
    const auto offset = json::parse(reply.body).at("offset").get<std::uint64_t>();
    m_out << "accepted at offset " << offset << '\n';
    if (wait_limit.count() == 0) {
        return exit_done;
    }
    return wait(offset, wait_limit);
}

// Shows what lies between the edit that came first and the one refused.
void commands::show_winner(const http::response& reply, const std::string& file)
{
    const auto body = json::parse(reply.body, nullptr, false);
    if (!body.is_object() || !body.contains("winner")) {
        return;
    }
    const auto& winner = body.at("winner");
    const auto name = winner.at("section").get<std::string>();
    const auto title = name + " at offset " +
                       std::to_string(winner.at("offset").get<std::uint64_t>()) + " by " +
                       winner.at("author").get<std::string>();
    const auto text = winner.at("text").get<std::string>();
    for (const auto& section : read_sections(file)) {
        if (section.name == name) {
            m_errors << unified_diff({title, text}, {file, section.text});
        }
    }
}

int commands::wait(std::uint64_t offset, std::chrono::seconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    std::vector<std::string> lagging;
    do {
        const auto reply = m_admin.call("GET", "processes");
        if (const auto code = report(reply); code != exit_done) {
            return code;
        }
        lagging = lagging_processes(json::parse(reply.body), offset);
        if (lagging.empty()) {
            m_out << "offset " << offset << " is in force everywhere\n";
            return exit_done;
        }
        std::this_thread::sleep_for(wait_poll);
    } while (std::chrono::steady_clock::now() < until);
    m_errors << "offset " << offset << " is not in force at:";
    for (const auto& id : lagging) {
        m_errors << ' ' << id;
    }
    m_errors << '\n';
    return exit_not_in_force;
}

} // namespace cicadaport::operator_tool
