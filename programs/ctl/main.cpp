// The operators' command-line tool, on top of the administration API.
#include "cicadaport/configuration/document.h"
#include "cicadaport/http/client.h"
#include "cicadaport/yaml/reader.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

namespace asio = boost::asio;
namespace http = cicadaport::http;
using nlohmann::json;

// Exit codes that scripts can rely on.
enum exit_code : int {
    exit_done = 0,
    exit_failed = 1,
    exit_invalid = 2,
    exit_refused = 3,
    exit_unreachable = 4,
    exit_not_in_force = 5,
};

// What every command needs.
struct connection_options {
    std::string admin = "127.0.0.1:9201";
    std::string key;
    std::string output = "table";
};

class admin_connection {
public:
    explicit admin_connection(const connection_options& options)
        : m_options{options}, m_client{m_context}
    {
    }

    // Sends one request and returns its response; throws http::exchange_error.
    http::response call(const std::string& method, const std::string& path, std::string body = {})
    {
        http::request message{
            method,
            "/v1/admin/" + path,
            {{"Authorization", "Bearer " + m_options.key}, {"Content-Type", "application/json"}},
            std::move(body)};
        std::optional<http::response> reply;
        std::exception_ptr failure;
        asio::co_spawn(m_context,
                       m_client.exchange(http::parse_address(m_options.admin), std::move(message)),
                       [&](const std::exception_ptr& error, http::response got) {
                           failure = error;
                           reply = std::move(got);
                       });
        m_context.restart();
        m_context.run();
        if (failure) {
            std::rethrow_exception(failure);
        }
        return std::move(*reply);
    }

private:
    connection_options m_options;
    asio::io_context m_context;
    http::client m_client;
};

int report(const http::response& reply)
{
    constexpr unsigned first_error = 400;
    constexpr unsigned conflict = 409;
    if (reply.status < first_error) {
        return exit_done;
    }
    const auto body = json::parse(reply.body, nullptr, false);
    std::cerr << "refused: " << (body.is_object() ? body.value("detail", reply.body) : reply.body)
              << '\n';
    return reply.status == conflict ? exit_refused : exit_failed;
}

// Prints a list of flat objects, one a line, with a heading.
void print_table(const json& list)
{
    if (list.empty()) {
        std::cout << "none\n";
        return;
    }
    for (const auto& [name, value] : list.front().items()) {
        std::cout << name << '\t';
    }
    std::cout << '\n';
    for (const auto& row : list) {
        for (const auto& [name, value] : row.items()) {
            std::cout << (value.is_string() ? value.get<std::string>() : value.dump()) << '\t';
        }
        std::cout << '\n';
    }
}

int show(const connection_options& options, const std::string& what, const std::string& list)
{
    admin_connection admin{options};
    const auto reply = admin.call("GET", what);
    if (const auto code = report(reply); code != exit_done) {
        return code;
    }
    if (options.output == "json") {
        std::cout << reply.body << '\n';
    }
    else {
        print_table(json::parse(reply.body).at(list));
    }
    return exit_done;
}

// Waits until every process that was heard of lately has `offset` in force.
int wait_in_force(admin_connection& admin, std::uint64_t offset, std::chrono::seconds limit)
{
    constexpr std::chrono::milliseconds poll{100};
    constexpr unsigned live_age_ms = 5'000;
    const auto until = std::chrono::steady_clock::now() + limit;
    std::string lagging;
    do {
        lagging.clear();
        const auto body = json::parse(admin.call("GET", "processes").body);
        for (const auto& process : body.at("processes")) {
            if (process.at("age_ms").get<unsigned>() < live_age_ms &&
                process.at("configuration_offset").get<std::uint64_t>() < offset) {
                lagging += " " + process.at("id").get<std::string>();
            }
        }
        if (lagging.empty()) {
            std::cout << "offset " << offset << " is in force everywhere\n";
            return exit_done;
        }
        std::this_thread::sleep_for(poll);
    } while (std::chrono::steady_clock::now() < until);
    std::cerr << "offset " << offset << " is not in force at:" << lagging << '\n';
    return exit_not_in_force;
}

