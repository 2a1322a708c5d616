#include "internal/session.h"

#include "cicadaport/configuration/document.h"
#include "cicadaport/yaml/reader.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

namespace cicadaport::scenario {
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds poll_time{50};
constexpr milliseconds shortest_time{1};
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;
constexpr std::string_view operator_key = "operator-key";
constexpr std::string_view balancer = "balancer";
// A process that was silent for longer is not counted as running.
constexpr unsigned live_age_ms = 5'000;

[[noreturn]] void fail(const std::string& what)
{
    throw expectation_failed{what};
}

std::string describe(const answer& got)
{
    constexpr std::size_t most_shown = 300;
    return "status " + std::to_string(got.status) + ", verdict '" + got.verdict + "'" +
           (got.cut.empty() ? "" : ", cut: " + got.cut) + ", body '" +
           got.body.substr(0, most_shown) + "'";
}

publication_result result_of(const answer& got)
{
    if (got.status == status_ok) {
        return publication_result::accepted;
    }
    if (got.status == status_conflict) {
        return publication_result::refused;
    }
    if (got.status == status_unavailable) {
        return publication_result::unavailable;
    }
    fail(describe(got));
}

bool is_listed(const std::vector<std::string>& names, const std::string& name)
{
    return std::ranges::find(names, name) != names.end();
}

// Returns the section's element in a reading of the configuration.
const json& section_in(const json& reading, const std::string& name)
{
    for (const auto& each : reading.at("sections")) {
        if (each.at("name") == name) {
            return each;
        }
    }
    fail("the configuration has no section '" + name + "'");
}

http::request request_of(const call& what, std::uint32_t turn)
{
    http::request out{what.method, what.path, {}, what.body};
    out.fields.add("Authorization", "Bearer " + what.key);
    out.fields.add("Content-Type", "application/json");
    out.fields.add("X-Request-Id", what.name + "-" + std::to_string(turn));
    if (!what.idempotency_key.empty()) {
        out.fields.add("Idempotency-Key", what.idempotency_key);
    }
    return out;
}

int signal_number(process_signal signal)
{
    switch (signal) {
    case process_signal::terminate:
        return SIGTERM;
    case process_signal::freeze:
        return SIGSTOP;
    case process_signal::thaw:
        return SIGCONT;
    case process_signal::kill:
        break;
    }
    return SIGKILL;
}

} // namespace

session::session(const script& what, const run_options& options) : m_fleet{what, options} {}

void session::execute(const step& what)
{
    m_until = clock::now() + what.limit;
    std::visit([this](const auto& each) { perform(each); }, what.what);
}

std::string session::keep_folder()
{
    m_fleet.folder().keep();
    return m_fleet.folder().path();
}

milliseconds session::time_left() const
{
    const auto left = std::chrono::duration_cast<milliseconds>(m_until - clock::now());
    return std::max(left, shortest_time);
}

void session::pause() const
{
    if (clock::now() >= m_until) {
        fail("the step's time is over");
    }
    std::this_thread::sleep_for(poll_time);
}

answer session::ask(const http::address& to, std::string method, std::string path)
{
    return m_caller.exchange(to, {std::move(method), std::move(path), {}, {}}, time_left());
}

answer session::administer(const std::string& through, std::string method, const std::string& path,
                           std::string body)
{
    http::request message{std::move(method), "/v1/admin/" + path, {}, std::move(body)};
    message.fields.add("Authorization", "Bearer " + std::string{operator_key});
    message.fields.add("Content-Type", "application/json");
    const auto& process = m_fleet.deployment().find(through);
    return m_caller.exchange(process.admin.value(), std::move(message), time_left());
}

json session::read_json(const http::address& from, const std::string& path)
{
    const auto got = ask(from, "GET", path);
    if (got.status != status_ok || !got.cut.empty()) {
        fail(describe(got));
    }
    return json::parse(got.body);
}

void session::perform(const start_processes& what)
{
    for (const auto& each : m_fleet.deployment().processes) {
        if (what.processes.empty() || is_listed(what.processes, each.name)) {
            m_fleet.start(each.name);
        }
    }
}

