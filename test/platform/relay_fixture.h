// A test fixture of a host without a path to replicas that relays requests to fakes of other hosts.
#pragma once

#include "host_fixture.h"

#include "news.pb.h"

namespace cicadaport::platform::testing {

class relaying_host_test : public host_test {
protected:
    // Starts a host that reaches no replica and waits until it relays requests to `others`.
    void start_relaying(const std::vector<const scripted_server*>& others)
    {
        list_replica("i-1", {"127.0.0.1", free_port()});
        list_replica("i-2", {"127.0.0.1", free_port()});
        start();
        int number = 0;
        ASSERT_TRUE(eventually([&] {
            greet(others);
            ask(request("GET", "/safe/x", "w" + std::to_string(++number)));
            return std::all_of(others.begin(), others.end(),
                               [](const auto* each) { return !each->requests().empty(); });
        }));
    }

    // Announces the fakes to the host as hosts that reach replicas.
    void greet(const std::vector<const scripted_server*>& others)
    {
        const boost::asio::ip::udp::endpoint host{boost::asio::ip::make_address("127.0.0.1"),
                                                  settings.peers.own.port};
        for (const auto* each : others) {
            protocol::host_news greeting;
            greeting.set_sender(each->address().port);
            greeting.mutable_own()->set_ip(
                boost::asio::ip::make_address_v4(each->address().ip).to_uint());
            greeting.mutable_own()->set_port(each->address().port);
            m_socket.send_to(boost::asio::buffer(greeting.SerializeAsString()), host);
        }
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::udp::socket m_socket{m_context, boost::asio::ip::udp::v4()};
};

} // namespace cicadaport::platform::testing
