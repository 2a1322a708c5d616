#include "cicadaport/serving/peer_gossip.h"

#include "cicadaport/telemetry/exception_log.h"

#include "news.pb.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace cicadaport::serving {
namespace asio = boost::asio;
using asio::ip::udp;
using error_code = boost::system::error_code;

namespace {

constexpr std::size_t max_datagram_bytes = 1'400;
constexpr milliseconds bind_retry_interval{100};
// Maximum number of announcements of work in a datagram.
constexpr int max_announcement_count = 40;
// Bounds for one page of a list: bytes of records per datagram, and datagrams. The records of a
// larger page are not sent; each host then reads them from the store itself.
constexpr std::size_t max_record_bytes = 1'100;
constexpr std::size_t max_part_count = 8;
// Maximum number of prompt segments in a datagram.
constexpr int max_segment_count = 100;
// Maximum number of stream origins in a datagram.
constexpr std::size_t max_stream_count = 64;
// Prefill times are sent in units of 0.1 ms.
constexpr double units_per_ms = 10;
// Time ratios are sent in thousandths. Larger observations are sent as the largest: they are
// bounded by the time limit of a route.
constexpr double units_per_ratio = 1'000;
constexpr double max_observed_units = 1e6;

std::uint32_t to_units(fractional_milliseconds time)
{
    // A time above zero is never rounded down to zero.
    return time > fractional_milliseconds{0}
               ? static_cast<std::uint32_t>(std::max(1.0, std::round(time.count() * units_per_ms)))
               : 0;
}

fractional_milliseconds from_units(std::uint32_t parts)
{
    return fractional_milliseconds{parts / units_per_ms};
}

milliseconds age_of(time_point at, time_point now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(now - at), milliseconds{0});
}

// Calls `use` with consecutive parts of at most `max_count` items.
template <typename Item, typename Use>
void for_each_part(std::span<const Item> items, std::size_t max_count, Use use)
{
    while (!items.empty()) {
        const auto count = std::min(items.size(), max_count);
        use(items.first(count));
        items = items.subspan(count);
    }
}

// Divides crashes into messages that each fit into a datagram.
std::vector<protocol::host_news> to_messages(std::span<const engine_crash> crashes, time_point now)
{
    std::vector<protocol::host_news> out;
    int count = max_segment_count;
    const auto add = [&](const engine_crash& crash) {
        if (count >= max_segment_count) {
            out.emplace_back();
            count = 0;
        }
        ++count;
        auto* const added = out.back().add_crashes();
        added->set_engine(crash.engine);
        added->set_age_ms(static_cast<std::uint32_t>(age_of(crash.at, now).count()));
        return added;
    };
    for (const auto& each : crashes) {
        auto* added = add(each);
        for (const auto segment : each.segments) {
            if (count >= max_segment_count) {
                added = add(each);
            }
            added->add_segments(segment);
            ++count;
        }
    }
    return out;
}

peer_address to_peer(const http::address& address)
{
    error_code error;
    const auto ip = asio::ip::make_address_v4(address.ip, error);
    return error ? peer_address{} : peer_address{ip.to_uint(), address.port};
}

} // namespace

peer_gossip::peer_gossip(host_state& host, peer_settings settings, page_handler on_page)
    : m_host{host},
      m_settings{std::move(settings)}, m_on_page{std::move(on_page)}, m_socket{host.context},
      m_own_number{host.random() | 1U}, m_batch{std::make_unique<protocol::host_news>()},
      m_directory{to_peer(m_settings.own), m_own_number, engine_number(host.availability_zone),
                  host.timers.now()},
      m_buffer(max_datagram_bytes, '\0')
{
}

peer_gossip::~peer_gossip() = default;

void peer_gossip::start()
{
    if (const auto error = bind()) {
        if (m_failed_binds++ == 0) {
            spdlog::warn(
                "peers_not_heard address={} error=\"{}\" effect=\"tried again every {} ms\"",
                http::to_string(m_settings.own), error.message(), bind_retry_interval.count());
        }
        m_bind_retry =
            m_host.timers.call_at(m_host.timers.now() + bind_retry_interval, [this] { start(); });
        return;
    }
    if (m_failed_binds > 0) {
        spdlog::info("peers_heard address={} failed_attempts={}", http::to_string(m_settings.own),
                     m_failed_binds);
    }
    m_host.gossip = this;
    m_host.crashes.set_gossip(this);
    m_host.origins.set_gossip(this);
    receive();
    greet();
}

