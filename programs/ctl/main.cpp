// The operators' command-line tool, on top of the administration API.
#include "cicadaport/configuration/document.h"
#include "cicadaport/operator_tool/commands.h"
#include "cicadaport/yaml/reader.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <iostream>

namespace {

namespace http = cicadaport::http;
namespace tool = cicadaport::operator_tool;

constexpr char exit_codes[] =
    "Exit codes: 0 done; 1 failed; 2 wrong arguments or document; 3 refused, or different "
    "(diff); 4 no control process answered; 5 not in force everywhere in time.";

// What every command needs.
struct connection_options {
    std::vector<std::string> admin{"127.0.0.1:9201"};
    std::string key;
    std::string output = "table";
};

// Runs `command` against the processes that the options name.
int with_commands(const connection_options& options,
                  const std::function<int(tool::commands&)>& command)
{
    std::vector<http::address> addresses;
    for (const auto& text : options.admin) {
        addresses.push_back(http::parse_address(text));
    }
    tool::admin_client admin{std::move(addresses), options.key};
    const auto format =
        options.output == "json" ? tool::output_format::json : tool::output_format::table;
    tool::commands all{admin, format, std::cout, std::cerr};
    return command(all);
}

int check(const std::string& file)
{
    cicadaport::configuration::parse_document(cicadaport::yaml::read_file(file), file);
    std::cout << file << ": ok\n";
    return tool::exit_done;
}

// The arguments of all commands.
struct arguments {
    connection_options connection;
    std::string file;
    std::string author = "operator";
    std::string endpoint;
    std::string role;
    std::string section;
    std::uint64_t offset = 0;
    unsigned wait_seconds = 9;
};

void add_connection_options(CLI::App& app, connection_options& options)
{
    app.add_option("--admin", options.admin,
                   "IP:PORT of a control process; several, by commas, are tried in turn")
        ->delimiter(',')
        ->expected(1)
        ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    app.add_option("--key", options.key, "The operator's key")->envname("CICADAPORT_OPERATOR_KEY");
    app.add_option("--output", options.output, "table or json")
        ->check(CLI::IsMember({"table", "json"}));
}

void add_configuration_commands(CLI::App& app, arguments& given, int& code)
{
    const auto run = [&](auto command) { code = with_commands(given.connection, command); };
    auto* check_command = app.add_subcommand("check", "Check a configuration document");
    check_command->add_option("file", given.file)->required();
    check_command->callback([&] { code = check(given.file); });

    auto* publish = app.add_subcommand("publish", "Publish the sections that changed");
    publish->add_option("file", given.file)->required();
    publish->add_option("--author", given.author, "Who publishes, for others to see");
    publish->add_option("--wait", given.wait_seconds,
                        "Seconds to wait until it is in force everywhere; 0: don't");
    publish->callback([&, run] {
        run([&](tool::commands& all) {
            return all.publish(given.file, given.author, std::chrono::seconds{given.wait_seconds});
        });
    });

    auto* diff = app.add_subcommand("diff", "Show what publishing a document would change");
    diff->add_option("file", given.file)->required();
    diff->callback([&, run] { run([&](tool::commands& all) { return all.diff(given.file); }); });

    auto* show = app.add_subcommand("show", "Print the configuration in force");
    show->add_option("section", given.section, "One section instead of all");
    show->callback([&, run] { run([&](tool::commands& all) { return all.show(given.section); }); });

    auto* wait = app.add_subcommand("wait", "Wait until an offset is in force everywhere");
    wait->add_option("offset", given.offset)->required();
    wait->add_option("--wait", given.wait_seconds, "Seconds to wait");
    wait->callback([&, run] {
        run([&](tool::commands& all) {
            return all.wait(given.offset, std::chrono::seconds{given.wait_seconds});
        });
    });
}

void add_list_commands(CLI::App& app, arguments& given, int& code)
{
    const auto add = [&](const std::string& what, const std::string& help) {
        app.add_subcommand(what, help)->callback([&, what] {
            code = with_commands(given.connection,
                                 [&](tool::commands& all) { return all.list(what); });
        });
    };
    add("processes", "List processes and the configuration in force at each");
    add("endpoints", "List endpoints with role and drain");
    add("leases", "List leases and their holders");
    app.add_subcommand("roles", "Show why engines' roles change or don't")->callback([&] {
        code = with_commands(given.connection, [](tool::commands& all) { return all.roles(); });
    });
}

void add_endpoint_commands(CLI::App& app, arguments& given, int& code)
{
    const auto add = [&](const std::string& action, const std::string& help) {
        auto* command = app.add_subcommand(action, help);
        command->add_option("endpoint", given.endpoint)->required();
        command->callback([&, action] {
            code = with_commands(given.connection, [&](tool::commands& all) {
                return all.change_endpoint(given.endpoint, action);
            });
        });
    };
    add("drain", "Give an endpoint no new work");
    add("undrain", "Give an endpoint work again");

    auto* role = app.add_subcommand("role", "Fix an engine's role, or leave it to role control");
    role->add_option("endpoint", given.endpoint)->required();
    role->add_option("role", given.role, "mixed, prefill, decode, or auto to withdraw the wish")
        ->required()
        ->check(CLI::IsMember({"mixed", "prefill", "decode", "auto"}));
    role->callback([&] {
        const auto wish = given.role == "auto" ? std::string{} : given.role;
        code = with_commands(given.connection, [&](tool::commands& all) {
            return all.change_endpoint(given.endpoint, "role?role=" + wish);
        });
    });
}

int parse_and_run(CLI::App& app, int argc, char** argv, const int& code)
{
    try {
        app.parse(argc, argv);
        return code;
    }
    catch (const CLI::ParseError& error) {
        const auto parse_code = app.exit(error);
        return parse_code == 0 ? static_cast<int>(tool::exit_done)
                               : static_cast<int>(tool::exit_invalid);
    }
    catch (const cicadaport::yaml::document_error& error) {
        std::cerr << error.what() << '\n';
        return tool::exit_invalid;
    }
    catch (const std::invalid_argument& error) {
        std::cerr << error.what() << '\n';
        return tool::exit_invalid;
    }
    catch (const http::exchange_error& error) {
        std::cerr << error.what() << '\n';
        return tool::exit_unreachable;
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return tool::exit_failed;
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Operates cicadaport: configuration, endpoints, processes"};
    app.require_subcommand(1);
    app.footer(exit_codes);
    arguments given;
    int code = tool::exit_done;
    add_connection_options(app, given.connection);
    add_configuration_commands(app, given, code);
    add_list_commands(app, given, code);
    add_endpoint_commands(app, given, code);
    return parse_and_run(app, argc, argv, code);
}
