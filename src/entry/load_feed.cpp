#include "cicadaport/entry/load_feed.h"

#include "cicadaport/entry/engine_subset.h"
#include "cicadaport/relay/work_limit.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <peer.pb.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <span>

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

bool load_feed::known_engine::is_usable(time_point now) const
{
    if (!used) {
        return true;
    }
    return in_service && takes_work && now - std::max(answered_at, used_since) < silence_timeout;
}

load_feed::load_feed(asio::io_context& context, const base::published<routing::view>& view,
                     routing::load_table& loads, decision_state& decisions,
                     const relay::process_table& processes, identity self,
                     unused_engines exclude_engines)
    : m_context{context}, m_view{view}, m_loads{loads}, m_decisions{decisions},
      m_processes{processes}, m_self{std::move(self)},
      m_exclude_engines{std::move(exclude_engines)}, m_client{context}
{
}

asio::awaitable<void> load_feed::run()
{
    asio::steady_timer timer{m_context};
    for (;;) {
        const auto now = clock::now();
        update_engines(now);
        update_in_service();
        choose_engines(now);
        apply_peer_work(now);
        for (auto& [name, engine] : m_engines) {
            if (engine.used) {
                engine.history.record_own_work(now, routing::own_work(*engine.load));
            }
        }
        poll_engines(now);
        poll_events(now);
        publish(now);
        timer.expires_after(poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void load_feed::update_engines(time_point now)
{
    {
        const base::rcu_reader guard;
        auto document = m_view.read(guard).document_pointer();
        if (document == m_document) {
            return;
        }
        m_document = std::move(document);
    }
    std::set<std::string_view> configured;
    for (const auto& endpoint : m_document->endpoints) {
        if (endpoint.kind != configuration::endpoint_kind::engine) {
            continue;
        }
        configured.insert(endpoint.name);
        auto& engine = m_engines[endpoint.name];
        engine.address = endpoint.address;
        engine.model = endpoint.serves;
        engine.availability_zone = endpoint.availability_zone;
        if (!engine.load) {
            engine.load = m_loads.get(endpoint.name);
            engine.role = routing::parse_role(endpoint.role);
            engine.answered_at = now;
        }
    }
    std::erase_if(m_engines, [&](const auto& each) {
        const auto& [name, engine] = each;
        return !engine.load_pending && !engine.events_pending && !configured.contains(name);
    });
    m_choice_inputs.clear();
}

// The view in force excludes endpoints that are drained, down or about to change.
void load_feed::update_in_service()
{
    const base::rcu_reader guard;
    const auto& view = m_view.read(guard);
    std::set<std::uint32_t> in_service;
    for (const auto& model : m_document->models) {
        for (const auto& each : view.candidates(model.name)) {
            in_service.insert(each.load->index);
        }
    }
    for (auto& [name, engine] : m_engines) {
        if (engine.used) {
            engine.in_service = in_service.contains(engine.load->index);
        }
    }
}

void load_feed::choose_engines(time_point now)
{
    std::vector<subset_candidate> among;
    std::vector<bool> state;
    among.reserve(m_engines.size());
    for (const auto& [name, engine] : m_engines) {
        const bool usable_now = engine.is_usable(now);
        const bool prefills = engine.role == routing::engine_role::prefill;
        state.push_back(usable_now);
        state.push_back(prefills);
        among.push_back({name, engine.model, engine.availability_zone, usable_now, prefills});
    }
    if (state == m_choice_inputs) {
        return;
    }
    m_choice_inputs = std::move(state);
    const auto chosen = choose_subset(among, m_self.id, m_self.availability_zone);
    std::vector<std::string> unused;
    std::size_t index = 0;
    bool changed = false;
    for (auto& [name, engine] : m_engines) {
        const bool use = std::ranges::binary_search(chosen, index++);
        if (use && !engine.used) {
            engine.used_since = now;
            engine.in_service = true;
        }
        changed = changed || use != engine.used;
        engine.used = use;
        if (!use) {
            unused.push_back(name);
        }
    }
    if (changed) {
        spdlog::info("engines_chosen used={} unused={}", chosen.size(), unused.size());
        publish(now);
        m_exclude_engines(std::move(unused));
    }
}

// Unresponsive engines and those out of service are polled in small numbers, or they
// would delay the reports of engines that take work.
void load_feed::poll_engines(time_point now)
{
    constexpr std::size_t max_unusable_polls = 2;
    poll_next(now, false, max_unusable_polls);
    poll_next(now, true, m_engines.size());
}

// Polls at most `max_count` engines, the least recently polled first.
void load_feed::poll_next(time_point now, bool usable, std::size_t max_count)
{
    std::vector<std::pair<time_point, std::string_view>> due;
    for (const auto& [name, engine] : m_engines) {
        if (engine.used && !engine.load_pending && engine.is_usable(now) == usable) {
            due.emplace_back(engine.polled_at, name);
        }
    }
    std::ranges::sort(due);
    for (const auto& [polled_at, name] : std::span{due}.first(std::min(max_count, due.size()))) {
        if (!m_report_budget.has_any(now)) {
            return;
        }
        m_report_budget.spend(report_bytes);
        auto& engine = m_engines.at(std::string{name});
        engine.polled_at = now;
        engine.load_pending = true;
        asio::co_spawn(m_context, fetch_load(std::string{name}), asio::detached);
    }
}

void load_feed::poll_events(time_point now)
{
    for (auto& [name, engine] : m_engines) {
        if (engine.used && engine.is_responsive(now) && !engine.events_pending &&
            engine.events.is_due() && m_event_budget.has_any(now)) {
            m_event_budget.spend(event_head_bytes);
            engine.events_pending = true;
            asio::co_spawn(m_context, fetch_events(name), asio::detached);
        }
    }
}

asio::awaitable<void> load_feed::fetch_load(std::string name)
{
    auto& engine = m_engines.at(name);
    try {
        const auto load = co_await get(engine.address, "/v1/load");
        apply_load(engine, load.body, clock::now());
    }
    catch (const http::exchange_error& error) {
        spdlog::debug("load_report_missing endpoint={} error=\"{}\"", name, error.what());
    }
    catch (const json::exception& error) {
        spdlog::warn("load_report_unreadable endpoint={} error=\"{}\"", name, error.what());
    }
    engine.load_pending = false;
}

asio::awaitable<void> load_feed::fetch_events(std::string name)
{
    auto& engine = m_engines.at(name);
    try {
        const auto after = engine.events.start_read(clock::now());
        const auto events =
            co_await get(engine.address, "/v1/cache_events?after=" + std::to_string(after));
        m_event_budget.spend(static_cast<double>(events.body.size()));
        apply_events(engine, events.body);
    }
    catch (const http::exchange_error& error) {
        spdlog::debug("cache_events_missing endpoint={} error=\"{}\"", name, error.what());
    }
    catch (const json::exception& error) {
        spdlog::warn("cache_events_unreadable endpoint={} error=\"{}\"", name, error.what());
    }
    engine.events_pending = false;
}

asio::awaitable<http::response> load_feed::get(http::address from, std::string target)
{
    http::request message{"GET", std::move(target), {}, {}};
    http::exchange_options options;
    options.connect_timeout = poll_interval;
    options.response_timeout = silence_timeout / 2;
    auto reply = co_await m_client.exchange(std::move(from), std::move(message), options);
    if (reply.status != status_ok) {
        throw http::exchange_error{base::verdict::ran, "status " + std::to_string(reply.status)};
    }
    co_return reply;
}

void load_feed::apply_load(known_engine& from, const std::string& body, time_point now)
{
    const auto report = json::parse(body);
    const auto steps = report.at("steps").get<std::uint64_t>();
    const bool restarted = steps < from.steps;
    const bool changing = report.at("changing").get<bool>();
    if (restarted || changing) {
        m_decisions.prefixes.remove_all(from.load->index);
    }
    if (restarted) {
        from.events.restart();
    }
    if (steps != from.steps) {
        from.events.record_work(now);
    }
    from.steps = steps;
    from.answered_at = now;
    from.role = routing::parse_role(report.at("role").get_ref<const std::string&>());
    from.takes_work = !changing && report.at("model").get_ref<const std::string&>() == from.model;
    const milliseconds age{report.at("age_ms").get<std::int64_t>()};
    const routing::work_sum whole{
        report.at("waiting").get<double>() + report.at("running").get<double>(),
        report.at("prefill_tokens").get<double>(), report.at("decode_tokens").get<double>()};
    from.history.record_report(now - age, whole);
}

void load_feed::apply_events(known_engine& from, const std::string& body)
{
    const auto parsed = json::parse(body);
    const auto& events = parsed.at("events");
    std::uint64_t newest = 0;
    for (const auto& event : events) {
        const auto block = parse_block(event.at("block").get_ref<const std::string&>());
        if (event.at("stored").get<bool>()) {
            m_decisions.prefixes.store(block, from.load->index);
        }
        else {
            m_decisions.prefixes.remove(block, from.load->index);
        }
        newest = std::max(newest, event.at("sequence").get<std::uint64_t>());
    }
    from.events.record_read(events.size(), newest);
}

void load_feed::apply_peer_work(time_point now)
{
    std::map<std::string, routing::work_sum> reported;
    milliseconds oldest{0};
    std::size_t entries = 1;
    bool left_out = false;
    for (const auto& status : m_processes.list(now)) {
        if (status.kind() != "entry" || status.id() == m_self.id) {
            continue;
        }
        ++entries;
        left_out = left_out || relay::is_work_left_out(status);
        oldest = std::max(oldest, milliseconds{status.age_ms()});
        for (const auto& work : status.work()) {
            reported[work.endpoint()] +=
                {static_cast<double>(work.requests()), static_cast<double>(work.prefill_tokens()),
                 static_cast<double>(work.decode_tokens())};
        }
    }
    m_decisions.entry_processes.store(entries, std::memory_order_relaxed);
    if (left_out) {
        // A partial sum would be taken for the whole and replace an older report.
        return;
    }
    for (const auto& [name, work] : reported) {
        if (const auto found = m_engines.find(name); found != m_engines.end()) {
            found->second.history.record_announced_work(now - oldest, work);
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
        const bool serving = engine.used && engine.is_responsive(now) && engine.takes_work;
        next->endpoints[index] = {engine.history.others(), engine.role, serving};
    }
    next->collect_prefill_engines();
    m_decisions.loads.replace(std::move(next));
}

} // namespace cicadaport::entry
