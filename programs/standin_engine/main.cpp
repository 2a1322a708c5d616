// The stand-in for a language-model engine.
#include "cicadaport/standins/engine_server.h"
#include "cicadaport/standins/stand_in.h"

#include <CLI/CLI.hpp>

namespace {

using cicadaport::standins::engine_role;
using cicadaport::standins::engine_settings;

const std::map<std::string, engine_role> role_names{{"mixed", engine_role::mixed},
                                                    {"prefill", engine_role::prefill},
                                                    {"decode", engine_role::decode}};

// An option that takes a whole number of `Unit`.
template <typename Unit>
void add_time(CLI::App& app, const std::string& name, Unit& value, const std::string& help)
{
    app.add_option_function<std::int64_t>(
        name, [&value](std::int64_t count) { value = Unit{count}; }, help);
}

void add_options(CLI::App& app, engine_settings& settings)
{
    app.add_option("--name", settings.name, "Name in reports");
    app.add_option("--model", settings.model, "Model that is loaded at the start");
    app.add_option("--version", settings.version, "Version of that model");
    app.add_option("--role", settings.role, "Role at the start")
        ->transform(CLI::CheckedTransformer(role_names));
    app.add_option("--checks-fencing", settings.checks_fencing,
                   "Whether orders with an old fencing number are refused");
    app.add_option("--event-loss", settings.event_loss, "Part of cache events that are lost");
    app.add_option("--cache-blocks", settings.costs.cache_blocks, "Size of the prefix cache");
    app.add_option("--most-running", settings.costs.most_running, "Largest batch");
    app.add_option("--prefill-chunk", settings.costs.prefill_chunk, "Prompt tokens a step");
    add_time(app, "--step-us", settings.costs.step_base, "Time of an empty step");
    add_time(app, "--prefill-us", settings.costs.per_prefill_token, "Time per prompt token");
    add_time(app, "--decode-us", settings.costs.per_decode_token, "Time per answer token");
    add_time(app, "--import-us", settings.costs.per_imported_token, "Time per imported token");
    add_time(app, "--change-ms", settings.change_time, "Time of a change of role or model");
    add_time(app, "--report-lag-ms", settings.report_lag, "Age of load reports");
    add_time(app, "--orphan-ms", settings.orphan_time, "How long unread streams go on");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for a language-model engine"};
    std::string listen = "127.0.0.1:0";
    engine_settings settings;
    app.add_option("--listen", listen, "IP:PORT to listen on; port 0 takes a free one");
    add_options(app, settings);
    CLI11_PARSE(app, argc, argv);
    cicadaport::base::io_pool pool{1};
    cicadaport::standins::engine_server engine{pool.context(0), settings};
    boost::asio::co_spawn(pool.context(0), engine.run(), boost::asio::detached);
    cicadaport::standins::serve_until_signal(
        pool, cicadaport::http::parse_address(listen),
        [&](std::size_t, const cicadaport::http::request& message,
            cicadaport::http::response_writer& writer) { return engine.handle(message, writer); });
    return 0;
}
