// What a run left behind: the log, what processes showed, and the engines' own
// records. Times count from the start of the run, on one clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadaport::faults {

// When something surely had not happened yet and when it surely had.
struct time_bounds {
    std::chrono::milliseconds not_before{0};
    std::chrono::milliseconds not_after{0};
};

// One order in the record of the engine that it reached.
struct received_order {
    std::string order_id;
    std::uint64_t fencing_number = 0;
    bool accepted = false;
    // Whether it came while a different order was being carried out.
    bool conflicting = false;
    time_bounds when;
};

// An engine's orders in the order of their arrival, over all its lives.
struct engine_record {
    std::string name;
    bool checks_fencing = false;
    std::vector<received_order> orders;
};

// What a process said its configuration was.
struct shown_configuration {
    std::string process;
    std::chrono::milliseconds at{0};
    std::uint64_t offset = 0;
    // The texts of the sections; nothing where the process shows only offsets.
    std::optional<std::map<std::string, std::string>> sections;
};

struct section_change {
    std::string section;
    std::uint64_t based_on_offset = 0;
    std::string text;
};

// An edit that the fold accepted.
struct accepted_edit {
    std::uint64_t offset = 0;
    std::string append_id;
    std::vector<section_change> changes;
    time_bounds when;
};

enum class edit_result {
    accepted,
    // The operator was told that the edit surely has no effect.
    refused,
    unknown,
};

// What an operator sent and was told. No two operators send the same text.
struct operator_edit {
    std::string section;
    std::string text;
    edit_result result = edit_result::unknown;
    std::uint64_t offset = 0;
};

enum class lease_change { claimed, renewed, released };

// A change of a lease that the fold accepted.
struct lease_event {
    lease_change change = lease_change::claimed;
    std::uint64_t offset = 0;
    std::string partition;
    std::string holder;
    std::uint64_t fencing_number = 0;
    std::chrono::milliseconds duration{0};
    time_bounds when;
};

// An intent that the fold accepted.
struct announced_order {
    std::uint64_t offset = 0;
    std::string order_id;
    std::string endpoint;
    std::uint64_t fencing_number = 0;
};

// A settlement that the fold accepted.
struct settled_order {
    std::uint64_t offset = 0;
    std::string order_id;
    std::string endpoint;
    bool applied = false;
    time_bounds when;
};

// A fault as it befell a process, or the log.
struct begun_fault {
    std::string kind;
    std::string target;
    std::chrono::milliseconds at{0};
};

// All of one run, each list in its natural order: of the log or of time.
struct run_records {
    std::vector<engine_record> engines;
    std::vector<shown_configuration> shown;
    std::vector<accepted_edit> edits;
    std::vector<operator_edit> operators;
    std::vector<lease_event> leases;
    std::vector<announced_order> announced;
    std::vector<settled_order> settled;
    std::vector<begun_fault> begun;
    // Processes that run at the end.
    std::vector<std::string> live;
    // When the last fault had ended.
    std::chrono::milliseconds faults_ended{0};
};

} // namespace cicadaport::faults