int publish(const connection_options& options, const std::string& file, const std::string& author,
            unsigned wait_seconds)
{
    const auto text = cicadaport::yaml::read_file(file);
    cicadaport::configuration::parse_document(text, file);
    admin_connection admin{options};
    const auto present = json::parse(admin.call("GET", "configuration").body);
    json body{{"author", author}, {"sections", json::array()}};
    for (const auto& section : cicadaport::configuration::split_sections(text, file)) {
        std::uint64_t offset = 0;
        bool changed = true;
        for (const auto& known : present.at("sections")) {
            if (known.at("name") == section.name) {
                offset = known.at("offset").get<std::uint64_t>();
                changed = known.at("text") != section.text;
            }
        }
        if (changed) {
            body["sections"].push_back(
                {{"name", section.name}, {"based_on_offset", offset}, {"text", section.text}});
        }
    }
    if (body["sections"].empty()) {
        std::cout << "nothing to publish\n";
        return exit_done;
    }
    const auto reply = admin.call("POST", "configuration", body.dump());
    if (const auto code = report(reply); code != exit_done) {
        return code;
    }
    const auto offset = json::parse(reply.body).at("offset").get<std::uint64_t>();
    std::cout << "accepted at offset " << offset << '\n';
    return wait_seconds == 0 ? static_cast<int>(exit_done)
                             : wait_in_force(admin, offset, std::chrono::seconds{wait_seconds});
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Operates cicadaport: configuration, endpoints, processes"};
    app.require_subcommand(1);
    connection_options options;
    app.add_option("--admin", options.admin, "IP:PORT of a control process");
    app.add_option("--key", options.key, "The operator's key")->envname("CICADAPORT_OPERATOR_KEY");
    app.add_option("--output", options.output, "table or json")
        ->check(CLI::IsMember({"table", "json"}));

    int code = exit_done;
    std::string file;
    std::string author = "operator";
    std::string endpoint;
    unsigned wait_seconds = 9;
    auto* check_command = app.add_subcommand("check", "Check a configuration document");
    check_command->add_option("file", file)->required();
    check_command->callback([&] {
        cicadaport::configuration::parse_document(cicadaport::yaml::read_file(file), file);
        std::cout << file << ": ok\n";
    });
    auto* publish_command = app.add_subcommand("publish", "Publish the sections that changed");
    publish_command->add_option("file", file)->required();
    publish_command->add_option("--author", author, "Who publishes, for others to see");
    publish_command->add_option("--wait", wait_seconds,
                                "Seconds to wait until it is in force everywhere; 0: don't");
    publish_command->callback([&] { code = publish(options, file, author, wait_seconds); });
    app.add_subcommand("processes", "List processes and the configuration in force at each")
        ->callback([&] { code = show(options, "processes", "processes"); });
    app.add_subcommand("endpoints", "List endpoints with role and drain")->callback([&] {
        code = show(options, "endpoints", "endpoints");
    });
    app.add_subcommand("leases", "List leases and their holders")->callback([&] {
        code = show(options, "leases", "leases");
    });
    for (const std::string action : {"drain", "undrain"}) {
        auto* command = app.add_subcommand(action, "Stop or resume giving an endpoint work");
        command->add_option("endpoint", endpoint)->required();
        command->callback([&, action] {
            admin_connection admin{options};
            code = report(admin.call(
                "POST", std::string{"endpoints/"}.append(endpoint).append("/").append(action)));
        });
    }
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        const auto parse_code = app.exit(error);
        return parse_code == 0 ? static_cast<int>(exit_done) : static_cast<int>(exit_invalid);
    }
    catch (const cicadaport::yaml::document_error& error) {
        std::cerr << error.what() << '\n';
        return exit_invalid;
    }
    catch (const http::exchange_error& error) {
        std::cerr << options.admin << ": " << error.what() << '\n';
        return exit_unreachable;
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return exit_failed;
    }
    return code;
}
