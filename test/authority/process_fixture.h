// Runs the project's programs as child processes, for tests that stop, kill and
// disconnect control processes.
#pragma once

#include "support/port_block.h"

#include "cicadaport/http/client.h"
#include "cicadaport/scenario/child_process.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

namespace cicadaport::authority::testing {

using cicadaport::testing::free_port;

// SHA-256 of "operator-key", the key that `call` sends.
constexpr char operator_key_sha256[] =
    "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";

// One of the project's programs, run as a child process. The destructor kills it
// if it still runs. Its environment holds only the given variables.
class child_process {
public:
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::vector<std::string> environment, std::string log_file)
        : m_child{folder_of_programs() + "/" + program, arguments, log_file,
                  std::move(environment)},
          m_log_file{std::move(log_file)}
    {
    }

    void signal(int number) { m_child.signal(number); }
    // Returns whether a signal such as SIGSTOP has stopped the process.
    bool is_stopped() { return m_child.is_stopped(); }
    bool has_ended() { return m_child.poll().has_value(); }

    // Returns the process's output so far.
    std::string log() const
    {
        std::ostringstream text;
        text << std::ifstream{m_log_file}.rdbuf();
        return text.str();
    }

private:
    static std::string folder_of_programs()
    {
        const auto* folder = std::getenv("CICADAPORT_BIN");
        return folder == nullptr ? "build/bin" : folder;
    }

    scenario::child_process m_child;
    std::string m_log_file;
};

// Sends one request and returns the response; its status is 0 if there is none.
http::response call(std::uint16_t port, const std::string& method, const std::string& target,
                    std::string body = {});

// Returns whether `process` reports on port `admin` that it is ready before it
// ends.
bool becomes_ready(child_process& process, std::uint16_t admin);

// Returns whether `condition` became true within `limit`.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds{60});

inline boost::asio::awaitable<void> exchange(http::client& client, std::uint16_t port,
                                             http::request message, http::response& out)
{
    http::exchange_options options;
    options.fresh_connection = true;
    options.response_timeout = std::chrono::seconds{10};
    http::address to;
    to.ip = "127.0.0.1";
    to.port = port;
    try {
        out = co_await client.exchange(to, std::move(message), options);
    }
    catch (const http::exchange_error&) {
        out.status = 0;
    }
}

inline http::response call(std::uint16_t port, const std::string& method, const std::string& target,
                           std::string body)
{
    boost::asio::io_context context;
    http::client client{context};
    http::request message{method, target, {}, std::move(body)};
    message.fields.add("Authorization", "Bearer operator-key");
    http::response out;
    out.status = 0;
    boost::asio::co_spawn(context, exchange(client, port, std::move(message), out),
                          boost::asio::detached);
    context.run();
    return out;
}

inline bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds poll{20};
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(poll);
    }
    return true;
}

inline bool becomes_ready(child_process& process, std::uint16_t admin)
{
    bool ready = false;
    return eventually([&] {
               ready = call(admin, "GET", "/readyz").status == 200;
               return ready || process.has_ended();
           }) &&
           ready;
}

} // namespace cicadaport::authority::testing
