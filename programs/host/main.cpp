// Runs the serving process on one host of the platform.
#include "platform/settings.h"
#include "platform/wire.h"

#include "cicadaport/base/large_blocks.h"
#include "cicadaport/base/signal_block.h"
#include "cicadaport/base/standard_streams.h"
#include "cicadaport/telemetry/log.h"

#include <CLI/CLI.hpp>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>

int main(int argc, char** argv)
{
    using namespace cicadaport;
    // A log or a connection whose reader has ended must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    base::signal_block until_handled{SIGHUP, SIGTERM, SIGINT};
    base::open_closed_standard_streams();
    base::return_large_blocks();
    CLI::App app{"Serves requests of callers on one host of the platform."};
    std::string settings_file;
    std::string log_level = "info";
    app.add_option("--settings", settings_file, "The settings file of this host")
        ->envname(platform::settings_variable)
        ->required();
    app.add_option("--log-level", log_level, "trace, debug, info, warn or error")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    telemetry::start_logging("host", log_level);
    try {
        const auto read = [&] { return platform::read_settings(settings_file); };
        const platform::wire wire{read().store_address};
        serving::host_process process{read, wire};
        until_handled.release();
        process.run();
        return EXIT_SUCCESS;
    }
    catch (const std::exception& error) {
        spdlog::critical("host_failed error=\"{}\"", error.what());
        return EXIT_FAILURE;
    }
}
