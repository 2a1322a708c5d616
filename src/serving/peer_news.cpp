#include "cicadaport/serving/peer_news.h"

#include "news.pb.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace cicadaport::serving {
namespace asio = boost::asio;
using asio::ip::udp;
using error_code = boost::system::error_code;

namespace {

constexpr std::size_t longest_datagram = 1'400;
// Pieces of work that fit into a datagram.
constexpr int most_pieces = 40;
// Of a list: bytes of records in one datagram, and datagrams; beyond that each
// host reads the list itself.
constexpr std::size_t most_record_bytes = 1'100;
constexpr std::size_t most_parts = 8;
// Reading times are told in so many parts of a millisecond.
constexpr double parts_of_ms = 10;

std::uint32_t to_parts(fractional_milliseconds time)
{
    // Work that takes time is never told as work that takes none.
    return time > fractional_milliseconds{0}
               ? static_cast<std::uint32_t>(std::max(1.0, std::round(time.count() * parts_of_ms)))
               : 0;
}

fractional_milliseconds from_parts(std::uint32_t parts)
{
    return fractional_milliseconds{parts / parts_of_ms};
}

peer_address to_peer(const http::address& address)
{
    error_code error;
    const auto ip = asio::ip::make_address_v4(address.ip, error);
    return error ? peer_address{} : peer_address{ip.to_uint(), address.port};
}

} // namespace

peer_news::peer_news(host_state& host, peer_settings settings, page_function on_page)
    : m_host{host},
      m_settings{std::move(settings)}, m_on_page{std::move(on_page)}, m_socket{host.context},
      m_own_number{host.random() | 1U}, m_gathered{std::make_unique<protocol::host_news>()},
      m_directory{to_peer(m_settings.own), m_own_number, engine_number(host.availability_zone),
                  host.timers.now()},
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
    begun.set_beginning(work.prefix_digest);
    begun.set_taken_in(static_cast<std::uint32_t>(work.added_tokens));
    begun.set_reading(to_parts(work.prefill_time));
    if (work.nominal_prefill_time != work.prefill_time) {
        begun.set_nominal(to_parts(work.nominal_prefill_time));
    }
    gather();
}

void peer_news::work_ended(std::uint64_t id)
{
    m_gathered->add_ended(id);
    gather();
}

void peer_news::engine_changes(std::uint32_t engine, engine_stage to, milliseconds time)
{
    auto& paused = *m_gathered->add_paused();
    paused.set_engine(engine);
    paused.set_to_prefill(to == engine_stage::prefill);
    paused.set_time_ms(static_cast<std::uint32_t>(time.count()));
    gather();
}

void peer_news::limit_named(const limit_statement& said)
{
    protocol::host_news news;
    news.set_sender(m_own_number);
    auto& limit = *news.add_limits();
    limit.set_endpoint(said.endpoint);
    limit.set_incarnation(said.incarnation);
    limit.set_is_named(said.per_second.has_value());
    limit.set_per_second(said.per_second.value_or(0));
    const auto age = std::chrono::duration_cast<milliseconds>(m_host.timers.now() - said.asked);
    limit.set_asked_ms(static_cast<std::uint32_t>(age.count()));
    spread(news, m_directory.routes_for_greeting(++m_greetings));
}

fleet_place peer_news::place_for(std::uint32_t endpoint, bool in_cell) const
{
    return m_directory.place_for(endpoint, in_cell, m_host.timers.now());
}

void peer_news::list_read(const shared_page& page)
{
    // Parts of the page that fit into a datagram each.
    std::vector<protocol::feed_news> parts(1);
    std::size_t bytes = 0;
    bool fits = true;
    for (const auto& each : page.entries) {
        const auto size = each.key.size() + each.value.value_or("").size();
        if (bytes > 0 && bytes + size > most_record_bytes) {
            parts.back().set_to(each.offset);
            parts.emplace_back().set_from(each.offset);
            bytes = 0;
        }
        bytes += size;
        fits = fits && size <= most_record_bytes && parts.size() <= most_parts;
        auto& record = *parts.back().add_records();
        record.set_key(each.key);
        record.set_value(each.value.value_or(""));
        record.set_dropped(!each.value);
        record.set_offset(each.offset);
    }
    parts.front().set_from(page.from);
    parts.back().set_to(page.to);
    if (!fits) {
        parts.assign(1, {});
        parts.front().set_from(page.from);
        parts.front().set_to(page.from);
    }
    const auto age = std::chrono::duration_cast<milliseconds>(m_host.timers.now() - page.read_at);
    const auto routes = m_directory.routes_for_greeting(++m_greetings);
    for (auto& each : parts) {
        protocol::host_news news;
        news.set_sender(m_own_number);
        each.set_feed(static_cast<std::uint32_t>(page.of));
        each.set_end(page.list_end);
        each.set_age_ms(static_cast<std::uint32_t>(age.count()));
        *news.mutable_feed() = std::move(each);
        spread(news, routes);
    }
}

void peer_news::take_page(const protocol::host_news& news, time_point now)
{
    const auto& told = news.feed();
    shared_page page;
    page.of = static_cast<feed>(told.feed());
    page.from = told.from();
    page.to = told.to();
    page.list_end = told.end();
    page.read_at = now - milliseconds{told.age_ms()};
    for (const auto& each : told.records()) {
        page.entries.emplace_back(
            each.key(), each.dropped() ? std::nullopt : std::optional{each.value()}, each.offset());
    }
    m_on_page(page);
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
    spread(*m_gathered, m_directory.routes_for_work());
    m_gathered->Clear();
}

