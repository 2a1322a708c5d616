// What a host tells the others of the work that it has given to engines.
#include "host_fixture.h"

#include "news.pb.h"

#include <set>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::udp;
using testing::caller;
using testing::events;
using testing::eventually;
using testing::received_request;
using testing::request;
using testing::scripted_server;
using testing::stream;

using end = testing::scripted_response::then;

class announced_work_test : public testing::host_test {
protected:
    // Greets the host as another host that wants its news.
    void greet()
    {
        protocol::host_news greeting;
        greeting.set_sender(1);
        greeting.mutable_own()->set_ip(m_socket.local_endpoint().address().to_v4().to_uint());
        greeting.mutable_own()->set_port(m_socket.local_endpoint().port());
        m_socket.send_to(boost::asio::buffer(greeting.SerializeAsString()),
                         {boost::asio::ip::make_address("127.0.0.1"), settings.peers.own.port});
    }

    // Receives news for `time` and notes which prompts are being read.
    void receive_for(std::chrono::milliseconds time)
    {
        m_socket.non_blocking(true);
        const auto limit = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < limit) {
            greet();
            std::array<char, 4096> buffer{};
            boost::system::error_code error;
            while (const auto size = m_socket.receive(boost::asio::buffer(buffer), 0, error)) {
                protocol::host_news news;
                ASSERT_TRUE(news.ParseFromArray(buffer.data(), static_cast<int>(size)));
                heard = true;
                for (const auto& each : news.begun()) {
                    if (each.reading() > 0) {
                        prompts_being_read.insert(each.id());
                    }
                }
                for (const auto id : news.ended()) {
                    prompts_being_read.erase(id);
                }
            }
            std::this_thread::sleep_for(5ms);
        }
    }

    std::set<std::uint64_t> prompts_being_read;
    bool heard = false;

private:
    boost::asio::io_context m_context;
    udp::socket m_socket{m_context, udp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
};

// Regression: the prompt of a continued stream was announced as being read until the stream ended.
TEST_F(announced_work_test, a_continued_stream_that_has_begun_reads_no_prompt)
{
    const auto serve = [](const received_request& each) {
        if (testing::is_status_request(each)) {
            return testing::make_response(200, "", "{}");
        }
        auto out =
            stream(each, "s", each.field("Last-Event-Id").empty() ? events(1, 2) : events(3, 3),
                   end::close);
        out.delay = 300ms;
        if (!each.field("Last-Event-Id").empty()) {
            out.after = end::keep;
        }
        return out;
    };
    scripted_server one{serve};
    scripted_server two{serve};
    list_replica("i-1", one.address(), "e", R"(,"stage":"decode")");
    list_replica("i-2", two.address(), "e", R"(,"stage":"decode")");
    start();
    receive_for(100ms);
    caller waiting{settings.caller_address};
    waiting.send(request("POST", "/prompt-going/x", "r1",
                         "Token-Count: 900,80\r\nPrompt-Prefix: a:500,b:400\r\n", "q"));
    receive_for(500ms);
    EXPECT_EQ(prompts_being_read.size(), 1U) << "the second engine reads the prompt";
    receive_for(700ms);
    EXPECT_TRUE(heard);
    EXPECT_TRUE(prompts_being_read.empty());
}

} // namespace
} // namespace cicadaport::platform
