// Runs the real host program, with limits of the test's own, before stand-ins of the platform.
#pragma once

#include "platform/host_fixture.h"

#include "cicadaport/scenario/child_process.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace cicadaport::platform::testing {

// The limits that a test sets for its host.
struct host_limits {
    std::uint64_t memory_mb = 64;
    std::uint64_t descriptors = 400;
    // Added to the section `limits` of the settings, each line with its end.
    std::string more{};
};

class host_program {
public:
    host_program(const std::string& name, const http::address& store, const host_limits& limits)
        : callers{"127.0.0.1", free_port()}, readiness{"127.0.0.1", free_port()},
          log{std::filesystem::temp_directory_path() /
              fmt::format("cicadaport-{}-{}.log", ::getpid(), name)}
    {
        std::filesystem::remove(log);
        const auto settings = std::filesystem::path{log}.replace_extension("toml");
        const auto internal = free_port();
        std::ofstream{settings} << fmt::format(
            "node-name = \"h1\"\nip = \"127.0.0.1\"\nzone = \"z\"\ninternal-ports = [{},{}]\n"
            "[listen]\nfront = \"{}\"\nready = \"{}\"\n[limits]\nmemory-mb = {}\nmax-fds = {}\n{}"
            "[bounds]\ngrace-s = 1\n[platform]\naddress = \"{}\"\n",
            internal, internal + 1, http::to_string(callers), http::to_string(readiness),
            limits.memory_mb, limits.descriptors, limits.more, http::to_string(store));
        const char* const folder = std::getenv("CICADAPORT_BIN");
        process.emplace(std::string{folder != nullptr ? folder : "build/bin"} + "/cicadaport-host",
                        std::vector<std::string>{"--settings", settings.string()}, log.string());
    }

    // Returns a field of the process's status file, such as "VmHWM:"; empty once it has ended.
    std::string status_field(const std::string& name) const
    {
        std::ifstream file{directory() / "status"};
        for (std::string word; file >> word;) {
            if (word == name && file >> word) {
                return word;
            }
        }
        return {};
    }

    // Returns the peak of the resident memory in bytes; 0 once the process has ended.
    std::uint64_t peak_memory() const
    {
        constexpr std::uint64_t bytes_per_kilobyte = 1'024;
        const auto kilobytes = status_field("VmHWM:");
        return kilobytes.empty() ? 0 : std::stoull(kilobytes) * bytes_per_kilobyte;
    }

    std::size_t descriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator open{directory() / "fd", error};
        return static_cast<std::size_t>(std::distance(open, std::filesystem::directory_iterator{}));
    }

    // Returns how the process has ended and the last lines of its log, for the message of a failed
    // test.
    std::string log_end()
    {
        constexpr std::size_t shown_bytes = 4'000;
        std::ifstream file{log};
        const std::string text{std::istreambuf_iterator<char>{file}, {}};
        const auto ended = process->poll();
        return fmt::format("wait_status={}\n{}", ended ? std::to_string(*ended) : "none",
                           text.substr(text.size() - std::min(text.size(), shown_bytes)));
    }

    http::address callers;
    http::address readiness;
    std::filesystem::path log;
    std::optional<scenario::child_process> process;

private:
    std::filesystem::path directory() const
    {
        return std::filesystem::path{"/proc"} / std::to_string(process->pid());
    }
};

} // namespace cicadaport::platform::testing
