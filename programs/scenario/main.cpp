// The runner of scripted scenarios.
#include "cicadaport/scenario/runner.h"
#include "cicadaport/yaml/reader.h"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <iostream>

namespace {

namespace scenario = cicadaport::scenario;

// Exit codes that scripts can rely on.
enum exit_code : int {
    exit_passed = 0,
    exit_failed = 1,
    exit_invalid = 2,
};

int run_file(const std::string& file, const scenario::run_options& options, bool as_json)
{
    const auto script = scenario::parse_script(cicadaport::yaml::read_file(file), file);
    const auto result = scenario::run(script, options);
    std::cout << (as_json ? scenario::to_json(result) + "\n" : scenario::to_text(result));
    return result.passed() ? exit_passed : exit_failed;
}

// The folder of this program, where the other binaries are.
std::string own_folder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Runs scripted scenarios against processes that it starts and ends itself"};
    app.require_subcommand(1);
    scenario::run_options options{std::filesystem::current_path().string(), own_folder()};
    std::string output = "text";
    std::string file;
    app.add_option("--output", output, "text or json")->check(CLI::IsMember({"text", "json"}));
    app.add_option("--root", options.root, "The repository's root")->envname("CICADAPORT_ROOT");
    app.add_option("--bin", options.bin, "The folder of the binaries")->envname("CICADAPORT_BIN");
    int code = exit_passed;
    auto* run = app.add_subcommand("run", "Run a scenario; exit code 0: passed, 1: failed");
    run->add_option("file", file, "The scenario's YAML file")->required();
    run->fallthrough();
    run->callback([&] { code = run_file(file, options, output == "json"); });
    auto* check = app.add_subcommand("check", "Check a scenario's file without running it");
    check->add_option("file", file, "The scenario's YAML file")->required();
    check->callback([&] {
        scenario::parse_script(cicadaport::yaml::read_file(file), file);
        std::cout << file << ": ok\n";
    });
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exit_passed : exit_invalid;
    }
    catch (const cicadaport::yaml::document_error& error) {
        std::cerr << error.what() << '\n';
        return exit_invalid;
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return exit_failed;
    }
    return code;
}
