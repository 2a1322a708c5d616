// Clients within the limits of one request that send many requests at once and read no answer,
// against the real host program. Checks nothing that depends on the speed of the machine.
#include "host_program.h"

namespace cicadaport::platform {
namespace {

using namespace testing;

// Crowd and bounds of all tests here. They were set before the product was changed for them.
constexpr std::size_t clients = 40;
constexpr int rounds = 4;
constexpr std::uint64_t memory_mb = 64;
constexpr std::uint64_t bytes_per_mb = 1'000'000;
constexpr std::uint64_t max_descriptors = 400;
constexpr int lines_per_head = 4'000;

constexpr std::string_view limits_of_callers =
    R"("max-header-bytes":16384,"max-body-bytes":4194304,)"
    R"("header-timeout-ms":3000,"idle-timeout-ms":15000)";

// A client that sends what its host takes and reads nothing.
class unread_client {
public:
    unread_client(const http::address& to, std::string_view bytes)
        : m_socket{m_context}, m_bytes{bytes}
    {
        m_socket.connect({boost::asio::ip::make_address(to.ip), to.port});
        m_socket.non_blocking(true);
    }

    // Sends further bytes without waiting. Returns whether any were taken.
    bool send()
    {
        boost::system::error_code error;
        const auto rest = m_bytes.substr(m_sent);
        const auto count = m_socket.write_some(boost::asio::buffer(rest), error);
        m_sent += error ? 0 : count;
        m_ended = m_ended || (error && error != boost::asio::error::would_block);
        return !error && count > 0;
    }

    // Returns whether an answer has arrived, or the host has ended the connection.
    bool has_outcome()
    {
        boost::system::error_code error;
        return m_ended || m_socket.available(error) > 0 || error;
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
    std::string_view m_bytes;
    std::size_t m_sent = 0;
    bool m_ended = false;
};

class untrusted_clients_test : public host_test {
protected:
    void SetUp() override
    {
        publish(1, 2, 0, std::string{limits_of_callers});
        list_replica("i-1", replica.address());
        const auto* const test = ::testing::UnitTest::GetInstance()->current_test_info();
        host.emplace(test->name(), store.address(), host_limits{memory_mb, max_descriptors});
        ASSERT_TRUE(eventually([this] { return ready(host->readiness) == 200; }))
            << host->log_end();
        ASSERT_TRUE(serves_an_ordinary_request()) << host->log_end();
    }

    void TearDown() override {}

    // Returns whether the host answers an ordinary request, which may first be refused.
    bool serves_an_ordinary_request()
    {
        return eventually([this] {
            try {
                return is_alive() &&
                       caller{host->callers}.ask(request("GET", "/safe/x", "ordinary")).status ==
                           200;
            }
            catch (const boost::system::system_error&) {
                return false;
            }
        });
    }

    bool is_alive() { return !host->process->poll(); }

    // Lets the clients send what the host takes until each has an answer waiting, or the host has
    // closed its connection, then resets the connections while further requests are unanswered.
    void send_unread(const std::string& bytes)
    {
        for (int round = 0; round < rounds && is_alive(); ++round) {
            std::vector<std::unique_ptr<unread_client>> all;
            for (std::size_t number = 0; number < clients; ++number) {
                all.push_back(std::make_unique<unread_client>(host->callers, bytes));
            }
            eventually([&] {
                bool all_sent = true;
                bool all_answered = true;
                for (const auto& each : all) {
                    all_sent = !each->send() && all_sent;
                    all_answered = each->has_outcome() && all_answered;
                }
                return (all_sent && all_answered) || !is_alive();
            });
            peak_descriptors = std::max(peak_descriptors, host->descriptors());
        }
    }

    // Lets the clients send until the host has taken nothing for a while, and reads its peak memory
    // before their connections end.
    void send_all_unread(const std::string& bytes)
    {
        constexpr auto quiet_time = 500ms;
        std::vector<std::unique_ptr<unread_client>> all;
        for (std::size_t number = 0; number < clients; ++number) {
            all.push_back(std::make_unique<unread_client>(host->callers, bytes));
        }
        auto last_progress = std::chrono::steady_clock::now();
        eventually([&] {
            for (const auto& each : all) {
                if (each->send()) {
                    last_progress = std::chrono::steady_clock::now();
                }
            }
            return std::chrono::steady_clock::now() - last_progress > quiet_time || !is_alive();
        });
        peak_descriptors = std::max(peak_descriptors, host->descriptors());
        expect_bounded_memory();
    }

    void expect_bounded_memory()
    {
// Sanitizers keep memory that the program has freed.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
        EXPECT_LE(host->peak_memory(), memory_mb * bytes_per_mb);
#endif
    }

