// Tests of a host that has lost all paths to replicas, while callers, the store and the other
// hosts still reach it.
#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using testing::events;
using testing::eventually;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;
using testing::stream;
using namespace std::chrono_literals;

// An address at which connections are neither established nor refused, like behind a partition.
class silent_address {
public:
    silent_address()
    {
        m_acceptor.open(boost::asio::ip::tcp::v4());
        m_acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        m_acceptor.listen(0);
        // The kernel drops further connections while its queue is full.
        for (auto& each : m_fillers) {
            each.open(boost::asio::ip::tcp::v4());
            // Must not wait for a connection that is not going to be established.
            each.native_non_blocking(true);
            const auto to = m_acceptor.local_endpoint();
            std::ignore =
                ::connect(each.native_handle(), to.data(), static_cast<socklen_t>(to.size()));
        }
    }

    http::address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor{m_context};
    std::array<boost::asio::ip::tcp::socket, 4> m_fillers{
        boost::asio::ip::tcp::socket{m_context}, boost::asio::ip::tcp::socket{m_context},
        boost::asio::ip::tcp::socket{m_context}, boost::asio::ip::tcp::socket{m_context}};
};

// The first host reads a list that names addresses which it can't reach, with the same ids.
class cut_off_host_test : public testing::fleet_test {
protected:
    static constexpr int replica_count = 4;

    void start_with_first_host_cut_off(const std::vector<http::address>& unreachable)
    {
        for (int number = 0; number < replica_count; ++number) {
            replicas.push_back(std::make_unique<scripted_server>(answer));
            const auto id = "i-" + std::to_string(number);
            list_replica(id, replicas.back()->address());
            list_at(other_view, id, unreachable[static_cast<std::size_t>(number)]);
        }
        copy_configuration();
        start_fleet();
        // Until the hosts know each other.
        std::this_thread::sleep_for(2s);
    }

    void adjust_settings(int number, serving::host_settings& of) override
    {
        if (number == 0) {
            of.store_address = other_view.address();
        }
    }

    static std::vector<http::address> refusing_addresses()
    {
        std::vector<http::address> out;
        for (int number = 0; number < replica_count; ++number) {
            out.push_back({"127.0.0.1", testing::free_port()});
        }
        return out;
    }

    testing::caller::answer ask_first_host(const std::string& bytes)
    {
        return testing::caller{fleet.front().settings.caller_address}.ask(bytes);
    }

    // Returns how many of `count` requests are served, from when a host is allowed to have noticed.
    int served_after_contact_time(const std::string& route, int count)
    {
        const auto limit = std::chrono::steady_clock::now() + contact_time;
        int number = 0;
        while (std::chrono::steady_clock::now() < limit) {
            ask_first_host(request("POST", "/" + route + "/x", "w" + std::to_string(++number)));
        }
        int served = 0;
        for (number = 0; number < count; ++number) {
            const auto answer = ask_first_host(
                request("POST", "/" + route + "/x", "r" + std::to_string(number), "", "q"));
            served += answer.status == 200 && answer.complete ? 1 : 0;
        }
        return served;
    }

    static constexpr auto contact_time = 3s;
    static constexpr int request_count = 20;

    testing::standin_store other_view;
    std::vector<std::unique_ptr<scripted_server>> replicas;

private:
    static scripted_response answer(const received_request& each)
    {
        return each.path().starts_with("/going/")
                   ? stream(each, "s", events(1, 3), scripted_response::then::keep)
                   : signed_answer(each, "body of " + each.field("Request-Id"));
    }

    void list_at(testing::standin_store& where, const std::string& id, const http::address& at)
    {
        where.put(std::string{testing::replicas_topic}, id,
                  R"({"service":"s","address":")" + http::to_string(at) +
                      R"(","zone":"z","version":"v1","slots":4,"state":"ready","sequence":1,)"
                      R"("cold-left-ms":0,"born":1})");
    }

    void copy_configuration()
    {
        other_view.put(std::string{testing::configuration_topic}, "config",
                       store.newest(std::string{testing::configuration_topic}, "config"));
    }
};

TEST_F(cut_off_host_test, callers_of_a_host_without_a_path_to_replicas_are_served)
{
    start_with_first_host_cut_off(refusing_addresses());
    EXPECT_EQ(served_after_contact_time("once", request_count), request_count);
    EXPECT_EQ(served_after_contact_time("going", request_count), request_count);
}

TEST_F(cut_off_host_test, callers_of_a_host_whose_connections_to_replicas_hang_are_served)
{
    std::array<silent_address, replica_count> silent;
    std::vector<http::address> addresses;
    for (const auto& each : silent) {
        addresses.push_back(each.address());
    }
    start_with_first_host_cut_off(addresses);
    EXPECT_EQ(served_after_contact_time("once", request_count), request_count);
}

} // namespace
} // namespace cicadaport::platform
