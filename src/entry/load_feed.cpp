#include "cicadaport/entry/load_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <peer.pb.h>
#include <spdlog/spdlog.h>

#include <charconv>

namespace cicadaport::entry {
namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr unsigned status_ok = 200;

std::uint64_t parse_block(const std::string& text)
{
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

load_feed::load_feed(asio::io_context& context, const base::published<routing::view>& view,
                     routing::load_table& loads, decision_state& decisions,
                     const relay::process_table& processes, std::string own_id)
    : m_context{context}, m_view{view}, m_loads{loads}, m_decisions{decisions},
      m_processes{processes}, m_own_id{std::move(own_id)}, m_client{context}
{
}

asio::awaitable<void> load_feed::run()
{
    asio::steady_timer timer{m_context};
    for (;;) {
        const auto now = clock::now();
        find_engines(now);
        take_peers(now);
        for (auto& [name, engine] : m_engines) {
            engine.history.note_own(now, routing::own_work(*engine.load));
            if (!std::exchange(engine.asking, true)) {
                asio::co_spawn(m_context, ask(name), asio::detached);
            }
        }
        publish(now);
        timer.expires_after(interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void load_feed::find_engines(time_point now)
{
    const base::rcu_reader guard;
    const auto& view = m_view.read(guard);
    std::erase_if(m_engines, [&](const auto& each) {
        return !each.second.asking && view.document().find_endpoint(each.first) == nullptr;
    });
    for (const auto& endpoint : view.document().endpoints) {
        if (endpoint.kind != configuration::endpoint_kind::engine) {
            continue;
        }
        auto& engine = m_engines[endpoint.name];
        engine.address = endpoint.address;
        engine.model = endpoint.serves;
        if (!engine.load) {
            engine.load = m_loads.get(endpoint.name);
            engine.role = routing::parse_role(endpoint.role);
            engine.answered_at = now;
        }
    }
}

asio::awaitable<void> load_feed::ask(std::string name)
{
    auto& engine = m_engines.at(name);
    try {
        auto load = co_await get(engine.address, "/v1/load");
        take_load(engine, load.body, clock::now());
        auto events = co_await get(engine.address,
                                   "/v1/cache_events?after=" + std::to_string(engine.last_event));
        take_events(engine, events.body);
    }
    catch (const http::exchange_error& error) {
        spdlog::debug("load_report_missing endpoint={} error=\"{}\"", name, error.what());
    }
    catch (const json::exception& error) {
        spdlog::warn("load_report_unreadable endpoint={} error=\"{}\"", name, error.what());
    }
    engine.asking = false;
}

asio::awaitable<http::response> load_feed::get(http::address from, std::string target)
{
    http::request message{"GET", std::move(target), {}, {}};
    http::exchange_options options;
    options.connect_time = interval;
    options.response_time = silent_after / 2;
    auto reply = co_await m_client.exchange(std::move(from), std::move(message), options);
    if (reply.status != status_ok) {
        throw http::exchange_error{base::verdict::ran, "status " + std::to_string(reply.status)};
    }
    co_return reply;
}

void load_feed::take_load(known_engine& from, const std::string& body, time_point now)
{
    const auto report = json::parse(body);
    const auto steps = report.at("steps").get<std::uint64_t>();
    const bool restarted = steps < from.steps;
    const bool changing = report.at("changing").get<bool>();
    if (restarted || changing) {
        m_decisions.prefixes.remove_all(from.load->index);
    }
    if (restarted) {
        from.last_event = 0;
    }
    from.steps = steps;
    from.answered_at = now;
    from.role = routing::parse_role(report.at("role").get_ref<const std::string&>());
    from.takes_work = !changing && report.at("model").get_ref<const std::string&>() == from.model;
    const milliseconds age{report.at("age_ms").get<std::int64_t>()};
    const routing::work_sum whole{
        report.at("waiting").get<double>() + report.at("running").get<double>(),
        report.at("prefill_tokens").get<double>(), report.at("decode_tokens").get<double>()};
    from.history.note_report(now - age, whole);
}

void load_feed::take_events(known_engine& from, const std::string& body)
{
    for (const auto& event : json::parse(body).at("events")) {
        const auto block = parse_block(event.at("block").get_ref<const std::string&>());
        if (event.at("stored").get<bool>()) {
            m_decisions.prefixes.store(block, from.load->index);
        }
        else {
            m_decisions.prefixes.remove(block, from.load->index);
        }
        from.last_event = std::max(from.last_event, event.at("sequence").get<std::uint64_t>());
    }
}

void load_feed::take_peers(time_point now)
{
    std::map<std::string, routing::work_sum> told;
    milliseconds oldest{0};
    std::size_t entries = 1;
    for (const auto& status : m_processes.list(now)) {
        if (status.kind() != "entry" || status.id() == m_own_id) {
            continue;
        }
        ++entries;
        oldest = std::max(oldest, milliseconds{status.age_ms()});
        for (const auto& work : status.work()) {
            told[work.endpoint()] +=
                {static_cast<double>(work.requests()), static_cast<double>(work.prefill_tokens()),
                 static_cast<double>(work.decode_tokens())};
        }
    }
    m_decisions.entry_processes.store(entries, std::memory_order_relaxed);
    for (const auto& [name, work] : told) {
        if (const auto found = m_engines.find(name); found != m_engines.end()) {
            found->second.history.note_told(now - oldest, work);
        }
    }
}

void load_feed::publish(time_point now)
{
    auto next = std::make_unique<routing::load_snapshot>();
    for (const auto& [name, engine] : m_engines) {
        const auto index = engine.load->index;
        if (next->endpoints.size() <= index) {
            next->endpoints.resize(index + 1);
        }
        const bool heard = now - engine.answered_at < silent_after;
        next->endpoints[index] = {engine.history.others(), engine.role, heard && engine.takes_work};
    }
    next->find_prefill_engines();
    m_decisions.loads.replace(std::move(next));
}

} // namespace cicadaport::entry
