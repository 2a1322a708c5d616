// What one process is told at its start: addresses, availability zone, platform.
#pragma once

#include "cicadaport/http/address.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadaport::settings {

// Settings that every process of the system has.
struct common_settings {
    std::string id;
    std::string region;
    std::string availability_zone;
    std::string log_level = "info";
    // Where health, readiness, metrics and administration are served.
    http::address admin_address;
    // How long a planned stop waits for requests that run.
    std::chrono::milliseconds grace_time{10'000};
    std::uint32_t workers = 2;
};

// How completions go through an entry process. Pass-through neither retries
// nor resumes; it is the baseline for measurements.
enum class completion_path { resumable, pass_through };

// How an engine is chosen. All but the first and the last are baselines that
// admit everything.
enum class placement_policy {
    predicted,
    two_random_choices,
    random,
    round_robin,
    least_outstanding,
    cache_only,
    // As `predicted`, but no request is divided between a prefill engine and
    // another one: prefill engines get nothing.
    predicted_one_stage,
};

struct entry_settings {
    common_settings common;
    completion_path path = completion_path::resumable;
    placement_policy placement = placement_policy::predicted;
    // The platform's log, for claims; port 0 if there is none.
    http::address log;
    // Where callers connect.
    http::address caller_address;
    // The control processes to follow; the one on the same host first.
    std::vector<http::address> relays;
};

struct platform_settings {
    http::address log;
    http::address host_list;
    http::address weight_store;
};

struct control_settings {
    common_settings common;
    // Where other processes pull from this one.
    http::address relay_address;
    // The relays of the other control processes.
    std::vector<http::address> peers;
    platform_settings platform;
    // SHA-256 of the key that operators present.
    std::string operator_key_sha256;
    std::chrono::milliseconds lease_time{3'000};
};

// Each reads a settings file and throws `yaml::document_error` with every
// problem, or std::runtime_error if the file can't be read.
entry_settings read_entry_settings(const std::string& file);
control_settings read_control_settings(const std::string& file);

} // namespace cicadaport::settings