void session::perform(const serve&)
{
    perform(start_processes{});
    std::vector<std::string> stand_ins_and_controls;
    std::vector<std::string> entries;
    for (const auto& each : m_fleet.deployment().processes) {
        const bool is_entry = each.admin && each.address;
        (is_entry ? entries : stand_ins_and_controls).push_back(each.name);
    }
    perform(wait_until_ready{stand_ins_and_controls});
    perform(publish{"control-1", "operator", {}, {}, {}, {}, publication_result::accepted, {}});
    perform(wait_until_ready{entries});
    perform(wait_until_in_force{"control-1", {}});
}

bool session::is_ready(const process_entry& process)
{
    if (process.admin) {
        return ask(*process.admin, "GET", "/readyz").status == status_ok;
    }
    return ask(process.address.value(), "GET", "/v1/load").status != 0;
}

void session::perform(const wait_until_ready& what)
{
    for (const auto& name : what.processes) {
        const auto& process = m_fleet.deployment().find(name);
        while (!is_ready(process)) {
            m_fleet.restart_if_port_was_taken(name);
            pause();
        }
    }
}

void session::check_never_lower(const sighting& where, std::uint64_t offset)
{
    auto& highest = m_highest_shown[where];
    // A process that has just started has nothing in force and says so.
    if (offset > 0 && offset < highest) {
        fail(where.process + " went back from configuration offset " + std::to_string(highest) +
             " to " + std::to_string(offset));
    }
    highest = std::max(highest, offset);
}

// Returns the names of the processes that don't show the newest configuration.
std::string session::lagging(const wait_until_in_force& what)
{
    const auto got = administer(what.through, "GET", "processes");
    if (got.status != status_ok) {
        return describe(got);
    }
    std::string out;
    std::set<std::string> current;
    const auto body = json::parse(got.body);
    for (const auto& each : body.at("processes")) {
        const auto id = each.at("id").get<std::string>();
        const auto offset = each.at("configuration_offset").get<std::uint64_t>();
        check_never_lower({what.through, id}, offset);
        if (offset >= m_published) {
            current.insert(id);
        }
        else if (each.at("age_ms").get<unsigned>() < live_age_ms && !is_listed(what.except, id)) {
            out += " " + id;
        }
    }
    for (const auto& each : m_fleet.deployment().processes) {
        const bool is_entry = each.admin && each.address;
        if (is_entry && m_fleet.is_running(each.name) && !is_listed(what.except, each.name) &&
            !current.contains(each.name)) {
            out += " " + each.name;
        }
    }
    return out;
}

void session::perform(const wait_until_in_force& what)
{
    for (auto late = lagging(what); !late.empty(); late = lagging(what)) {
        if (time_left() <= shortest_time) {
            fail("offset " + std::to_string(m_published) + " is not in force at:" + late);
        }
        pause();
    }
}

// Returns the edit that brings the published document to the deployment's file.
json session::document_edit(const json& present)
{
    const auto file = m_fleet.folder().path() + "/configuration.yaml";
    auto out = json::array();
    for (const auto& section : configuration::split_sections(yaml::read_file(file), file)) {
        std::uint64_t offset = 0;
        for (const auto& known : present.at("sections")) {
            if (known.at("name") == section.name) {
                offset = known.at("offset").get<std::uint64_t>();
            }
        }
        out.push_back(
            {{"name", section.name}, {"based_on_offset", offset}, {"text", section.text}});
    }
    return out;
}

json session::edit_of(const publish& what)
{
    json present;
    if (what.based_on.empty()) {
        const auto got = administer(what.through, "GET", "configuration");
        if (got.status != status_ok) {
            fail(describe(got));
        }
        present = json::parse(got.body);
    }
    else {
        present = m_readings.at(what.based_on);
    }
    if (what.section.empty()) {
        return document_edit(present);
    }
    const auto& section = section_in(present, what.section);
    auto text = section.at("text").get<std::string>();
    const auto place = text.find(what.find);
    if (place == std::string::npos) {
        fail("section '" + what.section + "' has no '" + what.find + "'");
    }
    text.replace(place, what.find.size(), what.replace);
    return json::array({{{"name", what.section},
                         {"based_on_offset", section.at("offset")},
                         {"text", std::move(text)}}});
}

