#include "cicadaport/control/admin_api.h"

#include "cicadaport/base/digest.h"
#include "internal/role_view.h"

#include <nlohmann/json.hpp>
#include <peer.pb.h>
#include <record.pb.h>
#include <state.pb.h>

namespace cicadaport::control {
namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;

constexpr std::string_view admin_prefix = "/v1/admin/";
constexpr std::string_view endpoint_prefix = "endpoints/";

http::response problem(unsigned status, std::string_view title, const std::string& detail)
{
    const json body{{"type", "urn:cicadaport:" + std::string{title}},
                    {"title", title},
                    {"status", status},
                    {"detail", detail}};
    return {status, {{"Content-Type", "application/problem+json"}}, body.dump()};
}

http::response log_unavailable(const shared_log::log_error& error)
{
    auto reply = problem(status_unavailable, "log_unavailable", error.what());
    reply.fields.add("Retry-After", "5");
    reply.fields.add("Cicadaport-Verdict", base::to_string(error.outcome()));
    return reply;
}

bool is_role(std::string_view text)
{
    return text.empty() || text == "mixed" || text == "prefill" || text == "decode";
}

protocol::record read_edit(const json& body)
{
    protocol::record record;
    record.set_author(body.at("author").get<std::string>());
    record.mutable_edit()->set_schema_version(configuration::schema_version);
    for (const auto& section : body.at("sections")) {
        auto& edit = *record.mutable_edit()->add_sections();
        edit.set_section(section.at("name").get<std::string>());
        edit.set_based_on_offset(section.at("based_on_offset").get<std::uint64_t>());
        edit.set_text(section.at("text").get<std::string>());
    }
    return record;
}

} // namespace

admin_api::admin_api(const fold::replica& replica, const relay::process_table& processes,
                     shared_log::proposer& proposals, std::string operator_key_sha256,
                     role_source roles)
    : m_replica{replica}, m_processes{processes}, m_proposals{proposals},
      m_operator_key_sha256{std::move(operator_key_sha256)}, m_roles{std::move(roles)}
{
}

asio::awaitable<void> admin_api::handle(const http::request& message, http::response_writer& writer)
{
    auto reply = co_await answer(message);
    co_await writer.send(std::move(reply));
}

asio::awaitable<http::response> admin_api::answer(const http::request& message)
{
    const http::target_view target{message.target};
    const auto& path = target.path();
    if (!is_operator(message)) {
        co_return problem(status_unauthorized, "unknown_key", "the operator's key is not known");
    }
    if (!path.starts_with(admin_prefix)) {
        co_return problem(status_not_found, "unknown_path", path);
    }
    const auto name = path.substr(admin_prefix.size());
    if (name == "configuration" && message.method == "POST") {
        co_return co_await publish(message);
    }
    if (name.starts_with(endpoint_prefix) && message.method == "POST") {
        co_return co_await change_endpoint(target);
    }
    if (name == "configuration") {
        co_return show_configuration();
    }
    if (name == "processes") {
        co_return show_processes();
    }
    if (name == "endpoints") {
        co_return show_endpoints();
    }
    if (name == "leases") {
        co_return show_leases();
    }
    if (name == "roles") {
        co_return show_roles();
    }
    co_return problem(status_not_found, "unknown_path", path);
}

bool admin_api::is_operator(const http::request& message) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = message.fields.find("Authorization");
    return value && value->starts_with(scheme) &&
           base::sha256_hex(value->substr(scheme.size())) == m_operator_key_sha256;
}

asio::awaitable<http::response> admin_api::publish(const http::request& message)
{
    protocol::record record;
    try {
        record = read_edit(json::parse(message.body));
    }
    catch (const json::exception& error) {
        co_return problem(status_bad_request, "invalid_request", error.what());
    }
    std::optional<http::response> failure;
    std::uint64_t offset = 0;
    try {
        const auto made = co_await m_proposals.propose(record);
        if (!made.accepted) {
            co_return refused(made);
        }
        offset = made.offset;
    }
    catch (const shared_log::log_error& error) {
        failure = log_unavailable(error);
    }
    if (failure) {
        co_return *failure;
    }
    co_return http::json_response(status_ok, json{{"offset", offset}}.dump());
}

// Names the edit that came first and shows what it made of the section.
http::response admin_api::refused(const fold::decision& made) const
{
    auto reply = problem(status_conflict, "refused", made.reason);
    m_replica.inspect([&](const fold::state& state) {
        const auto found = state.message().sections().find(made.winner_section);
        if (found == state.message().sections().end()) {
            return;
        }
        auto body = json::parse(reply.body);
        body["winner"] = {{"section", made.winner_section},
                          {"offset", found->second.offset()},
                          {"author", found->second.author()},
                          {"text", found->second.text()}};
        reply.body = body.dump();
    });
    return reply;
}

