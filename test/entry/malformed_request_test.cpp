#include "path_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <random>

namespace cicadaport::entry {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class malformed_request_test : public testing::Test {
protected:
    handler_server<standins::plain_service> m_service;
    served_gateway m_gateway{test_configuration({}, {m_service.address()})};

    // Sends raw bytes, shuts down the sending side and returns the whole reply.
    std::string send_raw(const std::string& bytes) const
    {
        asio::io_context context;
        tcp::socket socket{context};
        const auto to = m_gateway.address();
        socket.connect({asio::ip::make_address(to.ip), to.port});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::string reply;
        asio::read(socket, asio::dynamic_buffer(reply), error);
        return reply;
    }

    bool is_alive() const
    {
        return exchange(m_gateway.address(), caller_request("GET", "/stock", "")).status == 200;
    }
};

const std::string valid = "POST /confirm HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer desk-key\r\n"
                          "Content-Length: 8\r\nX-Request-Id: r1\r\n\r\norder 17";

TEST_F(malformed_request_test, an_invalid_request_line_is_refused)
{
    EXPECT_TRUE(send_raw("how many sacks\r\n\r\n").starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(is_alive());
}

TEST_F(malformed_request_test, oversized_header_fields_are_refused)
{
    const std::string field = "X-Long: " + std::string(20'000, 'x') + "\r\n\r\n";
    const auto reply = send_raw("GET /stock HTTP/1.1\r\nHost: a\r\n" + field);
    EXPECT_TRUE(reply.empty() || reply.starts_with("HTTP/1.1 431")) << reply.substr(0, 80);
    EXPECT_TRUE(is_alive());
}

TEST_F(malformed_request_test, an_oversized_body_is_refused_before_it_is_read)
{
    const auto reply =
        send_raw("POST /confirm HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000\r\n\r\n");
    EXPECT_TRUE(reply.starts_with("HTTP/1.1 413")) << reply.substr(0, 80);
    EXPECT_TRUE(is_alive());
}

TEST_F(malformed_request_test, a_body_cut_short_runs_nothing)
{
    send_raw(valid.substr(0, valid.size() - 3));
    const auto runs = exchange(m_service.address(), {"GET", "/v1/runs", {}, {}});
    EXPECT_TRUE(nlohmann::json::parse(runs.body)["runs"].empty());
}

TEST_F(malformed_request_test, completions_with_a_malformed_body_are_refused)
{
    for (const std::string body :
         {"", "{", "[]", "{\"model\":7}", "{\"model\":\"m\",\"stream\":\"yes\"}", "\xff\xfe"}) {
        const auto message = caller_request("POST", "/v1/completions", body);
        const auto reply = exchange(m_gateway.address(), message);
        EXPECT_EQ(reply.status, 400U) << body;
        EXPECT_EQ(reply.fields.find(verdict_field), "not_run");
    }
}

TEST_F(malformed_request_test, the_process_survives_random_mutations_of_a_valid_request)
{
    constexpr int mutations = 10'000;
    constexpr int most_changes = 6;
    std::mt19937 random{17};
    std::uniform_int_distribution<std::size_t> place{0, valid.size() - 1};
    std::uniform_int_distribution<int> byte{0, 255};
    std::uniform_int_distribution<int> changes{1, most_changes};
    for (int i = 0; i < mutations; ++i) {
        auto mutated = valid;
        for (int left = changes(random); left > 0; --left) {
            mutated[place(random)] = static_cast<char>(byte(random));
        }
        const auto reply = send_raw(mutated);
        EXPECT_TRUE(reply.empty() || reply.starts_with("HTTP/1.")) << "mutation " << i;
    }
    EXPECT_TRUE(is_alive());
}

TEST(slow_sender_test, a_request_that_arrives_too_late_closes_its_connection)
{
    base::io_pool pool{1};
    http::server_limits limits;
    limits.receive_timeout = std::chrono::milliseconds{50};
    const http::server server{pool, "127.0.0.1", 0, limits,
                              [](std::size_t, const http::request&, http::response_writer& writer) {
                                  return writer.send({});
                              }};
    std::jthread thread{[&] { pool.run(); }};
    asio::io_context context;
    tcp::socket socket{context};
    socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(socket, asio::buffer(valid.substr(0, 30)));
    std::string reply;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(reply), error);
    EXPECT_TRUE(reply.empty()) << reply;
    EXPECT_TRUE(error == asio::error::eof || error == asio::error::connection_reset);
    pool.stop();
}

} // namespace
} // namespace cicadaport::entry
