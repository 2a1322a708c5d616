// The control process: folds the log, holds leases, serves operators.
#include "cicadaport/control/process.h"
#include "cicadaport/settings/process_settings.h"
#include "cicadaport/telemetry/log.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    CLI::App app{"Follows the log, relays it to other processes and serves operators"};
    std::string file;
    app.add_option("--settings", file, "YAML file with this process's settings")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        const auto settings = cicadaport::settings::read_control_settings(file);
        cicadaport::telemetry::start_logging(settings.common.id, settings.common.log_level);
        cicadaport::control::run(settings);
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