asio::awaitable<http::response> admin_api::change_endpoint(const http::target_view& target)
{
    const auto path = target.path().substr(admin_prefix.size() + endpoint_prefix.size());
    const auto slash = path.find('/');
    const auto action = slash == std::string::npos ? "" : path.substr(slash + 1);
    auto wish = wish_of(path.substr(0, slash));
    if (!wish) {
        co_return problem(status_not_found, "unknown_endpoint", path.substr(0, slash));
    }
    if (action == "drain" || action == "undrain") {
        wish->set_drain(action == "drain");
    }
    else if (action == "role") {
        wish->set_role(target.parameter("role").value_or("none"));
    }
    else {
        co_return problem(status_not_found, "unknown_path", path);
    }
    if (!is_role(wish->role())) {
        co_return problem(status_bad_request, "invalid_request",
                          "role is one of mixed, prefill, decode");
    }
    protocol::record record;
    *record.mutable_endpoint_wish() = *wish;
    try {
        co_await m_proposals.propose(record);
        co_return http::json_response(status_ok, json{{"endpoint", wish->endpoint()}}.dump());
    }
    catch (const shared_log::log_error& error) {
        co_return log_unavailable(error);
    }
}

// Returns what operators wish of the endpoint now, or nothing if the
// configuration has no such endpoint.
std::optional<protocol::endpoint_request> admin_api::wish_of(const std::string& endpoint) const
{
    std::optional<protocol::endpoint_request> out;
    m_replica.inspect([&](const fold::state& state) {
        if (state.document()->find_endpoint(endpoint) == nullptr) {
            return;
        }
        out.emplace().set_endpoint(endpoint);
        const auto& wishes = state.message().wishes();
        if (const auto found = wishes.find(endpoint); found != wishes.end()) {
            out->set_drain(found->second.drain());
            out->set_role(found->second.role());
        }
    });
    return out;
}

http::response admin_api::show_configuration() const
{
    json body;
    m_replica.inspect([&](const fold::state& state) {
        body["offset"] = state.configuration_offset();
        body["sections"] = json::array();
        for (const auto& [name, section] : state.message().sections()) {
            body["sections"].push_back({{"name", name},
                                        {"offset", section.offset()},
                                        {"author", section.author()},
                                        {"text", section.text()}});
        }
    });
    return http::json_response(status_ok, body.dump());
}

http::response admin_api::show_processes() const
{
    auto list = json::array();
    for (const auto& status : m_processes.list(relay::process_table::clock::now())) {
        list.push_back({{"id", status.id()},
                        {"kind", status.kind()},
                        {"address", status.address()},
                        {"availability_zone", status.availability_zone()},
                        {"offset", status.offset_in_force()},
                        {"configuration_offset", status.configuration_offset()},
                        {"draining", status.draining()},
                        {"reads_log", status.reads_log()},
                        {"halted", status.halted()},
                        {"age_ms", status.age_ms()}});
    }
    const json body{{"offset", m_replica.offset()}, {"processes", std::move(list)}};
    return http::json_response(status_ok, body.dump());
}

http::response admin_api::show_endpoints() const
{
    auto list = json::array();
    m_replica.inspect([&](const fold::state& state) {
        for (const auto& endpoint : state.document()->endpoints) {
            const auto& wishes = state.message().wishes();
            const auto& orders = state.message().orders();
            const auto wish = wishes.find(endpoint.name);
            const auto order = orders.find(endpoint.name);
            const auto& conditions = state.message().conditions();
            const auto reported = conditions.find(endpoint.name);
            const bool ordered = order != orders.end() && !order->second.role().empty();
            list.push_back(
                {{"name", endpoint.name},
                 {"serves", endpoint.serves},
                 {"address", http::to_string(endpoint.address)},
                 {"availability_zone", endpoint.availability_zone},
                 {"role", ordered ? order->second.role() : endpoint.role},
                 {"order_outstanding", order != orders.end() && order->second.has_intent()},
                 {"condition",
                  reported == conditions.end() ? "serving" : reported->second.condition()},
                 {"drained", wish != wishes.end() && wish->second.drain()}});
        }
    });
    return http::json_response(status_ok, json{{"endpoints", std::move(list)}}.dump());
}

http::response admin_api::show_leases() const
{
    auto list = json::array();
    m_replica.inspect([&](const fold::state& state) {
        for (const auto& [partition, lease] : state.message().leases()) {
            list.push_back({{"partition", partition},
                            {"holder", lease.holder()},
                            {"fencing_number", lease.fencing_number()},
                            {"renewed_offset", lease.renewed_offset()},
                            {"released", lease.released()}});
        }
    });
    return http::json_response(status_ok, json{{"leases", std::move(list)}}.dump());
}

http::response admin_api::show_roles() const
{
    const auto here = m_roles ? m_roles() : std::vector<authority::role_report>{};
    json body;
    m_replica.inspect([&](const fold::state& state) { body = describe_roles(state, here); });
    return http::json_response(status_ok, body.dump());
}

} // namespace cicadaport::control