error_code peer_gossip::bind()
{
    error_code error;
    const auto ip = asio::ip::make_address(m_settings.own.ip, error);
    if (!error) {
        m_socket.open(udp::v4(), error);
    }
    if (!error) {
        m_socket.bind({ip, m_settings.own.port}, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        error_code ignored;
        m_socket.close(ignored);
    }
    return error;
}

void peer_gossip::announce_work_start(std::uint64_t id, const engine_work& work)
{
    auto& begun = *m_batch->add_begun();
    begun.set_id(id);
    begun.set_engine(work.engine);
    begun.set_urgency(work.urgency);
    begun.set_beginning(work.prefix_digest);
    begun.set_taken_in(static_cast<std::uint32_t>(work.added_tokens));
    begun.set_reading(to_units(work.prefill_time));
    if (work.nominal_prefill_time != work.prefill_time) {
        begun.set_nominal(to_units(work.nominal_prefill_time));
    }
    schedule_flush();
}

void peer_gossip::announce_work_end(std::uint64_t id, bool is_prefill, double observed)
{
    m_batch->add_ended(id);
    m_batch->add_observed(static_cast<std::uint32_t>(
        std::clamp(std::round(observed * (is_prefill ? units_per_ratio : units_per_ms)), 0.0,
                   max_observed_units)));
    schedule_flush();
}

void peer_gossip::announce_stage_change(std::uint32_t engine, engine_stage to, milliseconds time,
                                        std::uint64_t token)
{
    auto& paused = *m_batch->add_paused();
    paused.set_engine(engine);
    paused.set_to_prefill(to == engine_stage::prefill);
    paused.set_time_ms(static_cast<std::uint32_t>(time.count()));
    paused.set_token(token);
    schedule_flush();
}

void peer_gossip::announce_limit(const limit_statement& said)
{
    protocol::host_news gossip;
    gossip.set_sender(m_own_number);
    auto& limit = *gossip.add_limits();
    limit.set_endpoint(said.endpoint);
    limit.set_incarnation(said.incarnation);
    limit.set_is_named(said.per_second.has_value());
    limit.set_per_second(said.per_second.value_or(0));
    const auto age =
        std::chrono::duration_cast<milliseconds>(m_host.timers.now() - said.request_sent_at);
    limit.set_asked_ms(static_cast<std::uint32_t>(age.count()));
    broadcast(gossip, m_directory.routes_for_heartbeat(++m_greetings));
}

void peer_gossip::announce_crashes(std::span<const engine_crash> crashes)
{
    for (auto& each : to_messages(crashes, m_host.timers.now())) {
        each.set_sender(m_own_number);
        broadcast(each, m_directory.routes_for_heartbeat(++m_greetings));
    }
}

void peer_gossip::announce_survivals(std::span<const segment_survival> survivals)
{
    const auto now = m_host.timers.now();
    for_each_part(survivals, max_segment_count, [&](std::span<const segment_survival> part) {
        protocol::host_news gossip;
        gossip.set_sender(m_own_number);
        for (const auto& each : part) {
            auto& added = *gossip.add_survivals();
            added.set_segment(each.segment);
            added.set_age_ms(static_cast<std::uint32_t>(age_of(each.at, now).count()));
        }
        broadcast(gossip, m_directory.routes_for_heartbeat(++m_greetings));
    });
}

void peer_gossip::announce_trials(std::span<const segment_id> segments)
{
    protocol::host_news gossip;
    gossip.set_sender(m_own_number);
    for (const auto each : segments) {
        gossip.add_tried_segments(each);
    }
    broadcast(gossip, m_directory.routes_for_heartbeat(++m_greetings));
}

void peer_gossip::announce_reachability()
{
    auto greeting = make_greeting();
    broadcast(greeting, m_directory.routes_for_heartbeat(++m_greetings));
}

std::vector<http::address> peer_gossip::relay_hosts() const
{
    auto hosts = m_directory.hosts_with_paths(m_host.timers.now());
    // Hosts of one zone share the load.
    std::vector<http::address> out;
    for (auto* group : {&hosts.own_zone, &hosts.other_zones}) {
        std::shuffle(group->begin(), group->end(), m_host.random);
        for (const auto& each : *group) {
            out.push_back({asio::ip::address_v4{each.ip}.to_string(), each.port});
        }
    }
    return out;
}

void peer_gossip::announce_streams(std::span<const begun_stream> streams)
{
    for_each_part(streams, max_stream_count, [&](std::span<const begun_stream> part) {
        protocol::host_news gossip;
        gossip.set_sender(m_own_number);
        for (const auto& each : part) {
            auto& added = *gossip.add_streams();
            added.set_stream(each.stream);
            added.set_origin(each.origin);
        }
        broadcast(gossip, m_directory.routes_for_heartbeat(++m_greetings));
    });
}

std::size_t peer_gossip::rank_among_known_hosts() const
{
    return m_directory.rank_among_known(m_host.timers.now());
}

std::optional<time_point> peer_gossip::heard_since() const
{
    const bool is_heard =
        m_last_message && m_host.timers.now() - *m_last_message <= max_message_pause;
    return is_heard ? std::optional{m_heard_since} : std::nullopt;
}

fleet_place peer_gossip::place_for(std::uint32_t endpoint, bool in_cell) const
{
    return m_directory.place_for(endpoint, in_cell, m_host.timers.now());
}

void peer_gossip::announce_page(const shared_page& page)
{
    // Parts of the page, each small enough for a datagram.
    std::vector<protocol::feed_news> parts(1);
    std::size_t bytes = 0;
    bool fits = true;
    for (const auto& each : page.entries) {
        const auto size = each.key.size() + each.value.value_or("").size();
        if (bytes > 0 && bytes + size > max_record_bytes) {
            parts.back().set_to(each.offset);
            parts.emplace_back().set_from(each.offset);
            bytes = 0;
        }
        bytes += size;
        fits = fits && size <= max_record_bytes && parts.size() <= max_part_count;
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
    if (page.record_before) {
        parts.front().set_record_before(*page.record_before);
    }
    const auto age = std::chrono::duration_cast<milliseconds>(m_host.timers.now() - page.read_at);
    const auto routes = m_directory.routes_for_heartbeat(++m_greetings);
    for (auto& each : parts) {
        protocol::host_news gossip;
        gossip.set_sender(m_own_number);
        each.set_feed(static_cast<std::uint32_t>(page.of));
        each.set_end(page.list_end);
        each.set_age_ms(static_cast<std::uint32_t>(age.count()));
        if (page.epoch) {
            each.set_epoch(*page.epoch);
        }
        if (page.last_record) {
            each.set_last_record(*page.last_record);
        }
        *gossip.mutable_feed() = std::move(each);
        broadcast(gossip, routes);
    }
}

void peer_gossip::handle_page(const protocol::host_news& gossip, time_point now)
{
    const auto& told = gossip.feed();
    shared_page page;
    page.of = static_cast<feed>(told.feed());
    page.from = told.from();
    page.to = told.to();
    page.list_end = told.end();
    page.read_at = now - milliseconds{told.age_ms()};
    page.epoch = told.has_epoch() ? std::optional{told.epoch()} : std::nullopt;
    page.record_before =
        told.has_record_before() ? std::optional{told.record_before()} : std::nullopt;
    page.last_record = told.has_last_record() ? std::optional{told.last_record()} : std::nullopt;
    for (const auto& each : told.records()) {
        page.entries.emplace_back(
            each.key(), each.dropped() ? std::nullopt : std::optional{each.value()}, each.offset());
    }
    m_on_page(page);
}

void peer_gossip::handle_ended_work(const protocol::host_news& gossip, time_point now)
{
    // Hosts of an older build send no observations.
    const bool has_observations = gossip.observed_size() == gossip.ended_size();
    for (int index = 0; index < gossip.ended_size(); ++index) {
        const auto ended = m_host.fleet.end(gossip.sender(), gossip.ended(index), now);
        if (ended && has_observations) {
            const double units = gossip.observed(index);
            m_host.engines.record_result(
                *ended, units / (ended->is_prefill ? units_per_ratio : units_per_ms), now);
        }
    }
}

void peer_gossip::handle_crashes(const protocol::host_news& gossip, time_point now)
{
    for (const auto& each : gossip.crashes()) {
        m_host.crashes.apply_announced_crash({each.engine(),
                                              now - milliseconds{each.age_ms()},
                                              {each.segments().begin(), each.segments().end()}});
    }
    for (const auto& each : gossip.survivals()) {
        m_host.crashes.apply_announced_survival(
            {each.segment(), now - milliseconds{each.age_ms()}});
    }
    for (const auto segment : gossip.tried_segments()) {
        m_host.crashes.apply_announced_trial(segment);
    }
}

void peer_gossip::schedule_flush()
{
    if (m_batch->begun_size() + m_batch->ended_size() >= max_announcement_count) {
        flush();
    }
    else if (!m_flush.is_set()) {
        m_flush =
            m_host.timers.call_at(m_host.timers.now() + max_batching_delay, [this] { flush(); });
    }
}

void peer_gossip::flush()
{
    m_flush.cancel();
    m_batch->set_sender(m_own_number);
    broadcast(*m_batch, m_directory.routes_for_work());
    m_batch->Clear();
}

void peer_gossip::greet()
{
    const auto now = m_host.timers.now();
    for (const auto gone : m_directory.forget_silent(now)) {
        m_host.fleet.forget(gone, now);
    }
    auto greeting = make_greeting();
    broadcast(greeting, m_directory.routes_for_heartbeat(++m_greetings));
    // Hosts that may not know all others yet receive the names of some.
    add_known_hosts(greeting);
    const auto bytes = greeting.SerializeAsString();
    auto to = m_directory.unconfirmed_hosts();
    to.resize(std::min(to.size(), max_greeted_strangers));
    const auto known = m_directory.random_hosts(greeted_known_count, m_host.random);
    to.insert(to.end(), known.begin(), known.end());
    for (const auto& ip : m_settings.seed_ips) {
        if (ip != m_settings.own.ip) {
            to.push_back(to_peer({ip, m_settings.own.port}));
        }
    }
    for (const auto& each : to) {
        send(bytes, each);
    }
    m_greeting = m_host.timers.call_at(now + greeting_interval, [this] { greet(); });
}

void peer_gossip::add_return(protocol::host_news& greeting) const
{
    const auto& history = m_host.store_history;
    if (history.epoch() || !history.known_since()) {
        return;
    }
    auto& returned = *greeting.mutable_returned();
    const auto age = age_of(*history.known_since(), m_host.timers.now());
    returned.set_age_ms(static_cast<std::uint32_t>(age.count()));
    returned.set_largest_token(m_host.orders.largest_token());
}

void peer_gossip::handle_return(const protocol::store_return& told, time_point now)
{
    if (m_host.store_history.epoch()) {
        return;
    }
    m_host.orders.record_largest_token(told.largest_token());
    if (m_host.store_history.record_return_elsewhere(now - milliseconds{told.age_ms()})) {
        // What this host knows of the lists is verified with their next reads.
        ++m_host.failed_list_calls;
        spdlog::info("store_return_heard age_ms={} largest_token={} generation={}", told.age_ms(),
                     told.largest_token(), m_host.store_history.generation());
    }
}

protocol::host_news peer_gossip::make_greeting() const
{
    protocol::host_news out;
    out.set_sender(m_own_number);
    out.set_zone(engine_number(m_host.availability_zone));
    const auto own = to_peer(m_settings.own);
    out.mutable_own()->set_ip(own.ip);
    out.mutable_own()->set_port(own.port);
    out.set_cut_off(m_host.paths.is_cut_off() || m_host.is_stopping());
    add_return(out);
    if (m_duty_news) {
        add_duty_news(out, m_duty_news());
    }
    return out;
}

void peer_gossip::add_known_hosts(protocol::host_news& greeting)
{
    for (const auto& each : m_directory.random_hosts(max_named_hosts, m_host.random)) {
        auto& other = *greeting.add_others();
        other.set_ip(each.ip);
        other.set_port(each.port);
    }
}

void peer_gossip::broadcast(protocol::host_news& gossip, const gossip_routes& routes)
{
    const auto bytes = gossip.SerializeAsString();
    for (const auto& each : routes.direct) {
        send(bytes, each);
    }
    if (routes.relays.empty()) {
        return;
    }
    gossip.set_pass_on(true);
    const auto to_pass_on = gossip.SerializeAsString();
    for (const auto& each : routes.relays) {
        send(to_pass_on, each);
    }
    gossip.clear_pass_on();
}

void peer_gossip::pass_on(protocol::host_news& gossip, const udp_address& from)
{
    gossip.clear_pass_on();
    const auto bytes = gossip.SerializeAsString();
    const peer_address source{from.address().to_v4().to_uint(), from.port()};
    const bool of_work = !gossip.has_own() && !gossip.has_feed() && gossip.limits().empty() &&
                         gossip.crashes().empty() && gossip.survivals().empty() &&
                         gossip.tried_segments().empty() && gossip.streams().empty();
    for (const auto& each : m_directory.zone_peers(of_work)) {
        if (each != source) {
            send(bytes, each);
        }
    }
}

void peer_gossip::send(const std::string& bytes, const peer_address& to)
{
    const udp_address address{asio::ip::address_v4{to.ip}, to.port};
    error_code error;
    m_socket.send_to(asio::buffer(bytes), address, 0, error);
    if (error && error != asio::error::would_block) {
        spdlog::debug("gossip_send_failed peer={} error=\"{}\"", address.address().to_string(),
                      error.message());
    }
}

void peer_gossip::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](error_code failure) {
        if (failure) {
            return;
        }
        error_code error;
        while (!error) {
            const auto count = m_socket.receive_from(asio::buffer(m_buffer), m_sender, 0, error);
            if (!error) {
                try {
                    handle_datagram(m_sender, std::string_view{m_buffer}.substr(0, count));
                }
                catch (const std::exception&) {
                    telemetry::log_exception("datagram");
                }
            }
        }
        receive();
    });
}