void session::perform(const publish& what)
{
    const json body{{"author", what.author}, {"sections", edit_of(what)}};
    const auto got = administer(what.through, "POST", "configuration", body.dump());
    if (result_of(got) != what.result) {
        fail(describe(got));
    }
    if (what.verdict && got.verdict != base::to_string(*what.verdict)) {
        fail(describe(got));
    }
    if (what.result == publication_result::accepted) {
        m_published =
            std::max(m_published, json::parse(got.body).at("offset").get<std::uint64_t>());
    }
}

void session::perform(const read_configuration& what)
{
    const auto got = administer(what.through, "GET", "configuration");
    if (got.status != status_ok) {
        fail(describe(got));
    }
    m_readings[what.name] = json::parse(got.body);
}

// Returns where a request goes: one process, or all entry processes from the
// one whose turn it is.
std::vector<target> session::targets_of(const std::string& through, std::uint32_t turn)
{
    std::vector<target> out;
    if (through != balancer) {
        const auto& process = m_fleet.deployment().find(through);
        const auto address = process.address.value();
        out.push_back({address, process.admin.value_or(address)});
        return out;
    }
    for (const auto& each : m_fleet.deployment().processes) {
        if (each.admin && each.address) {
            out.push_back({*each.address, *each.admin});
        }
    }
    const auto first = static_cast<std::ptrdiff_t>(turn % out.size());
    std::rotate(out.begin(), out.begin() + first, out.end());
    return out;
}

void session::perform(const call& what)
{
    constexpr double ms_per_second = 1'000;
    auto& pending = m_calls[what.name];
    pending.tokens = what.tokens;
    pending.streamed = what.streamed;
    for (std::uint32_t turn = 0; turn < what.count; ++turn) {
        planned_call planned;
        planned.targets = targets_of(what.through, turn);
        planned.message = request_of(what, turn);
        planned.timeout = what.timeout;
        if (what.per_second > 0) {
            planned.delay =
                milliseconds{static_cast<std::int64_t>(turn * ms_per_second / what.per_second)};
        }
        pending.answers.push_back(m_caller.send(std::move(planned)));
    }
}

void session::perform(const expect_answers& what)
{
    const auto found = m_calls.find(what.name);
    if (found == m_calls.end()) {
        fail("no call '" + what.name + "' was sent");
    }
    auto& pending = found->second;
    std::size_t turn = 0;
    for (auto& each : pending.answers) {
        const auto label = what.name + "-" + std::to_string(turn++) + ": ";
        if (each.wait_until(m_until) != std::future_status::ready) {
            fail(label + "no answer in time");
        }
        const auto got = each.get();
        if (what.status && got.status != *what.status) {
            fail(label + describe(got));
        }
        const auto verdict = verdict_of(got, pending.tokens, pending.streamed);
        if (what.verdict && verdict != base::to_string(*what.verdict)) {
            fail(label + describe(got));
        }
        if (what.incomplete && missing_from(got, pending.tokens, pending.streamed).empty()) {
            fail(label + "looks whole; " + describe(got));
        }
        const auto missing =
            what.whole ? missing_from(got, pending.tokens, pending.streamed) : std::string{};
        if (!missing.empty()) {
            fail(label + missing + "; " + describe(got));
        }
    }
    m_calls.erase(found);
}

void session::perform(const send_signal& what)
{
    auto& child = m_fleet.child(what.process);
    if (child.poll()) {
        fail(what.process + " has ended already");
    }
    child.signal(signal_number(what.signal));
    if (what.signal == process_signal::kill && !child.wait(time_left())) {
        fail(what.process + " did not end");
    }
}

void session::perform(const restart& what)
{
    m_fleet.start(what.process);
}

void session::perform(const wait_until_exit& what)
{
    const auto status = m_fleet.child(what.process).wait(time_left());
    if (!status) {
        fail(what.process + " has not ended");
    }
    if (what.clean && *status != 0) {
        fail(what.process + " ended with wait status " + std::to_string(*status));
    }
}

