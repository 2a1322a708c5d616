// The commands of the operators' tool.
#pragma once

#include "cicadaport/operator_tool/admin_client.h"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace cicadaport::operator_tool {

// Exit codes that scripts can rely on.
enum exit_code : int {
    exit_done = 0,
    // Something else went wrong.
    exit_failed = 1,
    // The command line, a document or a settings file is wrong.
    exit_invalid = 2,
    // The fold refused the change, or there is a difference (`diff`).
    exit_refused = 3,
    // No control process answered.
    exit_unreachable = 4,
    // The wait ended before every live process had the offset in force.
    exit_not_in_force = 5,
};

enum class output_format { table, json };

// Each command prints to the streams it was made with and returns an
// `exit_code`. Not thread safe; the client and the streams must outlive it.
class commands {
public:
    commands(admin_client& admin, output_format format, std::ostream& out, std::ostream& errors);

    // Publishes the sections of `file` that changed; waits up to `wait` until
    // every live process has them in force, not at all if it is zero. Throws
    // `yaml::document_error`.
    int publish(const std::string& file, const std::string& author, std::chrono::seconds wait);

    // Shows what publishing `file` would change.
    int diff(const std::string& file);

    // Prints the configuration in force, or one section of it.
    int show(const std::string& section);

    // Waits until every live process has `offset` in force; names those that lag.
    int wait(std::uint64_t offset, std::chrono::seconds limit);

    // Lists `what`: processes, endpoints or leases.
    int list(const std::string& what);

    // Shows what role control does for each partition, its last changes and the
    // wishes that wait. Every process is asked: only the holder of a
    // partition's lease knows why it decides as it does.
    int roles();

    // Asks for `action`, drain or undrain, at `endpoint`.
    int change_endpoint(const std::string& endpoint, const std::string& action);

private:
    int report(const http::response& reply);
    void show_winner(const http::response& reply, const std::string& file);

    admin_client& m_admin;
    output_format m_format;
    std::ostream& m_out;
    std::ostream& m_errors;
};

} // namespace cicadaport::operator_tool
