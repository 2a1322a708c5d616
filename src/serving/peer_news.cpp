#include "cicadaport/serving/peer_news.h"

#include "news.pb.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace asio = boost::asio;
using asio::ip::udp;
using error_code = boost::system::error_code;

namespace {

constexpr std::size_t longest_datagram = 1'400;
// Pieces of work that fit into a datagram.
constexpr int most_pieces = 40;
// Other hosts named in a greeting.
constexpr int most_named = 24;

} // namespace

peer_news::peer_news(host_state& host, peer_settings settings)
    : m_host{host}, m_settings{std::move(settings)}, m_socket{host.context},
      m_own_number{host.random() | 1U}, m_gathered{std::make_unique<protocol::host_news>()},
      m_buffer(longest_datagram, '\0')
{
}

peer_news::~peer_news() = default;

void peer_news::start()
{
    try {
        const udp_address own{asio::ip::make_address(m_settings.own.ip), m_settings.own.port};
        m_socket.open(own.protocol());
        m_socket.bind(own);
        m_socket.non_blocking(true);
    }
    catch (const boost::system::system_error& error) {
        spdlog::warn("peers_not_heard error=\"{}\"", error.what());
        return;
    }
    m_host.news = this;
    receive();
    greet();
}

void peer_news::work_begun(std::uint64_t id, const engine_work& work)
{
    auto& begun = *m_gathered->add_begun();
    begun.set_id(id);
    begun.set_engine(work.engine);
    begun.set_urgency(work.urgency);
    begun.set_reading_ms(static_cast<float>(work.reading.count()));
    begun.set_nominal_ms(static_cast<float>(work.nominal_reading.count()));
    gather();
}

void peer_news::work_ended(std::uint64_t id)
{
    m_gathered->add_ended(id);
    gather();
}

void peer_news::engine_paused(std::uint32_t engine, milliseconds time)
{
    auto& paused = *m_gathered->add_paused();
    paused.set_engine(engine);
    paused.set_time_ms(static_cast<std::uint32_t>(time.count()));
    gather();
}

void peer_news::gather()
{
    if (m_gathered->begun_size() + m_gathered->ended_size() >= most_pieces) {
        flush();
    }
    else if (!m_flush.is_set()) {
        m_flush = m_host.timers.call_at(m_host.timers.now() + gathering_time, [this] { flush(); });
    }
}

void peer_news::flush()
{
    m_flush.cancel();
    m_gathered->set_sender(m_own_number);
    std::size_t told = 0;
    for (const auto& [to, each] : m_peers) {
        if (++told > most_told) {
            break;
        }
        send(*m_gathered, to);
    }
    m_gathered->Clear();
}

void peer_news::greet()
{
    const auto now = m_host.timers.now();
    for (auto each = m_peers.begin(); each != m_peers.end();) {
        if (now - each->second.heard > silence) {
            m_host.fleet.forget(each->second.number, now);
            each = m_peers.erase(each);
        }
        else {
            ++each;
        }
    }
    std::erase_if(m_told_of, [&](const auto& each) { return now - each.second > silence; });
    protocol::host_news greeting;
    greeting.set_sender(m_own_number);
    for (const auto& [address, each] : m_peers) {
        if (greeting.others_size() < most_named) {
            auto& other = *greeting.add_others();
            other.set_ip(address.address().to_v4().to_uint());
            other.set_port(address.port());
        }
    }
    std::set<udp_address> to;
    for (const auto& ip : m_settings.first_ips) {
        error_code error;
        const auto address = asio::ip::make_address(ip, error);
        if (!error && ip != m_settings.own.ip) {
            to.emplace(address, m_settings.own.port);
        }
    }
    for (const auto& [address, each] : m_peers) {
        if (to.size() < most_told) {
            to.insert(address);
        }
    }
    for (const auto& [address, since] : m_told_of) {
        if (to.size() < 2 * most_told) {
            to.insert(address);
        }
    }
    for (const auto& each : to) {
        send(greeting, each);
    }
    m_greeting = m_host.timers.call_at(now + greeting_interval, [this] { greet(); });
}

void peer_news::send(const protocol::host_news& news, const udp_address& to)
{
    const auto bytes = news.SerializeAsString();
    error_code error;
    m_socket.send_to(asio::buffer(bytes), to, 0, error);
    if (error && error != asio::error::would_block) {
        spdlog::debug("peer_not_told peer={} error=\"{}\"", to.address().to_string(),
                      error.message());
    }
}

void peer_news::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](error_code failure) {
        if (failure) {
            return;
        }
        error_code error;
        while (!error) {
            const auto count = m_socket.receive_from(asio::buffer(m_buffer), m_sender, 0, error);
            if (!error) {
                take(m_sender, std::string_view{m_buffer}.substr(0, count));
            }
        }
        receive();
    });
}

void peer_news::take(const udp_address& from, std::string_view datagram)
{
    protocol::host_news news;
    if (!news.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())) ||
        news.sender() == 0 || news.sender() == m_own_number) {
        spdlog::debug("peer_news_unreadable peer={}", from.address().to_string());
        return;
    }
    const auto now = m_host.timers.now();
    auto& known = m_peers[from];
    if (known.number != news.sender()) {
        // A new process at the address.
        m_host.fleet.forget(known.number, now);
        known.number = news.sender();
    }
    known.heard = now;
    m_told_of.erase(from);
    for (const auto& each : news.begun()) {
        engine_work work;
        work.engine = each.engine();
        work.urgency = each.urgency();
        work.reading = fine_milliseconds{each.reading_ms()};
        work.nominal_reading = fine_milliseconds{each.nominal_ms()};
        m_host.fleet.begin(known.number, each.id(), work, now);
    }
    for (const auto id : news.ended()) {
        m_host.fleet.end(known.number, id, now);
    }
    for (const auto& each : news.paused()) {
        m_host.engines.pause(each.engine(), now + milliseconds{each.time_ms()});
    }
    for (const auto& each : news.others()) {
        const udp_address other{asio::ip::address_v4{each.ip()},
                                static_cast<std::uint16_t>(each.port())};
        const bool is_own = other.address().to_string() == m_settings.own.ip;
        if (!is_own && !m_peers.contains(other)) {
            m_told_of.emplace(other, now);
        }
    }
}

} // namespace cicadaport::serving
