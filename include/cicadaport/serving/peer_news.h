// Tells the other hosts in datagrams what work this host gives to engines and
// what it reads of the store's lists, and takes what they tell.
//
// The load that this answers: hosts that each see a sixth of the traffic and
// choose engines by it would all send to the same one. Datagrams take half a
// millisecond, reports of engines hundreds. Nothing that must be right rests
// on their arrival: a host that hears nobody serves with what it knows itself.
//
// Belongs to the event loop.
#pragma once

#include "cicadaport/serving/host_directory.h"
#include "cicadaport/serving/host_state.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>

namespace cicadaport::protocol {
class host_news;
}

namespace cicadaport::serving {

struct peer_settings {
    // Where this host hears the others; all use the same port.
    http::address own;
    // Hosts to speak to first. They may be gone.
    std::vector<std::string> first_ips;
};

class peer_news final : public news_writer {
public:
    // Work is told this much later at most, so that several pieces share a
    // datagram.
    static constexpr milliseconds gathering_time{8};
    static constexpr milliseconds greeting_interval{1'000};
    // Hosts named in a greeting, and strangers greeted at once: a fleet that
    // starts together has found itself within a few greetings.
    static constexpr std::size_t most_named = 12;
    static constexpr std::size_t most_strangers = 32;
    // Known hosts that each greeting names others to.
    static constexpr std::size_t told_names = 2;

    using page_function = std::function<void(const shared_page&)>;

    // `on_page` is told what other hosts have read.
    peer_news(host_state& host, peer_settings settings, page_function on_page);
    ~peer_news() override;

    void start();

    void set_first_ips(std::vector<std::string> ips) { m_settings.first_ips = std::move(ips); }

    void work_begun(std::uint64_t id, const engine_work& work) override;
    void work_ended(std::uint64_t id) override;
    void list_read(const shared_page& page) override;
    void engine_changes(std::uint32_t engine, engine_stage to, milliseconds time) override;
    void limit_named(const limit_statement& said) override;
    fleet_place place_for(std::uint32_t endpoint, bool in_cell) const override;
    std::size_t hosts_heard() const noexcept override { return m_directory.size(); }
    std::uint64_t cell_count() const noexcept override { return m_directory.cell_count(); }
    bool is_in_cell(std::uint32_t engine) const noexcept override
    {
        return m_directory.is_in_cell(engine);
    }

private:
    using udp_address = boost::asio::ip::udp::endpoint;
    void gather();
    void flush();
    void greet();
    // Returns what this host says of itself.
    protocol::host_news own_greeting() const;
    // Adds the addresses of other hosts.
    void add_names(protocol::host_news& greeting);
    void receive();
    void take(const udp_address& from, std::string_view datagram);
    void take_page(const protocol::host_news& news, time_point now);
    void pass_on(protocol::host_news& news, const udp_address& from);
    void spread(protocol::host_news& news, const gossip_routes& routes);
    void send(const std::string& bytes, const peer_address& to);

    host_state& m_host;
    peer_settings m_settings;
    page_function m_on_page;
    boost::asio::ip::udp::socket m_socket;
    host_number m_own_number;
    std::unique_ptr<protocol::host_news> m_gathered;
    transport::timer_queue::handle m_flush;
    transport::timer_queue::handle m_greeting;
    host_directory m_directory;
    std::uint64_t m_greetings = 0;
    std::string m_buffer;
    udp_address m_sender;
};

} // namespace cicadaport::serving