void session::perform(const set_faults& what)
{
    const auto& process = m_fleet.deployment().find(what.process);
    const auto got = ask(process.address.value(), "POST", "/v1/faults?" + what.parameters);
    if (got.status != status_ok) {
        fail(describe(got));
    }
}

void session::perform(const change_link& what)
{
    m_fleet.set_cut(what.process, what.cut);
}

void session::perform(const sleep_for& what)
{
    std::this_thread::sleep_for(what.time);
}

json session::runs_of(const std::string& service)
{
    auto out = json::array();
    for (const auto& each : m_fleet.deployment().processes) {
        if (each.name.starts_with(service + "-") && m_fleet.is_running(each.name)) {
            auto body = read_json(each.address.value(), "/v1/runs");
            for (auto& run : body.at("runs")) {
                out.push_back(std::move(run));
            }
        }
    }
    return out;
}

void session::perform(const expect_runs& what)
{
    std::size_t count = 0;
    std::set<std::string> ids;
    const auto runs = runs_of(what.service);
    for (const auto& run : runs) {
        const bool counted =
            what.idempotency_key.empty()
                ? what.path.empty() || run.at("path").get<std::string>() == what.path
                : run.at("key").get<std::string>() == what.idempotency_key;
        count += counted ? 1 : 0;
        const auto key = run.at("key").get<std::string>();
        const auto id =
            key.empty() ? "request " + run.at("request_id").get<std::string>() : "key " + key;
        if (what.unique && counted && !ids.insert(id).second) {
            fail(id + " ran more than once");
        }
    }
    if (count < what.least || count > what.most) {
        fail(std::to_string(count) + " runs");
    }
}

// Returns how many engines have each role; nothing while one is changing.
std::optional<wait_for_roles> session::count_roles()
{
    wait_for_roles out;
    for (const auto& each : m_fleet.deployment().processes) {
        if (!each.name.starts_with("engine-") || !m_fleet.is_running(each.name)) {
            continue;
        }
        const auto body = read_json(each.address.value(), "/v1/orders");
        if (body.at("changing").get<bool>()) {
            return std::nullopt;
        }
        const auto role = body.at("role").get<std::string>();
        ++(role == "prefill" ? out.prefill : role == "decode" ? out.decode : out.mixed);
    }
    return out;
}

void session::perform(const wait_for_roles& what)
{
    while (count_roles() != what) {
        pause();
    }
}

void session::perform(const expect_no_conflicting_orders&)
{
    for (const auto& each : m_fleet.deployment().processes) {
        if (!each.name.starts_with("engine-") || !m_fleet.is_running(each.name)) {
            continue;
        }
        const auto body = read_json(each.address.value(), "/v1/orders");
        for (const auto& order : body.at("orders")) {
            if (order.at("conflicting").get<bool>()) {
                fail(each.name + " was given a conflicting order: " + order.dump());
            }
        }
    }
}

void session::perform(const change_drain& what)
{
    const auto path = "endpoints/" + what.endpoint + (what.drain ? "/drain" : "/undrain");
    const auto got = administer(what.through, "POST", path);
    if (got.status != status_ok) {
        fail(describe(got));
    }
}

// Returns how many requests an endpoint has started since it was started.
std::uint64_t session::work_of(const std::string& process)
{
    const auto address = m_fleet.deployment().find(process).address.value();
    if (process.starts_with("engine-")) {
        const auto load = read_json(address, "/v1/load");
        return load.at("finished").get<std::uint64_t>() + load.at("running").get<std::uint64_t>() +
               load.at("waiting").get<std::uint64_t>();
    }
    return read_json(address, "/v1/runs").at("runs").size();
}

void session::perform(const count_work& what)
{
    m_counts[what.name] = work_of(what.process);
}

void session::perform(const expect_no_work_since& what)
{
    const auto before = m_counts.at(what.name);
    const auto now = work_of(what.process);
    if (now != before) {
        fail(what.process + " started " + std::to_string(now - before) + " requests");
    }
}

} // namespace cicadaport::scenario
