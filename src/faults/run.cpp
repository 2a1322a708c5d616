#include "cicadaport/faults/run.h"

#include "internal/port_block.h"
#include "internal/session.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cicadaport::faults {
namespace {

std::string make_folder()
{
    auto path = (std::filesystem::temp_directory_path() / "cicadaport-faults-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error{path + ": cannot be made"};
    }
    return path;
}

void write_records(const run_records& records, std::ostream& out)
{
    for (const auto& engine : records.engines) {
        for (const auto& each : engine.orders) {
            out << each.when.not_before.count() << ".." << each.when.not_after.count() << " ms "
                << engine.name << " order " << each.order_id << " fencing_number "
                << each.fencing_number << " accepted " << each.accepted << " conflicting "
                << each.conflicting << '\n';
        }
    }
    for (const auto& each : records.leases) {
        constexpr std::string_view names[] = {"claimed", "renewed", "released"};
        out << each.when.not_before.count() << ".." << each.when.not_after.count() << " ms offset "
            << each.offset << " lease " << each.partition << ' '
            << names[static_cast<int>(each.change)] << " by " << each.holder << " fencing_number "
            << each.fencing_number << '\n';
    }
    for (const auto& each : records.announced) {
        out << "offset " << each.offset << " announced " << each.order_id << " for "
            << each.endpoint << " fencing_number " << each.fencing_number << '\n';
    }
    for (const auto& each : records.settled) {
        out << each.when.not_after.count() << " ms offset " << each.offset << " settled "
            << each.order_id << " for " << each.endpoint << " applied " << each.applied << '\n';
    }
    for (const auto& each : records.begun) {
        out << each.at.count() << " ms " << each.kind << ' ' << each.target << '\n';
    }
    for (const auto& each : records.edits) {
        out << each.when.not_after.count() << " ms offset " << each.offset << " edit "
            << each.append_id << '\n';
    }
    for (const auto& each : records.shown) {
        out << each.at.count() << " ms " << each.process << " shows offset " << each.offset << '\n';
    }
    out << records.faults_ended.count() << " ms faults ended\n";
}

void keep(const schedule& what, run_result& result, const std::string& folder)
{
    result.folder = folder;
    std::ofstream{folder + "/schedule.txt"} << to_text(what);
    std::ofstream records{folder + "/records.txt"};
    write_records(result.records, records);
    std::ofstream{folder + "/result.txt"} << to_line(result) << '\n';
}

} // namespace

run_result run_schedule(const schedule& what, const run_options& options)
{
    run_result out;
    out.seed = what.seed;
    const auto folder = make_folder();
    try {
        const port_block ports{options.first_port};
        session running{what, options, ports.first(), folder};
        out.records = running.run();
        out.breaches = find_breaches(out.records);
    }
    catch (const std::exception& error) {
        out.problem = error.what();
    }
    if (out.passed()) {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    else {
        keep(what, out, folder);
    }
    return out;
}

std::string to_line(const run_result& value)
{
    std::size_t orders = 0;
    for (const auto& each : value.records.engines) {
        orders += each.orders.size();
    }
    std::ostringstream out;
    out << "seed " << value.seed << ": " << (value.passed() ? "passed" : "FAILED") << ", " << orders
        << " orders received, " << value.records.edits.size() << " edits, "
        << value.records.leases.size() << " lease changes";
    if (!value.problem.empty()) {
        out << ", not run: " << value.problem;
    }
    if (!value.folder.empty()) {
        out << ", kept in " << value.folder;
    }
    for (const auto& each : value.breaches) {
        out << "\n  " << to_string(each.kind) << ": " << each.detail;
    }
    return out.str();
}

} // namespace cicadaport::faults