    void expect_unharmed_host()
    {
        EXPECT_TRUE(serves_an_ordinary_request()) << host->log_end();
        ASSERT_TRUE(is_alive()) << host->log_end();
        EXPECT_LE(peak_descriptors, max_descriptors);
        expect_bounded_memory();
        RecordProperty("peak_memory", std::to_string(host->peak_memory()));
        RecordProperty("peak_descriptors", std::to_string(peak_descriptors));
    }

    static std::string repeated(const std::string& one, int count)
    {
        std::string out;
        out.reserve(one.size() * static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            out += one;
        }
        return out;
    }

    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
    std::optional<host_program> host;
    std::size_t peak_descriptors = 0;
};

// A parsed head of short lines takes many times its bytes, and the next one was read from the
// buffer of a connection that had ended.
TEST_F(untrusted_clients_test, a_host_survives_pipelined_heads_of_many_short_lines)
{
    constexpr int requests = 200;
    send_unread(
        repeated(request("GET", "/safe/x", "many", repeated("a:\r\n", lines_per_head)), requests));
    expect_unharmed_host();
}

// The host read on while it answered, so that the unread requests of each connection grew.
TEST_F(untrusted_clients_test, a_host_survives_many_pipelined_requests)
{
    constexpr int requests = 20'000;
    send_unread(repeated(request("GET", "/safe/x", "pipelined"), requests));
    expect_unharmed_host();
}

// What such clients held grew until they had sent everything.
TEST_F(untrusted_clients_test, the_memory_of_a_host_is_bounded_while_many_requests_wait)
{
    constexpr int requests = 20'000;
    send_all_unread(repeated(request("GET", "/safe/x", "pipelined"), requests));
    expect_unharmed_host();
}

TEST_F(untrusted_clients_test, the_memory_of_a_host_is_bounded_while_heads_of_many_lines_wait)
{
    constexpr int requests = 200;
    send_all_unread(
        repeated(request("GET", "/safe/x", "many", repeated("a:\r\n", lines_per_head)), requests));
    expect_unharmed_host();
}

// Each of these requests is answered at once, and a connection was served until its input was used.
TEST_F(untrusted_clients_test, a_host_survives_many_pipelined_requests_without_fields)
{
    constexpr int requests = 20'000;
    send_unread(repeated("GET /x HTTP/1.1\r\n\r\n", requests));
    expect_unharmed_host();
}

// A limit on lines must not refuse what the limit on bytes allows.
TEST_F(untrusted_clients_test, a_request_with_as_many_lines_as_fit_into_its_head_is_served)
{
    caller from{host->callers};
    const auto head = request("GET", "/safe/x", "many", repeated("a:\r\n", lines_per_head));
    ASSERT_LE(head.size(), 16'384U);
    EXPECT_EQ(from.ask(head).status, 200U);
    EXPECT_EQ(from.ask(head).status, 200U);
}

// A request that had arrived behind the one being answered was begun although its connection had
// ended meanwhile, and its answer was then written to the freed connection. The process is stopped
// so that the first answer and the end of the connection reach it in one turn of its event loop.
TEST_F(untrusted_clients_test, a_request_behind_an_answered_one_ends_with_its_connection)
{
    std::atomic<bool> may_answer{false};
    std::atomic<bool> answered{false};
    replica.set_answer([&](const received_request& each) {
        scripted_response out;
        out.later = [&, each]() -> std::optional<scripted_response> {
            if (!may_answer) {
                return std::nullopt;
            }
            auto answer = signed_answer(each, "x");
            answer.following = [&] {
                answered = true;
                return scripted_response{};
            };
            return answer;
        };
        return out;
    });
    const auto count = [this](const std::string& id) {
        return replica.count(
            [&](const received_request& each) { return each.field("Request-Id") == id; });
    };
    {
        caller from{host->callers};
        from.send(request("GET", "/safe/x", "first") + request("GET", "/safe/x", "second"));
        ASSERT_TRUE(eventually([&] { return count("first") == 1; }));
        host->process->signal(SIGSTOP);
        ASSERT_TRUE(eventually([&] { return host->process->is_stopped(); }));
        may_answer = true;
        ASSERT_TRUE(eventually([&] { return answered.load(); }));
    }
    host->process->signal(SIGCONT);
    EXPECT_TRUE(serves_an_ordinary_request()) << host->log_end();
    EXPECT_TRUE(is_alive()) << host->log_end();
    EXPECT_EQ(count("second"), 0U);
}

} // namespace
} // namespace cicadaport::platform
