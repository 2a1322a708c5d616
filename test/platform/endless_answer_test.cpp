// Tests of hosts with replicas that answer with an endless stream of bytes.
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

// Answers each request with `beginning` and then repeats `again` until the client closes
// the connection. Serves one connection at a time.
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
    // Returns whether the client has closed all connections on which a request was received.
    bool is_closed_by_client() const { return m_requests == m_closed; }

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
    // Expects that a request that may run only once gets a 502 before its deadline, that the
    // host reads a bounded number of bytes, and that it closes the connection.
    void expect_aborted(const std::string& beginning, const std::string& again,
                        const std::string& path = "once")
    {
        endless_server replica{beginning, again};
        list_replica("i-1", replica.address());
        start();
        const auto asked = std::chrono::steady_clock::now();
        const auto answer = ask(request("POST", "/" + path + "/x", "r1", "", "order"));
        EXPECT_EQ(answer.status, 502U) << "the request may have run";
        EXPECT_LT(std::chrono::steady_clock::now() - asked, 4s) << "well before its deadline";
        EXPECT_TRUE(testing::eventually([&] { return replica.is_closed_by_client(); }));
        EXPECT_EQ(replica.requests(), 1);
        EXPECT_LT(replica.sent(), 24 * million) << "bytes read by the host and in socket buffers";
    }
};

const std::string own_head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n";

TEST_F(endless_answer_test, an_endless_head_is_aborted)
{
    expect_aborted(own_head, "X-More: " + std::string(1'000, 'x') + "\r\n");
}

TEST_F(endless_answer_test, an_endless_line_is_aborted)
{
    expect_aborted("", std::string(10'000, 'x'));
}

TEST_F(endless_answer_test, an_endless_body_is_aborted)
{
    expect_aborted(own_head + "\r\n", std::string(100'000, 'x'));
}

TEST_F(endless_answer_test, an_endless_chunked_body_is_aborted)
{
    expect_aborted(own_head + "Transfer-Encoding: chunked\r\n\r\n",
                   "2710\r\n" + std::string(10'000, 'x') + "\r\n");
}

TEST_F(endless_answer_test, an_endless_chunk_extension_is_aborted)
{
    expect_aborted(own_head + "Transfer-Encoding: chunked\r\n\r\n3;name=",
                   std::string(10'000, 'x'));
}

TEST_F(endless_answer_test, an_endless_trailer_is_aborted)
{
    expect_aborted(own_head + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n",
                   "Name: " + std::string(1'000, 'x') + "\r\n");
}

TEST_F(endless_answer_test, endless_interim_answers_are_aborted)
{
    expect_aborted("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_F(endless_answer_test, endless_answers_to_other_requests_are_aborted)
{
    expect_aborted("", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1000\r\n\r\n" +
                           std::string(1'000, 'x'));
}

TEST_F(endless_answer_test, an_endless_event_is_aborted)
{
    expect_aborted(own_head + "\r\n", "data: " + std::string(10'000, 'x') + "\n", "stream");
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
