// Hosts before replicas that send bytes without end where an answer is due.
#include "host_fixture.h"

#include <gtest/gtest.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using testing::events;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;

// Answers each request with a beginning and then the same bytes again and again,
// until the other side closes.
class endless_server {
public:
    endless_server(std::string beginning, std::string again)
        : m_beginning{std::move(beginning)}, m_again{std::move(again)}
    {
        m_thread = std::thread{[this] { serve(); }};
    }

    ~endless_server()
    {
        m_done = true;
        boost::system::error_code ignored;
        tcp::socket wake{m_context};
        wake.connect(m_acceptor.local_endpoint(), ignored);
        wake.close(ignored);
        m_thread.join();
    }

    http::address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    std::size_t sent() const { return m_sent; }
    int requests() const { return m_requests; }
    // Whether every connection that was answered has been closed by the other side.
    bool is_left() const { return m_requests == m_closed; }

private:
    void serve()
    {
        while (!m_done) {
            tcp::socket socket{m_context};
            m_acceptor.accept(socket);
            boost::asio::streambuf head;
            boost::system::error_code error;
            boost::asio::read_until(socket, head, "\r\n\r\n", error);
            if (error) {
                continue;
            }
            ++m_requests;
            boost::asio::write(socket, boost::asio::buffer(m_beginning), error);
            while (!error && !m_done) {
                m_sent += boost::asio::write(socket, boost::asio::buffer(m_again), error);
            }
            ++m_closed;
        }
    }

    std::string m_beginning;
    std::string m_again;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::atomic<bool> m_done{false};
    std::atomic<std::size_t> m_sent{0};
    std::atomic<int> m_requests{0};
    std::atomic<int> m_closed{0};
    std::thread m_thread;
};

constexpr std::size_t million = 1'000'000;

class endless_answer_test : public testing::host_test {
protected:
    // A request that may run once is answered truthfully and soon, no more than so many
    // bytes were taken, and the connection is closed.
    void expect_broken_off(const std::string& beginning, const std::string& again,
                           const std::string& path = "once")
    {
        endless_server replica{beginning, again};
        list_replica("i-1", replica.address());
        start();
        const auto asked = std::chrono::steady_clock::now();
        const auto answer = ask(request("POST", "/" + path + "/x", "r1", "", "order"));
        EXPECT_EQ(answer.status, 502U) << "it may have run";
        EXPECT_LT(std::chrono::steady_clock::now() - asked, 4s) << "before its time is over";
        EXPECT_TRUE(testing::eventually([&] { return replica.is_left(); }));
        EXPECT_EQ(replica.requests(), 1);
        EXPECT_LT(replica.sent(), 24 * million) << "what was taken, and what the sockets hold";
    }
};

const std::string own_head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n";

TEST_F(endless_answer_test, a_head_without_end_is_broken_off)
{
    expect_broken_off(own_head, "X-More: " + std::string(1'000, 'x') + "\r\n");
}

TEST_F(endless_answer_test, a_line_without_end_is_broken_off)
{
    expect_broken_off("", std::string(10'000, 'x'));
}

TEST_F(endless_answer_test, a_body_without_end_is_broken_off)
{
    expect_broken_off(own_head + "\r\n", std::string(100'000, 'x'));
}

TEST_F(endless_answer_test, a_body_of_chunks_without_end_is_broken_off)
{
    expect_broken_off(own_head + "Transfer-Encoding: chunked\r\n\r\n",
                      "2710\r\n" + std::string(10'000, 'x') + "\r\n");
}

TEST_F(endless_answer_test, interim_answers_without_end_are_broken_off)
{
    expect_broken_off("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_F(endless_answer_test, answers_to_others_without_end_are_broken_off)
{
    expect_broken_off("", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1000\r\n\r\n" +
                              std::string(1'000, 'x'));
}

TEST_F(endless_answer_test, an_event_without_end_is_broken_off)
{
    expect_broken_off(own_head + "\r\n", "data: " + std::string(10'000, 'x') + "\n", "stream");
}

TEST_F(endless_answer_test, an_interim_answer_is_not_taken_for_the_answer)
{
    scripted_server replica{[](const received_request& each) {
        auto reply = signed_answer(each, "own");
        reply.bytes = "HTTP/1.1 100 Continue\r\n\r\n" + reply.bytes;
        return reply;
    }};
    list_replica("i-1", replica.address());
    start();
    const auto answer = ask(request("POST", "/once/x", "r1", "", "order"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "own");
}

} // namespace
} // namespace cicadaport::platform
