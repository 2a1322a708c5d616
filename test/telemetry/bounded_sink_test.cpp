#include "internal/bounded_sink.h"

#include <gmock/gmock.h>
#include <spdlog/spdlog.h>

#include <array>
#include <csignal>
#include <future>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cicadaport::telemetry {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr int line_count = 5'000;

class bounded_sink_test : public ::testing::TestWithParam<bool> {
protected:
    void SetUp() override
    {
        if (GetParam()) {
            ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
        }
        else {
            ASSERT_EQ(::pipe(ends.data()), 0);
        }
        logger = std::make_shared<spdlog::logger>("p", std::make_shared<bounded_sink>(ends[1]));
        logger->set_pattern("%v");
    }

    void TearDown() override
    {
        logger.reset();
        ::close(ends[0]);
        ::close(ends[1]);
    }

    // Returns all that can be read without waiting.
    std::string read_all() const
    {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string out;
        std::array<char, 4'096> part{};
        for (;;) {
            const auto count = ::read(ends[0], part.data(), part.size());
            if (count <= 0) {
                return out;
            }
            out.append(part.data(), static_cast<std::size_t>(count));
        }
    }

    std::array<int, 2> ends{};
    std::shared_ptr<spdlog::logger> logger;
};

// A log that nobody read stopped the event loop of the host.
TEST_P(bounded_sink_test, logging_does_not_wait_for_a_reader_that_has_stopped)
{
    auto logged = std::async(std::launch::async, [this] {
        for (int line = 0; line < line_count; ++line) {
            logger->info("line {} {}", line, std::string(100, 'x'));
        }
    });
    const bool returned = logged.wait_for(5s) == std::future_status::ready;
    EXPECT_TRUE(returned);
    std::string text = read_all();
    logged.wait();
    logger->flush();
    text += read_all();
    logger->info("later");
    text += read_all();

    int next = 0;
    for (; text.starts_with("line " + std::to_string(next) + " "); ++next) {
        text.erase(0, text.find('\n') + 1);
    }
    EXPECT_THAT(text, StartsWith("log_lines_dropped count=" + std::to_string(line_count - next)));
    EXPECT_THAT(text, HasSubstr("\nlater\n"));
}

TEST_P(bounded_sink_test, a_line_is_written_at_once_while_the_log_is_read)
{
    logger->info("first");
    EXPECT_EQ(read_all(), "first\n");
    const std::string large(10'000, 'x');
    logger->info(large);
    EXPECT_EQ(read_all(), large + "\n");
}

TEST_P(bounded_sink_test, goes_on_after_its_reader_has_ended)
{
    ::signal(SIGPIPE, SIG_IGN);
    ::close(ends[0]);
    for (int line = 0; line < line_count; ++line) {
        logger->info("line {}", line);
    }
    ends[0] = ::open("/dev/null", O_RDONLY);
}

// Other processes that share the pipe would lose lines if it did not block.
TEST_P(bounded_sink_test, leaves_the_descriptor_of_other_processes_as_it_is)
{
    logger->info("line");
    EXPECT_EQ(::fcntl(ends[1], F_GETFL) & O_NONBLOCK, 0);
}

INSTANTIATE_TEST_SUITE_P(pipe_and_socket, bounded_sink_test, ::testing::Bool());

} // namespace
} // namespace cicadaport::telemetry
