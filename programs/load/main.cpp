// The load tool: sends a deployment's requests and sums up what came of them.
#include "cicadaport/load/runner.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace cicadaport;

struct arguments {
    std::string profile = "nguyen_phat";
    std::string swing = "none";
    std::vector<std::string> entries;
    std::uint64_t seed = 1;
    double rate = 10;
    double duration_s = 10;
    std::uint32_t engines = 0;
    std::string results_file;
};

void add_options(CLI::App& app, arguments& out)
{
    app.add_option("--profile", out.profile, "nguyen_phat or saheli");
    app.add_option("--swing", out.swing, "How the mix moves: none, once, slow or fast");
    app.add_option("--entry", out.entries, "IP:PORT of an entry process; repeatable")->required();
    app.add_option("--seed", out.seed, "Seed of the arrivals");
    app.add_option("--rate", out.rate, "Requests per second");
    app.add_option("--duration-s", out.duration_s, "How long requests arrive");
    app.add_option("--engines", out.engines, "Engines of the fleet, to print the goodput's bound");
    app.add_option("--results", out.results_file, "File for one JSON line per request");
}

void run(const arguments& given)
{
    const auto profile = load::find_profile(given.profile);
    const auto arrivals =
        load::make_schedule(profile, {given.seed, given.rate, load::seconds{given.duration_s},
                                      load::parse_swing(given.swing)});
    std::vector<http::address> entries;
    for (const auto& text : given.entries) {
        entries.push_back(http::parse_address(text));
    }
    const auto results = load::run_schedule(profile, arrivals, entries);
    if (!given.results_file.empty()) {
        std::ofstream file{given.results_file};
        for (const auto& each : results) {
            file << load::to_json(profile, each) << '\n';
        }
    }
    const auto summaries = load::summarize(profile, results);
    for (const auto& each : summaries) {
        std::cout << load::to_json(each) << '\n';
    }
    if (given.engines > 0) {
        std::cout << "{\"bound\":"
                  << load::goodput_bound(profile, arrivals, given.engines, load::bound_costs{})
                  << "}\n";
    }
    std::cerr << load::to_table(summaries);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Sends a deployment's requests at their times, whatever becomes of them"};
    arguments given;
    add_options(app, given);
    CLI11_PARSE(app, argc, argv);
    try {
        run(given);
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
