#include "cicadaport/scenario/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <system_error>
#include <thread>
#include <utility>

namespace cicadaport::scenario {
namespace {

constexpr std::chrono::milliseconds poll_time{5};
constexpr mode_t output_mode = 0644;

// The child's open files: nothing to read, output to a file, and none of this
// process's own, whose ports and connections would stay open with the child.
class file_actions {
public:
    explicit file_actions(const std::string& output_file)
    {
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_addopen(&m_actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, output_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, output_mode);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&m_actions, STDERR_FILENO + 1);
    }
    ~file_actions() { posix_spawn_file_actions_destroy(&m_actions); }
    file_actions(const file_actions&) = delete;
    file_actions& operator=(const file_actions&) = delete;

    const posix_spawn_file_actions_t* get() const noexcept { return &m_actions; }

private:
    posix_spawn_file_actions_t m_actions{};
};

// Returns pointers into `texts`, and a null pointer after them.
std::vector<char*> pointers_to(std::vector<std::string>& texts)
{
    std::vector<char*> out;
    out.reserve(texts.size() + 1);
    for (auto& each : texts) {
        out.push_back(each.data());
    }
    out.push_back(nullptr);
    return out;
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& output_file,
                             std::optional<std::vector<std::string>> environment)
{
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    auto argument_pointers = pointers_to(words);
    auto environment_pointers = environment ? pointers_to(*environment) : std::vector<char*>{};
    char** const variables = environment ? environment_pointers.data() : environ;
    const file_actions actions{output_file};
    const int error = posix_spawn(&m_pid, program.c_str(), actions.get(), nullptr,
                                  argument_pointers.data(), variables);
    if (error != 0) {
        throw std::system_error{error, std::system_category(), program};
    }
}

child_process::~child_process()
{
    if (m_pid > 0 && !poll()) {
        signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

child_process::child_process(child_process&& other) noexcept
    : m_pid{std::exchange(other.m_pid, -1)}, m_status{other.m_status}
{
}

void child_process::signal(int number)
{
    if (m_pid > 0 && !poll()) {
        kill(m_pid, number);
    }
}

std::optional<int> child_process::poll()
{
    int status = 0;
    if (m_pid > 0 && !m_status && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_status = status;
    }
    return m_status;
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!poll() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(poll_time);
    }
    return m_status;
}

bool child_process::is_stopped()
{
    if (m_pid <= 0 || poll()) {
        return false;
    }
    std::ifstream file{"/proc/" + std::to_string(m_pid) + "/stat"};
    std::string pid;
    std::string name;
    char state = '?';
    file >> pid >> name >> state;
    return state == 'T';
}

} // namespace cicadaport::scenario
