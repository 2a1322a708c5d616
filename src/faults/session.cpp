#include "internal/session.h"

#include "cicadaport/configuration/document.h"
#include "cicadaport/yaml/reader.h"

#include <boost/asio.hpp>
#include <platform.pb.h>

#include <algorithm>
#include <fstream>
#include <set>

namespace cicadaport::faults {
namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr milliseconds poll_time{30};
constexpr milliseconds log_wait{40};
constexpr milliseconds observation_time{500};
constexpr milliseconds start_time{20'000};
constexpr milliseconds operator_time{20'000};
constexpr milliseconds restart_pause{150};
// Time for a successor to take over after the last fault, to wait until no
// order of its predecessor can arrive, and to give another order.
constexpr milliseconds shortest_settling{3'500};
// Added to the bound, so that what comes late is seen to come.
constexpr milliseconds settling_slack{1'000};
constexpr char operator_key[] = "Bearer operator-key";
constexpr char edited_section[] = "models";
constexpr char edited_key[] = "expected_output_tokens: ";
// No edit makes the number that the document starts with.
constexpr std::uint32_t first_number = 1'000;

std::map<std::string, std::string> texts_of(const json& configuration)
{
    std::map<std::string, std::string> out;
    for (const auto& each : configuration.at("sections")) {
        out[each.at("name").get<std::string>()] = each.at("text").get<std::string>();
    }
    return out;
}

// Returns the section's text with another number in it.
std::string with_number(const std::string& text, std::uint32_t number)
{
    const auto at = text.find(edited_key) + sizeof edited_key - 1;
    const auto end = text.find('\n', at);
    return text.substr(0, at) + std::to_string(number) + text.substr(end);
}

edit_result result_of(const http::response& reply)
{
    if (reply.status == status_ok) {
        return edit_result::accepted;
    }
    const auto verdict = reply.fields.find("Cicadaport-Verdict");
    const bool surely_without_effect =
        reply.status == status_conflict || (verdict && *verdict == "not_run");
    return surely_without_effect ? edit_result::refused : edit_result::unknown;
}

json edit_body(const std::vector<section_change>& changes)
{
    auto sections = json::array();
    for (const auto& each : changes) {
        sections.push_back({{"name", each.section},
                            {"based_on_offset", each.based_on_offset},
                            {"text", each.text}});
    }
    return {{"author", "operator"}, {"sections", std::move(sections)}};
}

// Returns the offsets that were logged as in force since `position`, which it
// moves on.
std::vector<std::uint64_t> read_offsets(const std::string& file, std::streamoff& position)
{
    constexpr std::string_view event = "configuration_in_force offset=";
    std::vector<std::uint64_t> out;
    std::ifstream input{file};
    input.seekg(position);
    for (std::string line; std::getline(input, line) && !input.eof();) {
        position = input.tellg();
        const auto at = line.find(event);
        if (at != std::string::npos) {
            out.push_back(std::stoull(line.substr(at + event.size())));
        }
    }
    return out;
}

} // namespace

session::session(const schedule& what, const run_options& options, std::uint16_t base_port,
                 const std::string& folder)
    : m_schedule{what}, m_folder{folder}, m_fleet{what, options, base_port, folder},
      m_log_records{m_records}, m_client{m_context},
      m_log{m_context, m_fleet.deployment().find("log").address.value(), "system"}
{
}

run_records session::run()
{
    for (const auto& name : names("engine-")) {
        // scripts/make_deployment lets every other engine check, from the first on.
        const auto number = std::stoul(name.substr(name.find('-') + 1));
        m_records.engines.push_back({name, m_schedule.some_check_fencing && number % 2 == 1, {}});
    }
    spawn(carry_out());
    m_context.run();
    if (m_failure) {
        std::rethrow_exception(m_failure);
    }
    m_records.live = names("control-");
    const auto entries = names("entry-");
    m_records.live.insert(m_records.live.end(), entries.begin(), entries.end());
    return std::move(m_records);
}

void session::spawn(steps what)
{
    asio::co_spawn(m_context, std::move(what), [this](const std::exception_ptr& error) {
        if (error) {
            m_failure = error;
            m_context.stop();
        }
    });
}

milliseconds session::now() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_start);
}

std::vector<std::string> session::names(std::string_view prefix) const
{
    std::vector<std::string> out;
    for (const auto& each : m_fleet.deployment().processes) {
        if (each.name.starts_with(prefix)) {
            out.push_back(each.name);
        }
    }
    return out;
}

http::address session::admin_of(const std::string& process) const
{
    return m_fleet.deployment().find(process).admin.value();
}

http::address session::address_of(const std::string& process) const
{
    return m_fleet.deployment().find(process).address.value();
}

asio::awaitable<void> session::sleep(milliseconds time)
{
    asio::steady_timer timer{m_context, time};
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> session::sleep_until(milliseconds at)
{
    co_await sleep(std::max(milliseconds{0}, m_serving_from + at - now()));
}

asio::awaitable<http::response> session::send(http::address to, std::string method,
                                              std::string target, std::string body,
                                              milliseconds limit)
{
    http::request message{std::move(method), std::move(target), {}, std::move(body)};
    message.fields.add("Authorization", operator_key);
    message.fields.add("Content-Type", "application/json");
    http::exchange_options options;
    options.connect_timeout = std::min(options.connect_timeout, limit);
    options.response_timeout = limit;
    options.fresh_connection = message.method != "GET";
    http::response out;
    out.status = 0;
    try {
        out = co_await m_client.exchange(to, std::move(message), options);
    }
    catch (const http::exchange_error&) {
        out.status = 0;
    }
    co_return out;
}

asio::awaitable<void> session::carry_out()
{
    spawn(watch_log());
    spawn(supervise());
    for (const auto& name : names("engine-")) {
        spawn(watch_engine(name));
    }
    for (const auto& name : names("control-")) {
        spawn(watch_control(name));
    }
    for (const auto& name : names("entry-")) {
        spawn(watch_entry(name));
    }
    co_await serve();
    m_serving_from = now();
    m_running_faults = static_cast<std::uint32_t>(m_schedule.faults.size());
    for (const auto& each : m_schedule.faults) {
        spawn(apply(each));
    }
    for (const auto& each : m_schedule.edits) {
        spawn(edit(each));
    }
    for (const auto& each : m_schedule.wishes) {
        spawn(wish(each));
    }
    co_await wait_until_settled();
    m_context.stop();
}

asio::awaitable<void> session::serve()
{
    co_await publish_document();
    while (!has_all_in_force()) {
        if (now() > start_time) {
            throw std::runtime_error{"the deployment does not come to serve"};
        }
        co_await sleep(poll_time);
    }
}

asio::awaitable<void> session::publish_document()
{
    const auto file = m_folder + "/configuration.yaml";
    std::vector<section_change> changes;
    for (const auto& each : configuration::split_sections(yaml::read_file(file), file)) {
        changes.push_back({each.name, 0, each.text});
    }
    const auto body = edit_body(changes).dump();
    for (;;) {
        const auto reply = co_await send(admin_of("control-1"), "POST", "/v1/admin/configuration",
                                         body, operator_time);
        // A refusal means that an earlier try took effect.
        if (reply.status == status_ok || reply.status == status_conflict) {
            co_return;
        }
        if (now() > start_time) {
            throw std::runtime_error{"the document can't be published"};
        }
        co_await sleep(poll_time);
    }
}

bool session::has_all_in_force() const
{
    if (m_records.edits.empty()) {
        return false;
    }
    const auto wanted = m_records.edits.back().offset;
    return std::ranges::all_of(m_fleet.deployment().processes, [&](const auto& each) {
        if (!each.admin) {
            return true;
        }
        const auto found = m_last_shown.find(each.name);
        return found != m_last_shown.end() && found->second.offset >= wanted;
    });
}

// Waits for the end of the last fault, then until all have the last edit in
// force or the bound for it is over.
asio::awaitable<void> session::wait_until_settled()
{
    while (m_running_faults > 0) {
        co_await sleep(poll_time);
    }
    m_records.faults_ended = now();
    const auto earliest = m_records.faults_ended + shortest_settling;
    for (;;) {
        for (const auto& name : names("control-")) {
            m_fleet.wake(name);
        }
        const auto last_edit = m_records.edits.back().when.not_after;
        const auto latest =
            std::max(m_records.faults_ended, last_edit) + longest_lag + settling_slack;
        if (now() > latest || (now() > earliest && has_all_in_force())) {
            co_return;
        }
        co_await sleep(poll_time);
    }
}

asio::awaitable<void> session::set_log_fault(std::string parameters)
{
    const auto target = "/v1/faults?" + parameters;
    for (int tries = 0; tries < 3; ++tries) {
        const auto reply =
            co_await send(address_of("log"), "POST", target, std::string{}, observation_time);
        if (reply.status == status_ok) {
            co_return;
        }
    }
    throw std::runtime_error{"the log does not take its faults"};
}

asio::awaitable<void> session::apply(fault what)
{
    co_await sleep_until(what.at);
    if (what.target == lease_holder) {
        what.target = current_holder();
    }
    m_records.begun.push_back({std::string{to_string(what.kind)}, what.target, now()});
    co_await begin(what);
    co_await sleep_until(what.at + what.lasts);
    co_await end(what);
    --m_running_faults;
}

// Holders are named after their process and its run: control-1#4f.
std::string session::current_holder() const
{
    if (m_records.leases.empty()) {
        return control_name(1);
    }
    const auto& holder = m_records.leases.back().holder;
    return holder.substr(0, holder.find('#'));
}

asio::awaitable<void> session::begin(const fault& what)
{
    switch (what.kind) {
    case fault_kind::kill:
        m_fleet.kill(what.target);
        break;
    case fault_kind::freeze:
        m_fleet.freeze(what.target);
        break;
    case fault_kind::freeze_at_step:
        break;
    case fault_kind::cut_from_log:
        m_fleet.set_cut_from_log(what.target, true);
        break;
    case fault_kind::cut_from_peers:
        m_fleet.set_cut_from_peers(what.target, true);
        break;
    case fault_kind::log_outage:
        ++m_log_faults[what.kind];
        co_await set_log_fault("outage=true");
        break;
    case fault_kind::lost_answers:
        ++m_log_faults[what.kind];
        co_await set_log_fault("lose_answers=" + std::to_string(what.degree / 100.0));
        break;
    case fault_kind::slow_log:
        ++m_log_faults[what.kind];
        co_await set_log_fault("delay_ms=" + std::to_string(what.degree));
        break;
    case fault_kind::engine_crash: {
        const std::string target = "/v1/faults?crash_in_change=true";
        co_await send(address_of(what.target), "POST", target, std::string{}, observation_time);
        break;
    }
    case fault_kind::lost_order_answers: {
        const auto target = "/v1/faults?lose_order_answers=" + std::to_string(what.degree);
        co_await send(address_of(what.target), "POST", target, std::string{}, observation_time);
        break;
    }
    }
}

asio::awaitable<void> session::end(const fault& what)
{
    switch (what.kind) {
    case fault_kind::kill:
        m_fleet.allow_restart(what.target);
        break;
    case fault_kind::freeze:
        m_fleet.thaw(what.target);
        break;
    case fault_kind::freeze_at_step:
        m_fleet.wake(what.target);
        break;
    case fault_kind::cut_from_log:
        m_fleet.set_cut_from_log(what.target, false);
        break;
    case fault_kind::cut_from_peers:
        m_fleet.set_cut_from_peers(what.target, false);
        break;
    case fault_kind::log_outage:
        if (--m_log_faults[what.kind] == 0) {
            co_await set_log_fault("outage=false");
        }
        break;
    case fault_kind::lost_answers:
        if (--m_log_faults[what.kind] == 0) {
            co_await set_log_fault("lose_answers=0");
        }
        break;
    case fault_kind::slow_log:
        if (--m_log_faults[what.kind] == 0) {
            co_await set_log_fault("delay_ms=0");
        }
        break;
    case fault_kind::engine_crash: {
        const std::string target = "/v1/faults?crash_in_change=false";
        co_await send(address_of(what.target), "POST", target, std::string{}, observation_time);
        break;
    }
    case fault_kind::lost_order_answers: {
        const std::string target = "/v1/faults?lose_order_answers=0";
        co_await send(address_of(what.target), "POST", target, std::string{}, observation_time);
        break;
    }
    }
}

asio::awaitable<void> session::edit(planned_edit what)
{
    co_await sleep_until(what.at);
    for (const auto& process : what.through) {
        spawn(edit_through(process, first_number + m_next_edit++));
    }
}

// Reads the section and changes it, as an operator does who sees what is shown.
asio::awaitable<void> session::edit_through(std::string process, std::uint32_t number)
{
    const auto shown = co_await send(admin_of(process), "GET", "/v1/admin/configuration",
                                     std::string{}, observation_time);
    if (shown.status != status_ok) {
        co_return;
    }
    section_change change;
    const auto configuration = json::parse(shown.body);
    for (const auto& each : configuration.at("sections")) {
        if (each.at("name") == edited_section) {
            change = {edited_section, each.at("offset").get<std::uint64_t>(),
                      with_number(each.at("text").get<std::string>(), number)};
        }
    }
    if (change.section.empty()) {
        co_return;
    }
    const auto index = m_records.operators.size();
    m_records.operators.push_back({change.section, change.text, edit_result::unknown, 0});
    const auto body = edit_body({change}).dump();
    const auto reply =
        co_await send(admin_of(process), "POST", "/v1/admin/configuration", body, operator_time);
    auto& sent = m_records.operators[index];
    sent.result = result_of(reply);
    if (sent.result == edit_result::accepted) {
        sent.offset = json::parse(reply.body).at("offset").get<std::uint64_t>();
    }
}

asio::awaitable<void> session::wish(planned_wish what)
{
    co_await sleep_until(what.at);
    if (what.through == other_than_lease_holder) {
        const auto first = control_name(1);
        what.through = current_holder() == first ? control_name(2) : first;
    }
    co_await send(admin_of(what.through), "POST",
                  "/v1/admin/endpoints/" + what.engine + "/role?role=" + what.role, std::string{},
                  operator_time);
}

asio::awaitable<void> session::watch_log()
{
    time_bounds when;
    for (;;) {
        const auto asked = now();
        bool failed = false;
        protocol::read_reply reply;
        try {
            reply = co_await m_log.read(m_log_records.offset(), log_wait);
        }
        catch (const shared_log::log_error&) {
            failed = true;
        }
        if (failed) {
            co_await sleep(poll_time);
            continue;
        }
        when.not_after = now();
        for (const auto& each : reply.entries()) {
            m_log_records.take(each.offset(), each.payload(), when);
        }
        // What this read did not bring was not there when it was asked for.
        when.not_before = asked;
    }
}

void session::note_shown(const std::string& process, std::uint64_t offset,
                         std::optional<std::map<std::string, std::string>> sections)
{
    auto& last = m_last_shown[process];
    if (last.offset != offset || last.sections != sections) {
        last = {process, now(), offset, std::move(sections)};
        m_records.shown.push_back(last);
    }
}

asio::awaitable<void> session::watch_control(std::string name)
{
    for (;;) {
        const auto reply = co_await send(admin_of(name), "GET", "/v1/admin/configuration",
                                         std::string{}, observation_time);
        if (reply.status == status_ok) {
            const auto body = json::parse(reply.body);
            note_shown(name, body.at("offset").get<std::uint64_t>(), texts_of(body));
        }
        co_await sleep(poll_time);
    }
}

// An entry process shows no more than the offset, in what it logs.
asio::awaitable<void> session::watch_entry(std::string name)
{
    std::streamoff position = 0;
    for (;;) {
        for (const auto offset : read_offsets(m_fleet.output_of(name), position)) {
            note_shown(name, offset, std::nullopt);
        }
        co_await sleep(poll_time);
    }
}

void session::note_orders(engine_record& record, const json& body, std::size_t known,
                          time_bounds when)
{
    const auto& orders = body.at("orders");
    for (auto i = known; i < orders.size(); ++i) {
        const auto& each = orders[i];
        record.orders.push_back(
            {each.at("order_id").get<std::string>(), each.at("fencing_number").get<std::uint64_t>(),
             each.at("accepted").get<bool>(), each.at("conflicting").get<bool>(), when});
    }
}

asio::awaitable<void> session::watch_engine(std::string name)
{
    const auto index = std::stoul(name.substr(name.find('-') + 1)) - 1;
    std::uint32_t life = 0;
    std::size_t known = 0;
    time_bounds when;
    for (;;) {
        const auto asked = now();
        const auto asked_life = m_fleet.life(name);
        const auto reply =
            co_await send(address_of(name), "GET", "/v1/orders", std::string{}, observation_time);
        // An answer from across a restart is not to be told from which life.
        if (reply.status == status_ok && asked_life == m_fleet.life(name)) {
            known = life == asked_life ? known : 0;
            life = asked_life;
            const auto body = json::parse(reply.body);
            when.not_after = now();
            note_orders(m_records.engines.at(index), body, known, when);
            known = body.at("orders").size();
            when.not_before = asked;
        }
        co_await sleep(poll_time);
    }
}

asio::awaitable<void> session::supervise()
{
    for (;;) {
        m_fleet.restart_ended();
        co_await sleep(restart_pause);
    }
}

} // namespace cicadaport::faults
