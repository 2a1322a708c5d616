// Carries out the steps of one scenario.
#pragma once

#include "cicadaport/scenario/script.h"
#include "internal/caller.h"
#include "internal/fleet.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace cicadaport::scenario {

// Says that something else was seen than the step expects.
class expectation_failed : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Keeps what earlier steps started, sent and read. Not thread safe.
class session {
public:
    session(const script& what, const run_options& options);

    // Carries out one step; throws if it fails or exceeds its time limit.
    void execute(const step& what);

    // Keeps the outputs of the processes and returns their folder.
    std::string keep_folder();

private:
    using clock = std::chrono::steady_clock;

    // The answers of one call step and what they should look like.
    struct pending_call {
        std::uint32_t tokens = 0;
        bool streamed = false;
        std::vector<std::future<answer>> answers;
    };

    // A process as one control process showed it.
    struct sighting {
        std::string seen_by;
        std::string process;
        auto operator<=>(const sighting&) const = default;
    };

    void perform(const start_processes& what);
    void perform(const serve& what);
    void perform(const wait_until_ready& what);
    void perform(const wait_until_in_force& what);
    void perform(const publish& what);
    void perform(const read_configuration& what);
    void perform(const call& what);
    void perform(const expect_answers& what);
    void perform(const send_signal& what);
    void perform(const restart& what);
    void perform(const wait_until_exit& what);
    void perform(const set_faults& what);
    void perform(const change_link& what);
    void perform(const sleep_for& what);
    void perform(const expect_runs& what);
    void perform(const expect_no_conflicting_orders& what);
    void perform(const wait_for_roles& what);
    void perform(const change_drain& what);
    void perform(const count_work& what);
    void perform(const expect_no_work_since& what);

    std::chrono::milliseconds time_left() const;
    void pause() const;
    bool is_ready(const process_entry& process);
    std::string lagging(const wait_until_in_force& what);
    void check_never_lower(const sighting& where, std::uint64_t offset);
    std::vector<target> targets_of(const std::string& through, std::uint32_t turn);
    answer ask(const http::address& to, std::string method, std::string path);
    answer administer(const std::string& through, std::string method, const std::string& path,
                      std::string body = {});
    std::optional<wait_for_roles> count_roles();
    nlohmann::json read_json(const http::address& from, const std::string& path);
    nlohmann::json edit_of(const publish& what);
    nlohmann::json document_edit(const nlohmann::json& present);
    nlohmann::json runs_of(const std::string& service);
    std::uint64_t work_of(const std::string& process);

    fleet m_fleet;
    clock::time_point m_until;
    std::uint64_t m_published = 0;
    std::map<sighting, std::uint64_t> m_highest_shown;
    std::map<std::string, nlohmann::json> m_readings;
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, pending_call> m_calls;
    // Last, so that its event loop ends first.
    caller m_caller;
};

} // namespace cicadaport::scenario
