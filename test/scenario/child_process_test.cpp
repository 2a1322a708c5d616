#include "cicadaport/scenario/child_process.h"

#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace cicadaport::scenario {
namespace {

using std::chrono_literals::operator""s;

TEST(child_process_test, reports_the_exit_code)
{
    child_process child{"/bin/sh", {"-c", "exit 3"}, "/dev/null"};
    const auto status = child.wait(10s);
    ASSERT_TRUE(status);
    EXPECT_EQ(WEXITSTATUS(*status), 3);
}

TEST(child_process_test, a_child_holds_no_port_or_connection_of_its_owner)
{
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const auto path = "/proc/self/fd/" + std::to_string(ends[0]);
    child_process child{"/bin/sh", {"-c", "exec test -e " + path}, "/dev/null"};
    const auto status = child.wait(10s);
    close(ends[0]);
    close(ends[1]);
    ASSERT_TRUE(status);
    EXPECT_EQ(WEXITSTATUS(*status), 1) << path << " is open in the child";
}

// Returns the process id that a child wrote to `file`.
pid_t written_pid(const std::string& file)
{
    pid_t out = 0;
    while (out == 0) {
        std::ifstream{file} >> out;
    }
    return out;
}

TEST(child_process_test, ends_a_child_that_ignores_termination_with_its_owner)
{
    const auto file = testing::TempDir() + "cicadaport_child_" + std::to_string(getpid());
    pid_t pid = 0;
    {
        child_process child{"/bin/sh", {"-c", "trap '' TERM; echo $$; exec sleep 60"}, file};
        pid = written_pid(file);
        child.signal(SIGTERM);
    }
    EXPECT_EQ(kill(pid, 0), -1);
    std::filesystem::remove(file);
}

TEST(child_process_test, goes_on_after_it_was_frozen)
{
    child_process child{"/bin/sleep", {"0.1"}, "/dev/null"};
    child.signal(SIGSTOP);
    child.signal(SIGCONT);
    EXPECT_EQ(child.wait(10s), 0);
}

TEST(child_process_test, says_that_a_program_does_not_exist)
{
    EXPECT_THROW((child_process{"/nowhere/program", {}, "/dev/null"}), std::system_error);
}

} // namespace
} // namespace cicadaport::scenario
