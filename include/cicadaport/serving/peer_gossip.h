// Gossip between hosts in UDP datagrams: announces which work this host gives to engines and
// which records it reads from the store's lists, and applies what other hosts announce.
//
// Hosts that each see a sixth of the traffic and choose engines by that share alone would
// all send to the same engine. Datagrams arrive after 0.5 ms, reports of engines only after
// hundreds of milliseconds. Correctness never depends on delivery: a host that receives
// nothing serves with what it knows itself.
//
// Not thread safe: used only on the event loop of its host.
#pragma once

#include "cicadaport/serving/duty_news.h"
#include "cicadaport/serving/host_directory.h"
#include "cicadaport/serving/host_state.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>

namespace cicadaport::protocol {
class host_news;
class store_return;
} // namespace cicadaport::protocol

namespace cicadaport::serving {

struct peer_settings {
    // The address on which this host receives; all hosts use the same port.
    http::address own;
    // Seed hosts, contacted first. They may no longer exist.
    std::vector<std::string> seed_ips;
};

class peer_gossip final : public gossip_sender {
public:
    // Announcements of work are delayed by at most this time, to batch several in a datagram.
    static constexpr milliseconds max_batching_delay{8};
    static constexpr milliseconds greeting_interval{1'000};
    // A host that receives no message for this long may have missed announcements.
    static constexpr milliseconds max_message_pause{1'500};
    // Maximum number of hosts named in one greeting, and of hosts greeted at once that have
    // not been received from yet. With these, all hosts of a fleet that starts at once know
    // each other within a few greetings.
    static constexpr std::size_t max_named_hosts = 12;
    static constexpr std::size_t max_greeted_strangers = 32;
    // How many known hosts receive the names of others at each greeting interval.
    static constexpr std::size_t greeted_known_count = 2;

    using page_handler = std::function<void(const shared_page&)>;
    using duty_news_source = std::function<duty_news()>;
    using duty_news_handler =
        std::function<void(host_number sender, const peer_address& from, const duty_news&)>;

    // `on_page` receives the pages that other hosts have read.
    peer_gossip(host_state& host, peer_settings settings, page_handler on_page);
    ~peer_gossip() override;

    // Begins to hear and greet other hosts. If the port can't be bound, tries again until it can.
    void start();

    void set_seed_ips(std::vector<std::string> ips) { m_settings.seed_ips = std::move(ips); }

    // Lets greetings carry what `source` returns, and passes on what other hosts send about duties.
    void set_duty_news(duty_news_source source, duty_news_handler on_news);
    void send_duty_news(const peer_address& to, const duty_news& news);
    // Returns the order in which hosts perform the duty of a subject, with the first `count` hosts.
    duty_order order_of_hosts(const std::string& subject, std::size_t count,
                              bool own_may_act) const;

    void announce_work_start(std::uint64_t id, const engine_work& work) override;
    void announce_work_end(std::uint64_t id, bool is_prefill, double observed) override;
    void announce_page(const shared_page& page) override;
    void announce_stage_change(std::uint32_t engine, engine_stage to, milliseconds time,
                               std::uint64_t token) override;
    void announce_limit(const limit_statement& said) override;
    void announce_crashes(std::span<const engine_crash> crashes) override;
    void announce_survivals(std::span<const segment_survival> survivals) override;
    void announce_trials(std::span<const segment_id> segments) override;
    void announce_reachability() override;
    std::vector<http::address> relay_hosts() const override;
    void announce_streams(std::span<const begun_stream> streams) override;
    std::size_t rank_among_known_hosts() const override;
    std::optional<time_point> heard_since() const override;
    fleet_place place_for(std::uint32_t endpoint, bool in_cell) const override;
    std::size_t peer_count() const noexcept override { return m_directory.size(); }
    std::uint64_t cell_count() const noexcept override { return m_directory.cell_count(); }
    bool is_in_cell(std::uint32_t engine) const noexcept override
    {
        return m_directory.is_in_cell(engine);
    }

private:
    boost::system::error_code bind();
    using udp_address = boost::asio::ip::udp::endpoint;
    void schedule_flush();
    void flush();
    void greet();
    // Returns a greeting with this host's address, zone and number.
    protocol::host_news make_greeting() const;
    // Adds the last return of a store that states no epoch.
    void add_return(protocol::host_news& greeting) const;
    void handle_return(const protocol::store_return& told, time_point now);
    // Adds the addresses of randomly drawn known hosts.
    void add_known_hosts(protocol::host_news& greeting);
    void receive();
    void handle_datagram(const udp_address& from, std::string_view datagram);
    void handle_ended_work(const protocol::host_news& gossip, time_point now);
    void handle_crashes(const protocol::host_news& gossip, time_point now);
    void handle_page(const protocol::host_news& gossip, time_point now);
    void pass_on(protocol::host_news& gossip, const udp_address& from);
    void broadcast(protocol::host_news& gossip, const gossip_routes& routes);
    void send(const std::string& bytes, const peer_address& to);
    static void add_duty_news(protocol::host_news& gossip, const duty_news& news);
    void handle_duty_news(host_number sender, const udp_address& from, std::string_view datagram);

    host_state& m_host;
    peer_settings m_settings;
    page_handler m_on_page;
    // Null if this host performs no duties.
    duty_news_source m_duty_news;
    duty_news_handler m_on_duty_news;
    boost::asio::ip::udp::socket m_socket;
    host_number m_own_number;
    std::unique_ptr<protocol::host_news> m_batch;
    transport::timer_queue::handle m_flush;
    transport::timer_queue::handle m_greeting;
    transport::timer_queue::handle m_bind_retry;
    unsigned m_failed_binds = 0;
    host_directory m_directory;
    std::uint64_t m_greetings = 0;
    std::optional<time_point> m_last_message;
    // The first message after the last interruption.
    time_point m_heard_since{};
    std::string m_buffer;
    udp_address m_sender;
};

} // namespace cicadaport::serving
