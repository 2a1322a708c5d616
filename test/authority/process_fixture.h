// Real processes for tests that stop, kill and cut off control processes.
#pragma once

#include "cicadaport/http/client.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cicadaport::authority::testing {

// One program that a test started; it is killed at the latest when this ends.
class child_process {
public:
    child_process(const std::string& program, std::vector<std::string> arguments,
                  std::vector<std::string> environment, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    // Whether a signal such as SIGSTOP has stopped it.
    bool is_stopped() const;
    bool has_ended();
    // What it wrote so far.
    std::string log() const;

private:
    char state() const;

    pid_t m_pid = 0;
    bool m_ended = false;
    std::string m_log_file;
};

// Returns a port of 127.0.0.1 that nobody listens on just now.
std::uint16_t free_port();

// Sends one request and returns the response; its status is 0 if there is none.
http::response call(std::uint16_t port, const std::string& method, const std::string& target,
                    std::string body = {});

// Returns whether `condition` became true within `limit`.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds{60});

} // namespace cicadaport::authority::testing