void peer_news::greet()
{
    const auto now = m_host.timers.now();
    for (const auto gone : m_directory.forget_silent(now)) {
        m_host.fleet.forget(gone, now);
    }
    auto greeting = own_greeting();
    spread(greeting, m_directory.routes_for_greeting(++m_greetings));
    // Hosts that may not know all others are told of some.
    add_names(greeting);
    const auto bytes = greeting.SerializeAsString();
    auto to = m_directory.strangers();
    to.resize(std::min(to.size(), most_strangers));
    const auto known = m_directory.draw(told_names, m_host.random);
    to.insert(to.end(), known.begin(), known.end());
    for (const auto& ip : m_settings.first_ips) {
        if (ip != m_settings.own.ip) {
            to.push_back(to_peer({ip, m_settings.own.port}));
        }
    }
    for (const auto& each : to) {
        send(bytes, each);
    }
    m_greeting = m_host.timers.call_at(now + greeting_interval, [this] { greet(); });
}

protocol::host_news peer_news::own_greeting() const
{
    protocol::host_news out;
    out.set_sender(m_own_number);
    out.set_zone(engine_number(m_host.availability_zone));
    const auto own = to_peer(m_settings.own);
    out.mutable_own()->set_ip(own.ip);
    out.mutable_own()->set_port(own.port);
    return out;
}

void peer_news::add_names(protocol::host_news& greeting)
{
    for (const auto& each : m_directory.draw(most_named, m_host.random)) {
        auto& other = *greeting.add_others();
        other.set_ip(each.ip);
        other.set_port(each.port);
    }
}

void peer_news::spread(protocol::host_news& news, const news_routes& routes)
{
    const auto bytes = news.SerializeAsString();
    for (const auto& each : routes.direct) {
        send(bytes, each);
    }
    if (routes.relays.empty()) {
        return;
    }
    news.set_pass_on(true);
    const auto to_pass_on = news.SerializeAsString();
    for (const auto& each : routes.relays) {
        send(to_pass_on, each);
    }
    news.clear_pass_on();
}

void peer_news::pass_on(protocol::host_news& news, const udp_address& from)
{
    news.clear_pass_on();
    const auto bytes = news.SerializeAsString();
    const peer_address source{from.address().to_v4().to_uint(), from.port()};
    const bool of_work = !news.has_own() && !news.has_feed() && news.limits().empty();
    for (const auto& each : m_directory.zone_mates(of_work)) {
        if (each != source) {
            send(bytes, each);
        }
    }
}

void peer_news::send(const std::string& bytes, const peer_address& to)
{
    const udp_address address{asio::ip::address_v4{to.ip}, to.port};
    error_code error;
    m_socket.send_to(asio::buffer(bytes), address, 0, error);
    if (error && error != asio::error::would_block) {
        spdlog::debug("peer_not_told peer={} error=\"{}\"", address.address().to_string(),
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
    const auto sender = news.sender();
    if (news.has_own()) {
        const peer_address at{news.own().ip(), static_cast<std::uint16_t>(news.own().port())};
        const bool first = !m_directory.knows(at);
        if (const auto replaced = m_directory.note(at, sender, news.zone(), now)) {
            m_host.fleet.forget(replaced, now);
        }
        if (first) {
            // A host that has just started finds the others within two answers.
            auto answer = own_greeting();
            add_names(answer);
            send(answer.SerializeAsString(), at);
        }
    }
    if (news.pass_on()) {
        pass_on(news, from);
    }
    if (news.has_feed()) {
        take_page(news, now);
    }
    for (const auto& each : news.begun()) {
        engine_work work;
        work.engine = each.engine();
        work.urgency = each.urgency();
        work.prefill_time = from_parts(each.reading());
        work.nominal_prefill_time =
            each.nominal() != 0 ? from_parts(each.nominal()) : work.prefill_time;
        work.prefix_digest = each.beginning();
        work.added_tokens = each.taken_in();
        m_host.fleet.begin(sender, each.id(), work, now);
        m_host.engines.record_work(work, now);
    }
    for (const auto id : news.ended()) {
        m_host.fleet.end(sender, id, now);
    }
    for (const auto& each : news.paused()) {
        m_host.engines.begin_stage_change(
            each.engine(), each.to_prefill() ? engine_stage::prefill : engine_stage::decode,
            now + milliseconds{each.time_ms()});
    }
    for (const auto& each : news.limits()) {
        if (!std::isfinite(each.per_second()) || each.per_second() < 0) {
            spdlog::debug("peer_news_unreadable peer={}", from.address().to_string());
            continue;
        }
        m_host.note_told_limit({each.endpoint(), each.incarnation(),
                                each.is_named() ? std::optional{each.per_second()} : std::nullopt,
                                now - milliseconds{each.asked_ms()}});
    }
    for (const auto& each : news.others()) {
        m_directory.note_named({each.ip(), static_cast<std::uint16_t>(each.port())}, now);
    }
}

} // namespace cicadaport::serving
