// A process that a scenario starts and ends.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace cicadaport::scenario {

// Owns one child: the destructor kills it if it still runs. Signals go to this
// child's id only, and only until its end was seen, so that an id that the
// system gave to another process meanwhile is never signalled.
//
// Not thread safe.
class child_process {
public:
    // Starts `program`; its output is appended to `output_file`. Its environment
    // is this process's own unless one is given, as "NAME=value". Throws
    // std::system_error.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& output_file,
                  std::optional<std::vector<std::string>> environment = std::nullopt);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    // Returns the child's process id, under which the system shows its memory and open files.
    pid_t pid() const noexcept { return m_pid; }

    // Sends a signal unless the child has ended.
    void signal(int number);

    // Returns the wait status once the child has ended.
    std::optional<int> poll();

    // Returns whether a signal such as SIGSTOP has stopped the child.
    bool is_stopped();

    // Waits for the end; nothing if it does not come within `limit`.
    std::optional<int> wait(std::chrono::milliseconds limit);

private:
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

} // namespace cicadaport::scenario
