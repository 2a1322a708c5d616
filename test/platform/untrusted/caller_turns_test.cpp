// Connections of callers on one event loop that the test runs step by step, without a replica.
#include "platform/wire.h"

#include "cicadaport/serving/caller_connection.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

namespace cicadaport::platform {
namespace {

constexpr std::size_t max_unread_bytes = 4'096;

// The caller's end of a connection.
class local_caller {
public:
    explicit local_caller(int descriptor) : m_descriptor{descriptor} {}
    ~local_caller() { ::close(m_descriptor); }
    local_caller(const local_caller&) = delete;
    local_caller& operator=(const local_caller&) = delete;

    std::size_t send(std::string_view bytes) const
    {
        const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }

    // Reads what has arrived and returns how many answers have begun in all.
    std::size_t answers()
    {
        std::array<char, 65'536> buffer{};
        for (;;) {
            const auto count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
            m_closed = m_closed || count == 0;
            if (count <= 0) {
                break;
            }
            m_received.append(buffer.data(), static_cast<std::size_t>(count));
        }
        std::size_t found = 0;
        for (auto at = m_received.find("HTTP/1.1 "); at != std::string::npos;
             at = m_received.find("HTTP/1.1 ", at + 1)) {
            ++found;
        }
        return found;
    }

    const std::string& received() const noexcept { return m_received; }
    bool is_closed() const noexcept { return m_closed; }

private:
    int m_descriptor;
    std::string m_received;
    bool m_closed = false;
};

class caller_turns_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        state.deployed = adapter.read_deployment(serving::feed_entry{
            "config", R"({"version":1,"routes":[],"services":[],"limits":)"
                      R"({"max-header-bytes":16384,"max-body-bytes":4194304}})"});
    }

    void TearDown() override
    {
        const auto all = connections;
        for (const auto& each : all) {
            each->end_now();
        }
        callers.clear();
        run();
    }

    local_caller& accept()
    {
        int ends[2] = {-1, -1};
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
        boost::asio::ip::tcp::socket socket{context};
        socket.assign(boost::asio::ip::tcp::v4(), ends[0]);
        std::make_shared<serving::caller_connection>(state, connections, slots, std::move(socket))
            ->start();
        return *callers.emplace_back(std::make_unique<local_caller>(ends[1]));
    }

    void run()
    {
        context.restart();
        context.poll();
    }

    void run_one()
    {
        context.restart();
        context.poll_one();
    }

    static std::string unrouted(std::size_t count)
    {
        std::string out;
        for (std::size_t number = 0; number < count; ++number) {
            out += "GET /none HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n\r\n";
        }
        return out;
    }

    wire adapter{{"127.0.0.1", 1}};
    boost::asio::io_context context;
    serving::host_state state{context, adapter, "z", {}};
    serving::connection_slots slots{16};
    serving::caller_set connections;
    std::vector<std::unique_ptr<local_caller>> callers;
};

// All that a connection had sent was answered before any other connection was served.
TEST_F(caller_turns_test, a_connection_that_pipelines_gets_one_request_in_each_turn)
{
    constexpr std::size_t pipelined = 200;
    auto& many = accept();
    auto& one = accept();
    run();
    many.send(unrouted(pipelined));
    one.send(unrouted(1));
    constexpr int max_steps = 10'000;
    for (int step = 0; step < max_steps && one.answers() == 0; ++step) {
        run_one();
    }
    ASSERT_EQ(one.answers(), 1U);
    EXPECT_LE(many.answers(), 3U);
    run();
    EXPECT_EQ(many.answers(), pipelined) << "all are answered in the end";
    EXPECT_GT(state.counts.callers.later_turns, 0U);
}

// The requests that waited behind unread answers grew with all that their caller sent.
TEST_F(caller_turns_test, what_a_caller_sends_is_left_unread_while_it_reads_no_answers)
{
    state.caller_bounds.unread_answer_bytes = max_unread_bytes;
    auto& unread = accept();
    const auto requests = unrouted(20'000);
    std::size_t sent = 0;
    std::size_t steps_without_progress = 0;
    constexpr std::size_t max_idle_steps = 100;
    while (steps_without_progress < max_idle_steps && sent < requests.size()) {
        const auto count = unread.send(std::string_view{requests}.substr(sent));
        sent += count;
        steps_without_progress = count == 0 ? steps_without_progress + 1 : 0;
        run();
    }
    EXPECT_LT(sent, requests.size()) << "the host takes no more";
    constexpr std::size_t longest_read = 64 * 1024;
    EXPECT_LE(state.memory.held(),
              state.caller_bounds.pipelined_bytes + longest_read + 4 * max_unread_bytes);
    EXPECT_GT(state.counts.callers.reading_pauses, 0U);
    // Once the caller reads, all is answered.
    for (std::size_t step = 0; step < requests.size() && !unread.is_closed(); ++step) {
        const auto before = unread.received().size();
        unread.answers();
        sent += unread.send(std::string_view{requests}.substr(sent));
        run();
        if (unread.received().size() == before && sent == requests.size()) {
            break;
        }
    }
    EXPECT_EQ(unread.answers(), 20'000U);
}

// A caller that sends what can't be used cost the host an answer for each two words.
TEST_F(caller_turns_test, the_connection_closes_after_a_request_that_cannot_be_used)
{
    auto& faulty = accept();
    faulty.send("GET /x HTTP/1.1\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
    run();
    EXPECT_EQ(faulty.answers(), 1U);
    EXPECT_NE(faulty.received().find("HTTP/1.1 400"), std::string::npos);
    EXPECT_NE(faulty.received().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(faulty.is_closed());
    EXPECT_EQ(state.counts.callers.unusable, 1U);
}

// The bytes of a head say little about the memory that its lines take.
TEST_F(caller_turns_test, a_head_with_more_lines_than_allowed_is_refused)
{
    state.caller_bounds.header_lines = 10;
    auto& caller = accept();
    std::string lines;
    for (int line = 0; line < 11; ++line) {
        lines += "a:\r\n";
    }
    caller.send("GET /x HTTP/1.1\r\n" + lines + "\r\n");
    run();
    EXPECT_EQ(caller.answers(), 1U);
    EXPECT_NE(caller.received().find("HTTP/1.1 431"), std::string::npos);
    EXPECT_EQ(state.counts.callers.too_many_lines, 1U);
}

// A head that takes more memory than is left was parsed and kept.
TEST_F(caller_turns_test, a_head_for_which_no_memory_is_left_is_refused_as_not_run)
{
    state.memory.set_max_memory(400'000);
    std::string lines;
    for (int line = 0; line < 4'000; ++line) {
        lines += "a:\r\n";
    }
    auto& caller = accept();
    caller.send("GET /x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n" + lines + "\r\n");
    run();
    caller.answers();
    EXPECT_NE(caller.received().find("HTTP/1.1 503"), std::string::npos);
    EXPECT_NE(caller.received().find("Retry-After"), std::string::npos);
    EXPECT_EQ(state.counts.callers.heads_without_memory, 1U);
    auto& small = accept();
    small.send(unrouted(1));
    run();
    EXPECT_EQ(small.answers(), 1U) << "small requests are always served";
}

} // namespace
} // namespace cicadaport::platform
