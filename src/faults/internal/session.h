// One run of a schedule: the faults, the operators and those who watch.
#pragma once

#include "cicadaport/faults/run.h"
#include "cicadaport/http/client.h"
#include "cicadaport/shared_log/log_client.h"
#include "internal/fleet.h"
#include "internal/log_records.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <string>

namespace cicadaport::faults {

// Everything runs on one event loop, on the thread that calls `run()`.
class session {
public:
    session(const schedule& what, const run_options& options, std::uint16_t base_port,
            const std::string& folder);

    // Carries out the schedule and returns the records. Throws
    // std::runtime_error if the deployment does not come to serve.
    run_records run();

private:
    using milliseconds = std::chrono::milliseconds;
    using steps = boost::asio::awaitable<void>;

    steps carry_out();
    steps serve();
    steps publish_document();
    steps wait_until_settled();
    steps apply(fault what);
    steps edit(planned_edit what);
    steps edit_through(std::string process, std::uint32_t number);
    steps wish(planned_wish what);
    steps watch_log();
    steps watch_control(std::string name);
    steps watch_entry(std::string name);
    steps watch_engine(std::string name);
    steps supervise();

    boost::asio::awaitable<void> sleep(milliseconds time);
    boost::asio::awaitable<void> sleep_until(milliseconds at);
    // Returns the response; its status is 0 if there is none.
    boost::asio::awaitable<http::response> send(http::address to, std::string method,
                                                std::string target, std::string body,
                                                milliseconds limit);
    steps set_log_fault(std::string parameters);
    steps begin(const fault& what);
    steps end(const fault& what);
    void spawn(steps what);
    // Returns the process that holds the lease by the log's last word.
    std::string current_holder() const;
    bool has_all_in_force() const;
    void note_shown(const std::string& process, std::uint64_t offset,
                    std::optional<std::map<std::string, std::string>> sections);
    void note_orders(engine_record& record, const nlohmann::json& body, std::size_t known,
                     time_bounds when);
    http::address admin_of(const std::string& process) const;
    http::address address_of(const std::string& process) const;
    std::vector<std::string> names(std::string_view prefix) const;
    milliseconds now() const;

    schedule m_schedule;
    std::string m_folder;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    milliseconds m_serving_from{0};
    fleet m_fleet;
    run_records m_records;
    log_recorder m_log_records;
    std::uint32_t m_next_edit = 0;
    // How many faults of a kind the log has at present.
    std::map<fault_kind, int> m_log_faults;
    std::uint32_t m_running_faults = 0;
    std::map<std::string, shown_configuration> m_last_shown;
    std::exception_ptr m_failure;
    boost::asio::io_context m_context;
    http::client m_client;
    shared_log::log_client m_log;
};

} // namespace cicadaport::faults
