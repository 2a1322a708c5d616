// Scripted scenarios: the steps of a test of running processes, written in YAML.
//
// Parsing is pure; nothing is started here.
//
//   const auto script = scenario::parse_script(text, "scenarios/kill.yaml");
//   for (const auto& step : script.steps) ...
#pragma once

#include "cicadaport/base/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cicadaport::scenario {

// Starts processes of the deployment; an empty list means all of them.
struct start_processes {
    std::vector<std::string> processes;
};

// Starts all processes, publishes the deployment's document, and waits until it
// is in force everywhere.
struct serve {};

// Waits until each process answers that it is ready, or listens if it is a
// stand-in.
struct wait_until_ready {
    std::vector<std::string> processes;
};

// Waits until the newest accepted configuration is in force at every process
// that is heard of, and checks that no process ever shows an older one than
// before.
struct wait_until_in_force {
    std::string through;
    // Ids of processes that are known to be cut off or stopped.
    std::vector<std::string> except;
};

// What the administration API may say to a proposal.
enum class publication_result { accepted, refused, unavailable };

// Publishes the deployment's whole document, or one section with a text
// replaced in it.
struct publish {
    std::string through;
    std::string author;
    std::string section;
    std::string find;
    std::string replace;
    // Name of a reading to base the edit on; empty: the present configuration.
    std::string based_on;
    publication_result result = publication_result::accepted;
    // The verdict that the reply must carry, if any.
    std::optional<base::verdict> verdict;
};

// Reads the configuration through a control process and keeps it by name.
struct read_configuration {
    std::string through;
    std::string name;
};

// Sends requests in the background, evenly spread over time. Their answers are
// kept under `name`.
struct call {
    std::string name;
    std::string through;
    std::string method;
    std::string path;
    std::string key;
    std::string idempotency_key;
    std::string body;
    // For completions: the tokens that the answer must have.
    std::uint32_t tokens = 0;
    bool streamed = false;
    std::uint32_t count = 1;
    double per_second = 0;
    std::chrono::milliseconds timeout{0};
};

// Waits for all answers of a call and checks each.
struct expect_answers {
    std::string name;
    std::optional<std::uint32_t> status;
    std::optional<base::verdict> verdict;
    bool whole = false;
    // Whether each answer must be recognisable as incomplete.
    bool incomplete = false;
};

enum class process_signal { kill, terminate, freeze, thaw };

struct send_signal {
    std::string process;
    process_signal signal = process_signal::kill;
};

// Starts again a process that has ended.
struct restart {
    std::string process;
};

struct wait_until_exit {
    std::string process;
    // Whether the process must have ended by itself with exit code 0.
    bool clean = true;
};

// Sets faults at a stand-in: parameters of its /v1/faults.
struct set_faults {
    std::string process;
    std::string parameters;
};

// Cuts or mends the link between a control or entry process and the log.
struct change_link {
    std::string process;
    bool cut = true;
};

struct sleep_for {
    std::chrono::milliseconds time{0};
};

// Bounds how often requests ran at the service's replicas, counted over those
// with this idempotency key or, without one, with this path.
struct expect_runs {
    std::string service;
    std::string idempotency_key;
    std::string path;
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    // Whether no idempotency key and no request id may have run twice.
    bool unique = false;
};

// Checks that no engine took an order that conflicts with another.
struct expect_no_conflicting_orders {};

// Waits until so many engines have each role, by their own word, and none is
// changing.
struct wait_for_roles {
    std::uint32_t mixed = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;

    bool operator==(const wait_for_roles&) const = default;
};

struct change_drain {
    std::string through;
    std::string endpoint;
    bool drain = true;
};

// Keeps, by name, how many requests an endpoint has started so far.
struct count_work {
    std::string process;
    std::string name;
};

// Checks that an endpoint has started nothing since the count was taken.
struct expect_no_work_since {
    std::string process;
    std::string name;
};

using action =
    std::variant<start_processes, serve, wait_until_ready, wait_until_in_force, publish,
                 read_configuration, call, expect_answers, send_signal, restart, wait_until_exit,
                 set_faults, change_link, sleep_for, expect_runs, expect_no_conflicting_orders,
                 wait_for_roles, change_drain, count_work, expect_no_work_since>;

// One step with its time limit. `name` is the action's name in the script.
struct step {
    std::string name;
    std::string detail;
    action what;
    std::chrono::milliseconds limit{0};
};

// A whole scenario.
struct script {
    // The promise that is tested, as a sentence.
    std::string promise;
    std::string deployment;
    // How many engines to start; 0 means as many as the deployment has.
    std::uint32_t engines = 0;
    std::vector<std::string> engine_arguments;
    std::vector<step> steps;
};

// Throws `yaml::document_error` that lists every problem with its place.
script parse_script(const std::string& text, const std::string& file);

} // namespace cicadaport::scenario
