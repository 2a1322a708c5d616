// Random schedules of faults, operators' edits and operators' wishes.
//
// Pure: the same seed gives the same schedule, and nothing is started here.
//
//   const auto what = faults::make_schedule(17);
//   std::cout << faults::to_text(what);
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::faults {

enum class fault_kind {
    // SIGKILL, and a new start at the end of the fault.
    kill,
    // SIGSTOP, and SIGCONT at the end.
    freeze,
    // A control process stops itself at `step` of the path of an order, the
    // first time it gets there, and goes on at the end.
    freeze_at_step,
    cut_from_log,
    cut_from_peers,
    log_outage,
    // `degree` percent of the appends take effect without an answer.
    lost_answers,
    // Each request to the log takes `degree` milliseconds longer.
    slow_log,
    // The engine ends halfway through its next change, and is started again.
    engine_crash,
    // The engine's next `degree` answers to orders are lost.
    lost_order_answers,
};

std::string_view to_string(fault_kind kind);

// Stands for the process that holds the lease when the fault begins, or the
// operator speaks.
constexpr std::string_view lease_holder = "holder";

// Stands for a control process that does not hold it then.
constexpr std::string_view other_than_lease_holder = "other";

struct fault {
    fault_kind kind = fault_kind::kill;
    // The process it befalls, or `lease_holder`; empty for those of the log.
    std::string target;
    std::string step;
    std::uint32_t degree = 0;
    // From the time at which the deployment serves.
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds lasts{0};

    bool operator==(const fault&) const = default;
};

// Operators change one section at the same time, each through one process.
struct planned_edit {
    std::chrono::milliseconds at{0};
    std::vector<std::string> through;

    bool operator==(const planned_edit&) const = default;
};

// An operator wishes a role for an engine.
struct planned_wish {
    std::chrono::milliseconds at{0};
    // A process, or `other_than_lease_holder`.
    std::string through;
    std::string engine;
    std::string role;

    bool operator==(const planned_wish&) const = default;
};

struct schedule {
    std::uint64_t seed = 0;
    std::uint32_t hosts = 3;
    std::uint32_t entries = 1;
    std::uint32_t engines = 2;
    // In how many availability zones the hosts are; hosts of one zone share a
    // reader of the log.
    std::uint32_t zones = 1;
    // Whether every other engine checks fencing numbers, or none does.
    bool some_check_fencing = true;
    std::chrono::milliseconds lease_time{1'000};
    std::chrono::milliseconds change_time{200};
    std::vector<fault> faults;
    std::vector<planned_edit> edits;
    std::vector<planned_wish> wishes;

    bool operator==(const schedule&) const = default;

    // When the last fault ends.
    std::chrono::milliseconds end() const;
};

// Names of the processes as scripts/make_deployment gives them, from 1 on.
std::string control_name(std::uint32_t number);
std::string entry_name(std::uint32_t number);
std::string engine_name(std::uint32_t number);

schedule make_schedule(std::uint64_t seed);

// One line for the whole, then one line for each event, in order of time.
std::string to_text(const schedule& value);

} // namespace cicadaport::faults
