#include "authority/process_fixture.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>

namespace cicadaport::authority::testing {
namespace asio = boost::asio;

child_process::child_process(const std::string& program, std::vector<std::string> arguments,
                             std::vector<std::string> environment, const std::string& log_file)
    : m_log_file{log_file}
{
    const auto* folder = std::getenv("CICADAPORT_BIN");
    const auto path = std::string{folder == nullptr ? "build/bin" : folder} + "/" + program;
    arguments.insert(arguments.begin(), path);
    std::vector<char*> argv;
    for (auto& each : arguments) {
        argv.push_back(each.data());
    }
    argv.push_back(nullptr);
    std::vector<char*> envp;
    for (auto& each : environment) {
        envp.push_back(each.data());
    }
    envp.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(), flags, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const auto error =
        ::posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), envp.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::system_error{error, std::generic_category(), path};
    }
}

child_process::~child_process()
{
    if (!m_ended) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void child_process::signal(int number) const
{
    if (!m_ended) {
        ::kill(m_pid, number);
    }
}

char child_process::state() const
{
    std::ifstream file{"/proc/" + std::to_string(m_pid) + "/stat"};
    std::string pid;
    std::string name;
    char state = '?';
    file >> pid >> name >> state;
    return state;
}

bool child_process::is_stopped() const
{
    return !m_ended && state() == 'T';
}

bool child_process::has_ended()
{
    m_ended = m_ended || ::waitpid(m_pid, nullptr, WNOHANG) == m_pid;
    return m_ended;
}

std::string child_process::log() const
{
    std::ostringstream text;
    text << std::ifstream{m_log_file}.rdbuf();
    return text.str();
}

std::uint16_t free_port()
{
    asio::io_context context;
    const asio::ip::tcp::endpoint any{asio::ip::make_address("127.0.0.1"), 0};
    const asio::ip::tcp::acceptor acceptor{context, any};
    return acceptor.local_endpoint().port();
}

namespace {

asio::awaitable<void> exchange(http::client& client, std::uint16_t port, http::request message,
                               http::response& out)
{
    http::exchange_options options;
    options.fresh_connection = true;
    options.response_time = std::chrono::seconds{10};
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

} // namespace

http::response call(std::uint16_t port, const std::string& method, const std::string& target,
                    std::string body)
{
    asio::io_context context;
    http::client client{context};
    http::request message{method, target, {}, std::move(body)};
    message.fields.add("Authorization", "Bearer operator-key");
    http::response out;
    out.status = 0;
    asio::co_spawn(context, exchange(client, port, std::move(message), out), asio::detached);
    context.run();
    return out;
}

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit)
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

namespace {

TEST(process_fixture_test, a_stopped_child_is_seen_as_stopped_and_a_killed_one_as_ended)
{
    child_process child{"cicadaport-standin-log", {}, {}, "/dev/null"};
    child.signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return child.is_stopped(); }));
    child.signal(SIGKILL);
    EXPECT_TRUE(eventually([&] { return child.has_ended(); }));
}

} // namespace
} // namespace cicadaport::authority::testing
