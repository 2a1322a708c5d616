// Real host processes that use a fake store.
#pragma once

#include "platform/caller.h"
#include "platform/stand_ins.h"

#include "cicadaport/scenario/child_process.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

namespace cicadaport::platform::testing {

using soak_clock = std::chrono::steady_clock;
using soak_time = soak_clock::time_point;
using std::chrono::milliseconds;

// Time bounds that the deployment guarantees.
struct fleet_bounds {
    // A version is in force this long after the store has acknowledged it.
    milliseconds apply{2'000};
    // The other bounds apply to a host once it has had no fault for this time.
    milliseconds contact{3'000};
    // A leaving replica receives no requests this long after the store has acknowledged its
    // report.
    milliseconds leaving{2'000};
};

enum class host_fault { store, process, stop };

// Whether a fault lasts, and when the last one ended. Thread safe.
class fault_record {
public:
    void begin() { m_lasts = true; }
    // Has no effect unless a fault lasts.
    void end()
    {
        if (m_lasts) {
            m_free_since = soak_clock::now();
            m_lasts = false;
        }
    }
    // Returns whether there was no fault for `time` before `at`.
    bool is_free(soak_time at, milliseconds time) const
    {
        return !m_lasts && at - m_free_since.load() >= time;
    }

private:
    std::atomic<bool> m_lasts{false};
    std::atomic<soak_time> m_free_since{};
};

// One host: its address, its proxy to the store and its process. One thread may query the
// host's state while another starts and stops its process.
class fleet_host {
public:
    fleet_host(standin_store& store, std::size_t number, std::string name, std::string ip,
               std::string zone, std::chrono::seconds grace)
        : m_number{number}, m_name{std::move(name)}, m_ip{std::move(ip)}, m_zone{std::move(zone)},
          m_grace{grace}, m_store_proxy{std::make_unique<store_proxy>(store)}
    {
    }

    std::size_t number() const noexcept { return m_number; }
    const std::string& name() const noexcept { return m_name; }
    const std::string& ip() const noexcept { return m_ip; }
    const std::string& zone() const noexcept { return m_zone; }
    std::chrono::seconds grace() const noexcept { return m_grace; }
    http::address callers() const { return {m_ip, caller_port}; }
    http::address readiness() const { return {m_ip, readiness_port}; }

    // Writes the settings and starts the process.
    void start(const std::string& program, const std::filesystem::path& folder,
               const std::vector<std::string>& seed_ips, const fleet_bounds& bounds)
    {
        const auto settings = folder / (m_name + ".toml");
        write_settings(settings, seed_ips, bounds);
        ++m_incarnation;
        // A start after a planned stop is no fault of the process.
        begin_fault(host_fault::stop);
        m_process.emplace(program, std::vector<std::string>{"--settings", settings.string()},
                          (folder / (m_name + ".log")).string());
        // On a busy machine the process may begin to run seconds later.
        end_fault(host_fault::stop);
        end_fault(host_fault::process);
        m_running = true;
    }

    void kill()
    {
        begin_fault(host_fault::process);
        end_process();
    }

    // Sends SIGTERM. The caller waits for the end and then calls `end_process()`.
    void stop()
    {
        begin_fault(host_fault::stop);
        m_stopped_at = soak_clock::now();
        signal(SIGTERM);
    }
    std::optional<soak_time> stopped_at() const noexcept { return m_stopped_at; }

    // Kills the process if it still runs.
    void end_process()
    {
        m_running = false;
        m_stopped_at.reset();
        m_process.reset();
    }

    void signal(int number)
    {
        if (m_process) {
            m_process->signal(number);
        }
    }

    // Returns the wait status of a process that has ended by itself.
    std::optional<int> poll() { return m_process ? m_process->poll() : std::nullopt; }

    void begin_fault(host_fault kind) { record_of(kind).begin(); }
    void end_fault(host_fault kind) { record_of(kind).end(); }

    void set_store_state(store_proxy::state to)
    {
        if (to != store_proxy::state::open) {
            begin_fault(host_fault::store);
            m_store_proxy->set(to);
        }
        else {
            m_store_proxy->set(to);
            end_fault(host_fault::store);
        }
    }

    bool is_running() const noexcept { return m_running; }
    int incarnation() const noexcept { return m_incarnation; }

    // Identifies the host's process among all processes of all hosts.
    std::size_t process() const noexcept
    {
        constexpr std::size_t max_incarnations = 1'000;
        return m_number * max_incarnations + static_cast<std::size_t>(m_incarnation);
    }

    // Returns whether the host runs and has had no fault for `time` before `at`.
    bool is_fault_free(soak_time at, milliseconds time) const
    {
        return m_running && is_free_of(host_fault::store, at, time) &&
               is_free_of(host_fault::process, at, time) && is_free_of(host_fault::stop, at, time);
    }
    // Returns whether the host's process runs and has had no fault for `time` before `at`, whatever
    // the store did.
    bool runs_undisturbed(soak_time at, milliseconds time) const
    {
        return m_running && is_free_of(host_fault::process, at, time) &&
               is_free_of(host_fault::stop, at, time);
    }
    bool is_free_of(host_fault kind, soak_time at, milliseconds time) const
    {
        return m_faults[static_cast<std::size_t>(kind)].is_free(at, time);
    }

private:
    fault_record& record_of(host_fault kind) { return m_faults[static_cast<std::size_t>(kind)]; }

    static constexpr std::uint16_t caller_port = 18'149;
    static constexpr std::uint16_t readiness_port = 18'141;
    static constexpr std::uint16_t control_port = 18'144;
    static constexpr std::uint16_t peer_port = 17'380;

    void write_settings(const std::filesystem::path& file, const std::vector<std::string>& seed_ips,
                        const fleet_bounds& bounds) const
    {
        std::string seeds;
        for (const auto& each : seed_ips) {
            seeds += fmt::format("{}\"{}:{}\"", seeds.empty() ? "" : ",", each, control_port);
        }
        std::ofstream out{file};
        out << fmt::format(
            "node-name = \"{}\"\nip = \"{}\"\nzone = \"{}\"\ninternal-ports = [{},{}]\n"
            "seeds = [{}]\n[listen]\nfront = \"{}\"\nready = \"{}\"\n"
            "[bounds]\ncontact-ms = {}\nconfig-apply-ms = {}\ndrain-ms = {}\ngrace-s = {}\n"
            "retry-budget-ratio = 0.2\nbudget-window-s = 10\n[platform]\naddress = \"{}\"\n",
            m_name, m_ip, m_zone, peer_port, peer_port + 1, seeds, http::to_string(callers()),
            http::to_string(readiness()), bounds.contact.count(), bounds.apply.count(),
            bounds.leaving.count(), m_grace.count(), http::to_string(m_store_proxy->address()));
    }

    std::size_t m_number;
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    std::chrono::seconds m_grace;
    std::unique_ptr<store_proxy> m_store_proxy;
    std::optional<scenario::child_process> m_process;
    std::atomic<bool> m_running{false};
    std::optional<soak_time> m_stopped_at;
    std::atomic<int> m_incarnation{0};
    std::array<fault_record, 3> m_faults;
};

// Hands out addresses of 127.0.0.0/8 that differ between soak tests running at the same time.
class address_range {
public:
    std::string next()
    {
        constexpr unsigned parts = 250;
        const auto id = static_cast<unsigned>(::getpid());
        return fmt::format("127.{}.{}.{}", 1 + id / parts % parts, id % parts, ++m_last);
    }

private:
    unsigned m_last = 0;
};

} // namespace cicadaport::platform::testing
