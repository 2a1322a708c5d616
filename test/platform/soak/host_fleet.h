// Real host processes that use a fake store.
#pragma once

#include "platform/caller.h"
#include "platform/stand_ins.h"

#include "cicadaport/scenario/child_process.h"

#include <fmt/format.h>

#include <algorithm>
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

// One host: its address, its proxy to the store and its process. One thread may query the
// host's state while another starts and stops its process.
class fleet_host {
public:
    fleet_host(standin_store& store, std::size_t number, std::string name, std::string ip,
               std::string zone)
        : m_number{number}, m_name{std::move(name)}, m_ip{std::move(ip)}, m_zone{std::move(zone)},
          m_store_proxy{std::make_unique<store_proxy>(store)}
    {
    }

    std::size_t number() const noexcept { return m_number; }
    const std::string& name() const noexcept { return m_name; }
    const std::string& ip() const noexcept { return m_ip; }
    const std::string& zone() const noexcept { return m_zone; }
    http::address callers() const { return {m_ip, caller_port}; }
    http::address readiness() const { return {m_ip, readiness_port}; }

    // Writes the settings and starts the process.
    void start(const std::string& program, const std::filesystem::path& folder,
               const std::vector<std::string>& seed_ips, const fleet_bounds& bounds)
    {
        const auto settings = folder / (m_name + ".toml");
        write_settings(settings, seed_ips, bounds);
        ++m_incarnation;
        end_fault();
        m_process.emplace(program, std::vector<std::string>{"--settings", settings.string()},
                          (folder / (m_name + ".log")).string());
        m_running = true;
    }

    void kill()
    {
        m_running = false;
        m_process.reset();
    }

    void signal(int number)
    {
        if (m_process) {
            m_process->signal(number);
        }
    }

    // Returns whether the process has ended although the test did not stop it.
    bool has_ended_unexpectedly()
    {
        return m_running && m_process && m_process->poll().has_value();
    }

    void begin_fault() { m_has_fault = true; }
    void end_fault()
    {
        m_fault_free_since = soak_clock::now();
        m_has_fault = false;
    }

    void set_store_state(store_proxy::state to)
    {
        if (to != store_proxy::state::open) {
            begin_fault();
            m_store_proxy->set(to);
        }
        else {
            m_store_proxy->set(to);
            end_fault();
        }
    }

    bool is_running() const noexcept { return m_running; }
    int incarnation() const noexcept { return m_incarnation; }

    // Returns whether the host runs and has had no fault for `time` before `at`.
    bool is_fault_free(soak_time at, milliseconds time) const
    {
        return m_running && !m_has_fault && at - m_fault_free_since.load() >= time;
    }

private:
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
            "[bounds]\ncontact-ms = {}\nconfig-apply-ms = {}\ndrain-ms = {}\ngrace-s = 2\n"
            "retry-budget-ratio = 0.2\nbudget-window-s = 10\n[platform]\naddress = \"{}\"\n",
            m_name, m_ip, m_zone, peer_port, peer_port + 1, seeds, http::to_string(callers()),
            http::to_string(readiness()), bounds.contact.count(), bounds.apply.count(),
            bounds.leaving.count(), http::to_string(m_store_proxy->address()));
    }

    std::size_t m_number;
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    std::unique_ptr<store_proxy> m_store_proxy;
    std::optional<scenario::child_process> m_process;
    std::atomic<bool> m_running{false};
    std::atomic<bool> m_has_fault{false};
    std::atomic<int> m_incarnation{0};
    std::atomic<soak_time> m_fault_free_since{};
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