void peer_gossip::handle_datagram(const udp_address& from, std::string_view datagram)
{
    protocol::host_news gossip;
    if (!gossip.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())) ||
        gossip.sender() == 0 || gossip.sender() == m_own_number) {
        spdlog::debug("gossip_unreadable peer={}", from.address().to_string());
        return;
    }
    const auto now = m_host.timers.now();
    if (!m_last_message || now - *m_last_message > max_message_pause) {
        m_heard_since = now;
    }
    m_last_message = now;
    const auto sender = gossip.sender();
    if (gossip.has_own()) {
        const peer_address at{gossip.own().ip(), static_cast<std::uint16_t>(gossip.own().port())};
        bool first = !m_directory.knows(at);
        if (const auto replaced = m_directory.record_message(at, sender, gossip.zone(), now)) {
            m_host.fleet.forget(replaced, now);
            first = true;
        }
        m_directory.record_reachability(at, !gossip.cut_off());
        if (first) {
            // The reply lets a host that has just started find all others within two replies.
            auto answer = make_greeting();
            add_known_hosts(answer);
            send(answer.SerializeAsString(), at);
            for (auto& each : to_messages(m_host.crashes.known_crashes(), now)) {
                each.set_sender(m_own_number);
                send(each.SerializeAsString(), at);
            }
        }
    }
    if (gossip.has_returned()) {
        handle_return(gossip.returned(), now);
    }
    if (gossip.pass_on()) {
        pass_on(gossip, from);
    }
    if (gossip.has_feed()) {
        handle_page(gossip, now);
    }
    for (const auto& each : gossip.begun()) {
        engine_work work;
        work.engine = each.engine();
        work.urgency = each.urgency();
        work.prefill_time = from_units(each.reading());
        work.nominal_prefill_time =
            each.nominal() != 0 ? from_units(each.nominal()) : work.prefill_time;
        work.prefix_digest = each.beginning();
        work.added_tokens = each.taken_in();
        m_host.fleet.begin(sender, each.id(), work, now);
        m_host.engines.record_work(work, now);
    }
    handle_ended_work(gossip, now);
    for (const auto& each : gossip.paused()) {
        m_host.engines.begin_stage_change(
            each.engine(), each.to_prefill() ? engine_stage::prefill : engine_stage::decode,
            now + milliseconds{each.time_ms()});
        m_host.orders.record_sent_order(each.engine(), each.token(), now);
    }
    for (const auto& each : gossip.limits()) {
        if (!std::isfinite(each.per_second()) || each.per_second() < 0) {
            spdlog::debug("gossip_unreadable peer={}", from.address().to_string());
            continue;
        }
        m_host.apply_announced_limit(
            {each.endpoint(), each.incarnation(),
             each.is_named() ? std::optional{each.per_second()} : std::nullopt,
             now - milliseconds{each.asked_ms()}});
    }
    handle_crashes(gossip, now);
    handle_duty_news(sender, from, datagram);
    for (const auto& each : gossip.streams()) {
        m_host.origins.apply_announced({each.stream(), each.origin()});
    }
    for (const auto& each : gossip.others()) {
        m_directory.record_mention({each.ip(), static_cast<std::uint16_t>(each.port())}, now);
    }
}

} // namespace cicadaport::serving
