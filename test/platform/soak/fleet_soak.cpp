#include "platform/soak/fleet_soak.h"

#include <set>

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

constexpr auto tick = 10ms;
constexpr auto request_interval = 40ms;
constexpr auto report_interval = 1'200ms;
constexpr auto longest_start = 10s;
constexpr std::size_t plain_replicas = 3;
// Callers of each host that keep their connections and send requests that take long.
constexpr std::uint64_t timed_callers = 6;
// A host that was stopped is started again after this time.
constexpr auto pause_after_stop = 500ms;
constexpr std::array services{"s", "t", "w", "g"};
constexpr int engine_count = 8;
constexpr auto prompt_interval = 15ms;
// Fraction of the prompts that have the segment on which engines crash.
constexpr double deadly_share = 0.03;
// A host that has shown a version's effect must still show it after this time.
constexpr auto rollback_slack = 250ms;

std::string request_for(const std::string& path, const std::string& id)
{
    return fmt::format("GET /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
                       "Deadline-Ms: 1500\r\n\r\n",
                       path, id);
}

} // namespace

fleet_soak::fleet_soak(soak_options options)
    : m_options{std::move(options)}, m_random{m_options.seed}, m_timed{m_options.bounds.contact}
{
    m_store.miss_wakeups_after(m_options.missed_wakeup_time);
}

fleet_soak::~fleet_soak()
{
    m_done = true;
    for (auto& each : m_threads) {
        each.join();
    }
}

milliseconds fleet_soak::draw(milliseconds from, milliseconds to)
{
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>{from.count(), to.count()}(m_random)};
}

std::string fleet_soak::since_begin(soak_time at) const
{
    return fmt::format("{:.3f}", std::chrono::duration<double>(at - m_begin).count());
}

void fleet_soak::violated(const std::string& text)
{
    const std::lock_guard lock{m_mutex};
    m_result.violations.push_back(text);
}

// Hosts

fleet_host& fleet_soak::add_host(const std::string& name, const std::string& zone)
{
    // Some deployments allow less time for a stop than the balancer takes to notice it.
    constexpr std::chrono::seconds graces[] = {2s, 6s, 7s, 8s};
    const auto grace =
        graces[std::uniform_int_distribution<std::size_t>{0, std::size(graces) - 1}(m_random)];
    auto& added =
        m_hosts.emplace_back(m_store, m_hosts.size(), name, m_addresses.next(), zone, grace);
    const std::lock_guard lock{m_mutex};
    m_by_number.push_back(&added);
    return added;
}

void fleet_soak::start_host(fleet_host& host)
{
    host.start(m_options.host_program, m_options.folder, m_seed_ips, m_options.bounds);
}

void fleet_soak::start_callers(fleet_host& host)
{
    m_threads.emplace_back([this, &host] { send_requests(host); });
    for (std::uint64_t index = 0; index < timed_callers; ++index) {
        const auto seed = (m_options.seed << 16) + host.number() * timed_callers + index;
        m_threads.emplace_back([this, &host, seed] { m_timed.send(host, seed, m_done); });
    }
}

std::vector<fleet_host*> fleet_soak::running_hosts()
{
    std::vector<fleet_host*> out;
    for (auto& each : m_hosts) {
        if (each.is_running()) {
            out.push_back(&each);
        }
    }
    return out;
}

void fleet_soak::wait_until_ready()
{
    const auto limit = soak_clock::now() + longest_start;
    for (auto& each : m_hosts) {
        bool ready = false;
        while (!ready) {
            if (soak_clock::now() > limit) {
                throw std::runtime_error{each.name() + " did not become ready"};
            }
            std::this_thread::sleep_for(tick);
            try {
                ready = caller{each.readiness()}.ask("GET /-/ready HTTP/1.1\r\n\r\n").status == 200;
            }
            catch (const boost::system::system_error&) {
                ready = false;
            }
        }
    }
}

// Operator and replicas

void fleet_soak::report(replica& of)
{
    m_store.put(
        "keyed.servers", of.id,
        fmt::format(
            R"({{"service":"{}","address":"{}","zone":"z1","version":"v1","slots":64,)"
            R"("state":"{}","cold-left-ms":0,{}"sequence":{},"born":1}})",
            of.service, http::to_string(of.server.address()), of.leaving ? "draining" : "ready",
            of.stage.empty() ? "" : fmt::format(R"("stage":"{}",)", of.stage), ++of.sequence));
    of.next_report = soak_clock::now() + report_interval;
}

void fleet_soak::report_replicas(soak_time now)
{
    for (auto& each : m_replicas) {
        if (!each.id.empty() && !each.missing && now >= each.next_report) {
            report(each);
        }
    }
}

// The replicas leave one after the other, and each starts again under a new id.
void fleet_soak::change_replicas(soak_time now)
{
    if (now < m_next_leaving) {
        return;
    }
    auto& first = m_replicas.front();
    if (first.missing) {
        m_replicas.splice(m_replicas.end(), m_replicas, m_replicas.begin());
        return;
    }
    if (first.id.empty()) {
        {
            // No host has received a limit from the new incarnation.
            const std::lock_guard lock{m_mutex};
            first.limit->name(std::nullopt, now);
            m_limited = m_limited == &first ? nullptr : m_limited;
        }
        first.id = fmt::format("i-{}", ++m_last_replica);
        first.sequence = 0;
        report(first);
        m_replicas.splice(m_replicas.end(), m_replicas, m_replicas.begin());
    }
    else if (!first.leaving) {
        first.leaving = true;
        report(first);
        const std::lock_guard lock{m_mutex};
        m_left[first.id] = soak_clock::now();
    }
    else {
        m_store.put("keyed.servers", first.id, "");
        first.id.clear();
        first.leaving = false;
    }
    m_next_leaving = now + draw(300ms, 3'000ms);
}

void fleet_soak::change_limits(soak_time now)
{
    if (now < m_next_limit) {
        return;
    }
    const std::lock_guard lock{m_mutex};
    if (m_limited != nullptr && std::bernoulli_distribution{0.5}(m_random)) {
        m_limited->limit->name(std::nullopt, now);
        m_limited = nullptr;
        m_next_limit = now + draw(0ms, 3'000ms);
        return;
    }
    if (m_limited == nullptr) {
        const auto drawn =
            std::uniform_int_distribution<std::size_t>{0, m_replicas.size() - 1}(m_random);
        m_limited = &*std::next(m_replicas.begin(), static_cast<std::ptrdiff_t>(drawn));
    }
    constexpr double least = 0.3;
    constexpr double most = 30;
    m_limited->limit->name(std::uniform_real_distribution<double>{least, most}(m_random), now);
    m_next_limit = now + draw(2'000ms, 12'000ms);
}

// Prompts and engines

void fleet_soak::list_engine(const std::string& previous_id, const std::string& id,
                             const http::address& at)
{
    const std::lock_guard lock{m_mutex};
    m_listed_engines.erase(previous_id);
    m_listed_engines[id] = at;
    m_next_engine_report = {};
    if (!previous_id.empty()) {
        m_store.put("keyed.servers", previous_id, "");
    }
}

void fleet_soak::report_engines(soak_time now)
{
    const std::lock_guard lock{m_mutex};
    if (now < m_next_engine_report) {
        return;
    }
    ++m_engine_reports;
    for (const auto& [id, at] : m_listed_engines) {
        m_store.put(
            "keyed.servers", id,
            fmt::format(R"({{"service":"e","address":"{}","zone":"z1","version":"v1","slots":64,)"
                        R"("state":"ready","cold-left-ms":0,{}"sequence":{},"born":1}})",
                        http::to_string(at),
                        // Without a stage they get no orders.
                        m_returns != nullptr ? "" : R"("stage":"decode",)", m_engine_reports));
    }
    m_next_engine_report = now + report_interval;
}

void fleet_soak::crash_engines(soak_time now)
{
    if (now < m_next_crash) {
        return;
    }
    m_engines->crash(std::uniform_int_distribution<int>{0, engine_count - 1}(m_random));
    m_next_crash = now + draw(1'000ms, 8'000ms);
}

void fleet_soak::judge_deadly_prompt(const received_request& request)
{
    const auto now = soak_clock::now();
    const auto id = request.field("Request-Id");
    const auto number = std::stoul(id.substr(0, id.find('-')));
    const std::lock_guard lock{m_mutex};
    const auto& host = *m_by_number.at(number);
    ++m_result.crashes;
    if (const auto count =
            m_crashes->arrived(now, host.is_fault_free(now, m_options.bounds.contact))) {
        m_result.violations.push_back(fmt::format("{} {} sent the {}th prompt that crashes engines "
                                                  "later than {} ms after the fifth crash",
                                                  since_begin(now), host.name(), *count,
                                                  m_options.bounds.contact.count()));
    }
}

void fleet_soak::send_prompts()
{
    std::mt19937_64 random{m_options.seed};
    for (std::size_t number = 0; !m_done; ++number) {
        std::this_thread::sleep_for(prompt_interval);
        fleet_host* host = nullptr;
        {
            const std::lock_guard lock{m_mutex};
            host = m_by_number[std::uniform_int_distribution<std::size_t>{0, m_by_number.size() -
                                                                                 1}(random)];
        }
        const auto sent = soak_clock::now();
        const bool is_deadly = std::bernoulli_distribution{deadly_share}(random);
        // A suspended host would block this thread.
        if (!host->is_fault_free(sent, 0ms)) {
            continue;
        }
        const auto own = fmt::format("{:x}", number);
        const auto second = fmt::format("b{}", number % 3);
        const auto fields = prompt_fields(
            own, is_deadly ? fmt::format("{}:100,{}", second, deadly_segment) : second);
        bool served = false;
        try {
            served = caller{host->callers()}
                         .ask(fmt::format("GET /prompt/x HTTP/1.1\r\nHost: h.example\r\n"
                                          "Request-Id: {}-p{}\r\nDeadline-Ms: 1500\r\n{}\r\n",
                                          host->number(), number, fields))
                         .status == 200;
        }
        catch (const boost::system::system_error&) {
            // The host was stopped meanwhile, which excuses it.
            served = false;
        }
        if (!is_deadly && !has_returned_before(sent) &&
            host->is_fault_free(soak_clock::now(), m_options.bounds.contact)) {
            const std::lock_guard lock{m_mutex};
            m_crashes->record_sound(sent, served);
        }
    }
}

void fleet_soak::judge_sound_prompts()
{
    const auto counts = m_crashes->judged_sound();
    m_result.checks += counts.sent;
    if (counts.is_violated()) {
        violated(fmt::format("{} of {} sound prompts were served beside one that crashes engines",
                             counts.served, counts.sent));
    }
}

void fleet_soak::judge_limit(replica& at, std::size_t host, soak_time now)
{
    m_result.limited += at.limit->named() ? 1 : 0;
    // Each process of a host has to receive the limit again. Nothing else exempts a host.
    const auto process = m_by_number.at(host)->process();
    if (const auto count = at.limit->arrived(process, now)) {
        m_result.violations.push_back(fmt::format(
            "{} {} advertised a limit of {:.1f} and got {} requests in 4 s; allowed {:.0f}",
            since_begin(now), at.id, *at.limit->named(), *count, at.limit->allowed(now)));
    }
}

scripted_response fleet_soak::serve(replica& at, const received_request& request)
{
    if (request.path().starts_with("/-/")) {
        // Orders and other calls to an engine.
        return make_response(404, "", "");
    }
    const auto now = soak_clock::now();
    const auto id = request.field("Request-Id");
    const auto number = std::stoul(id.substr(0, id.find('-')));
    const auto target = request.field("Target-Instance");
    std::string limit;
    {
        const std::lock_guard lock{m_mutex};
        judge_limit(at, number, now);
        if (const auto named = at.limit->named()) {
            limit = fmt::format("Server-Limit: {:.2f}\r\n", *named);
        }
        m_last_arrivals[target] = now;
        const auto left = m_left.find(target);
        const auto& host = *m_by_number.at(number);
        if (left != m_left.end() &&
            now - must_know_since(host, target, now) > m_options.bounds.leaving &&
            host.is_fault_free(now, m_options.bounds.contact)) {
            m_result.violations.push_back(
                fmt::format("{} {} sent a request to {}, which has been leaving since {}",
                            since_begin(now), host.name(), target, since_begin(left->second)));
        }
    }
    const auto fields = "Request-Id: " + id + "\r\nResponse-Seal: s\r\n" + limit;
    return request.field("Work-Ms").empty() ? make_response(200, fields, at.service)
                                            : m_timed.work(request, fields);
}

// Publishes versions one at a time and in quick succession.
void fleet_soak::publish_some(soak_time now)
{
    if (now < m_next_version || (m_returns != nullptr && m_returns->is_quiet(now))) {
        return;
    }
    m_history.publish(m_store, m_options.padding);
    const bool soon = std::bernoulli_distribution{0.4}(m_random);
    m_next_version = now + (soon ? draw(0ms, 60ms) : draw(200ms, 3'500ms));
}

void fleet_soak::operate()
{
    while (!m_done) {
        std::this_thread::sleep_for(1ms);
        const auto now = soak_clock::now();
        if (m_returns != nullptr && !operate_returns(now)) {
            continue;
        }
        report_replicas(now);
        change_replicas(now);
        change_limits(now);
        report_engines(now);
        crash_engines(now);
        publish_some(now);
    }
}

// Checks

std::vector<fleet_soak::expectation> fleet_soak::expectations(soak_time now, std::size_t seen) const
{
    const auto bound = m_history.acknowledged(now - m_options.bounds.apply);
    std::vector<expectation> out;
    const auto served = [](const caller::answer& each) { return each.status == 200; };
    if (bound == 0) {
        return out;
    }
    out.push_back({fmt::format("a{}", bound), bound, served, "must be served"});
    if (seen > bound) {
        out.push_back({fmt::format("a{}", seen), seen, served, "was in force and must be served",
                       m_returns != nullptr});
    }
    if (bound > configuration_history::kept) {
        out.push_back({fmt::format("a{}", bound - configuration_history::kept), bound,
                       [](const caller::answer& each) { return each.status == 404; },
                       "was removed and must get status 404"});
    }
    out.push_back({"moved", bound,
                   [this, bound](const caller::answer& each) {
                       std::set<std::string> allowed;
                       for (auto version = bound; version <= m_history.sent(); ++version) {
                           allowed.insert(configuration_history::service_of(version));
                       }
                       return each.status == 200 && allowed.contains(each.body);
                   },
                   "must be sent to the service of a version in force"});
    return out;
}

bool fleet_soak::ask(fleet_host& host, caller& through, const expectation& what, int incarnation)
{
    static std::atomic<std::size_t> last{0};
    const auto sent = soak_clock::now();
    const auto answer =
        through.ask(request_for(what.path, fmt::format("{}-{}", host.number(), ++last)));
    const auto& contact = m_options.bounds.contact;
    const bool is_in_touch = host.is_fault_free(sent, contact) && !m_store_has_fault &&
                             sent - m_store_fault_free_since.load() >= contact &&
                             !has_returned_before(sent) &&
                             host.is_fault_free(soak_clock::now(), contact);
    const bool is_checked =
        host.incarnation() == incarnation &&
        (is_in_touch || (what.is_unconditional && host.runs_undisturbed(sent, contact) &&
                         host.runs_undisturbed(soak_clock::now(), contact)));
    if (is_checked) {
        const std::lock_guard lock{m_mutex};
        ++m_result.checks;
        if (!what.holds(answer)) {
            m_result.violations.push_back(fmt::format(
                "{} {} /{}/ {}: version {} was acknowledged at {}; answer {} \"{}\" at {}",
                since_begin(sent), host.name(), what.path, what.must, what.version,
                since_begin(m_history.acknowledged_at(what.version)), answer.status, answer.body,
                since_begin(soak_clock::now())));
        }
    }
    return answer.complete && answer.field("Connection") != "close";
}

void fleet_soak::send_requests(fleet_host& host)
{
    std::unique_ptr<caller> kept;
    int incarnation = 0;
    std::size_t seen = 0;
    soak_time seen_at{};
    while (!m_done) {
        std::this_thread::sleep_for(request_interval);
        if (!host.is_running()) {
            kept.reset();
            continue;
        }
        if (host.incarnation() != incarnation) {
            incarnation = host.incarnation();
            kept.reset();
            seen = 0;
        }
        try {
            const auto now = soak_clock::now();
            const bool settled = now - seen_at >= rollback_slack;
            for (const auto& each : expectations(now, settled ? seen : 0)) {
                caller fresh{host.callers()};
                ask(host, fresh, each, incarnation);
                if (kept == nullptr) {
                    kept = std::make_unique<caller>(host.callers());
                }
                if (!ask(host, *kept, each, incarnation)) {
                    kept.reset();
                }
            }
            // Checks whether the newest version is in force already.
            const auto tried = m_history.acknowledged(now);
            caller fresh{host.callers()};
            const auto newest = fresh.ask(request_for(
                fmt::format("a{}", tried), fmt::format("{}-newest{}", host.number(), tried)));
            if (newest.status == 200 && tried > seen && host.incarnation() == incarnation) {
                seen = tried;
                seen_at = soak_clock::now();
            }
        }
        catch (const boost::system::system_error& error) {
            kept.reset();
            if (host.is_fault_free(soak_clock::now(), m_options.bounds.contact) &&
                host.incarnation() == incarnation) {
                violated(fmt::format("{} {} accepted no request: {}",
                                     since_begin(soak_clock::now()), host.name(), error.what()));
            }
        }
    }
}

// Faults

void fleet_soak::plan(milliseconds at, std::string what, std::function<void()> action)
{
    m_plan.emplace(at, std::pair{std::move(what), std::move(action)});
}

void fleet_soak::plan_store_fault(milliseconds at, fleet_host& host, store_proxy::state to,
                                  milliseconds time)
{
    const auto name = to == store_proxy::state::silent    ? "silent"
                      : to == store_proxy::state::stalled ? "stalled"
                                                          : "refusing";
    plan(at, fmt::format("store {} for {} for {}", name, host.name(), time.count()),
         [&host, to] { host.set_store_state(to); });
    plan(at + time, fmt::format("store open for {}", host.name()),
         [&host] { host.set_store_state(store_proxy::state::open); });
}

void fleet_soak::plan_restart(milliseconds at, fleet_host& host, milliseconds down)
{
    plan(at, fmt::format("{} killed", host.name()), [&host] { host.kill(); });
    plan(at + down, fmt::format("{} started", host.name()), [this, &host] { start_host(host); });
}

void fleet_soak::plan_replacement(milliseconds at, fleet_host& host, milliseconds down)
{
    plan(at, fmt::format("{} gone for good", host.name()), [&host] { host.kill(); });
    plan(at + down, fmt::format("{} replaced", host.name()), [this, &host] {
        auto& fresh = add_host(fmt::format("{}-r{}", host.name(), ++m_last_host), host.zone());
        start_host(fresh);
        start_callers(fresh);
    });
}

void fleet_soak::plan_freeze(milliseconds at, fleet_host& host, milliseconds time)
{
    plan(at, fmt::format("{} frozen for {}", host.name(), time.count()), [&host] {
        host.begin_fault(host_fault::process);
        host.signal(SIGSTOP);
    });
    plan(at + time, fmt::format("{} thawed", host.name()), [&host] {
        host.signal(SIGCONT);
        host.end_fault(host_fault::process);
    });
}

void fleet_soak::plan_stop(milliseconds at, fleet_host& host)
{
    plan(at, fmt::format("{} stopped, to end within {} s", host.name(), host.grace().count()),
         [this, &host] {
             host.stop();
             m_timed.record_stop(host);
         });
}

void fleet_soak::check_stop(fleet_host& host)
{
    const auto now = soak_clock::now();
    const auto status = host.poll();
    const auto time = std::chrono::duration_cast<milliseconds>(now - *host.stopped_at());
    if (!status && time < host.grace()) {
        return;
    }
    if (!status || *status != 0) {
        violated(fmt::format("{} {} {} {} ms after SIGTERM", since_begin(now), host.name(),
                             status ? fmt::format("ended with wait status {}", *status)
                                    : "had not ended",
                             time.count()));
    }
    m_result.steps.push_back(fmt::format("{} {} {} {} ms after SIGTERM", since_begin(now),
                                         host.name(), status ? "ended" : "killed", time.count()));
    host.end_process();
    plan(std::chrono::duration_cast<milliseconds>(now - m_begin) + pause_after_stop,
         fmt::format("{} started", host.name()), [this, &host] { start_host(host); });
}

void fleet_soak::plan_slow_store(milliseconds at, milliseconds time)
{
    constexpr auto slow_answer = 200ms;
    plan(at, fmt::format("store slow for {}", time.count()), [this, slow_answer] {
        m_store_has_fault = true;
        m_store.delay_reads(slow_answer);
    });
    plan(at + time, "store fast", [this] {
        m_store.delay_reads(0ms);
        m_store_fault_free_since = soak_clock::now();
        m_store_has_fault = false;
    });
}

void fleet_soak::plan_all_restarted(milliseconds at)
{
    plan(at, "all killed and started", [this] {
        const auto all = running_hosts();
        for (auto* each : all) {
            each->kill();
        }
        for (auto* each : all) {
            start_host(*each);
        }
    });
}

std::vector<fleet_host*> fleet_soak::all_hosts()
{
    std::vector<fleet_host*> out;
    for (auto& each : m_hosts) {
        out.push_back(&each);
    }
    return out;
}

void fleet_soak::plan_recorded()
{
    const auto all = all_hosts();
    plan_restart(8'700ms, *all.at(4), 500ms);
    plan_store_fault(draw(9'900ms, 10'700ms), *all.at(2), store_proxy::state::silent,
                     draw(300ms, 9'000ms));
    plan_store_fault(10'000ms, *all.at(0), store_proxy::state::silent, 1'900ms);
    plan_replacement(12'000ms, *all.at(0), 1'000ms);
    plan_store_fault(draw(35'000ms, 35'400ms), *all.at(4), store_proxy::state::silent,
                     draw(300ms, 6'000ms));
    plan_all_restarted(45'600ms);
}

void fleet_soak::plan_random_faults()
{
    const auto all = all_hosts();
    const bool has_other_faults = m_options.shape == soak_shape::drawn;
    std::map<fleet_host*, milliseconds> busy;
    // Until when a host's process has a fault or stops. The store may have one at the same time.
    std::map<fleet_host*, milliseconds> disturbed;
    const auto stop = [&](milliseconds at, fleet_host& host) {
        constexpr auto after_start = 1'500ms;
        if (disturbed[&host] <= at) {
            plan_stop(at, host);
            disturbed[&host] = at + host.grace() + pause_after_stop + after_start;
        }
    };
    const milliseconds end = m_options.time - 1'000ms;
    for (auto at = draw(500ms, 2'000ms); at < end; at += draw(300ms, 2'500ms)) {
        auto& host = *all[std::uniform_int_distribution<std::size_t>{0, all.size() - 1}(m_random)];
        constexpr int faults = 10;
        constexpr int stops = 4;
        const auto kind = std::uniform_int_distribution<int>{has_other_faults ? 0 : faults,
                                                             faults + stops - 1}(m_random);
        // The store has one fault at a time for a host, and its process has one; several hosts may
        // have faults at once.
        const bool is_process_fault = kind == 5 || kind == 6;
        if (kind < faults && (busy[&host] > at || (is_process_fault && disturbed[&host] > at))) {
            continue;
        }
        const auto time = draw(300ms, 7'000ms);
        constexpr auto after = 100ms;
        switch (kind) {
        case 0:
        case 1:
        case 2:
            plan_store_fault(at, host, store_proxy::state::silent, time);
            busy[&host] = at + time + after;
            break;
        case 3:
            plan_store_fault(at, host, store_proxy::state::stalled, time);
            busy[&host] = at + time + after;
            break;
        case 4:
            plan_store_fault(at, host, store_proxy::state::refusing, time);
            busy[&host] = at + time + after;
            break;
        case 5:
            plan_restart(at, host, time / 4);
            busy[&host] = disturbed[&host] = at + time;
            break;
        case 6:
            plan_freeze(at, host, time);
            busy[&host] = disturbed[&host] = at + time + after;
            break;
        case 7:
            plan_slow_store(at, time / 2);
            break;
        case 8:
            for (auto* each : all) {
                if (busy[each] <= at) {
                    plan_store_fault(at, *each, store_proxy::state::silent, time);
                    busy[each] = at + time + after;
                }
            }
            break;
        case 9:
            plan(at, "history forgotten", [this] {
                m_store.forget_history("keyed.op");
                m_store.forget_history("keyed.servers");
            });
            break;
        case 10:
            stop(at, host);
            break;
        case 11:
        case 12:
            stop(at, host);
            stop(at + draw(0ms, 500ms), *all[(host.number() + 1) % all.size()]);
            break;
        default: {
            // Rolling replacement.
            const auto interval = draw(500ms, 5'000ms);
            auto next = at;
            for (auto* each : all) {
                stop(next, *each);
                next += interval;
            }
        }
        }
    }
}

void fleet_soak::run_schedule()
{
    while (soak_clock::now() - m_begin < m_options.time) {
        std::this_thread::sleep_for(1ms);
        while (!m_plan.empty() && soak_clock::now() - m_begin >= m_plan.begin()->first) {
            auto step = std::move(m_plan.begin()->second);
            m_plan.erase(m_plan.begin());
            m_result.steps.push_back(
                fmt::format("{} {}", since_begin(soak_clock::now()), step.first));
            step.second();
        }
        for (auto& each : m_hosts) {
            if (each.stopped_at()) {
                check_stop(each);
            }
            else if (each.is_running() && each.poll()) {
                violated(since_begin(soak_clock::now()) + " " + each.name() + " ended by itself");
                each.kill();
            }
        }
    }
}

soak_result fleet_soak::run()
{
    const stall_meter stalls;
    if (m_options.shape == soak_shape::returns) {
        prepare_returns();
    }
    for (std::size_t index = 0; index < plain_replicas * services.size(); ++index) {
        auto& added =
            m_replicas.emplace_back(services[index % services.size()],
                                    [](const received_request&) { return scripted_response{}; });
        added.server.set_answer(
            [this, &added](const received_request& each) { return serve(added, each); });
        added.id = fmt::format("i-{}", ++m_last_replica);
        if (added.service == "g") {
            added.stage = index < services.size() ? "prefill" : "decode";
        }
        added.limit.emplace(m_options.bounds.contact);
        report(added);
    }
    m_crashes.emplace(m_options.bounds.contact);
    m_engines = std::make_unique<crashing_engines>(
        engine_count,
        [this](const std::string& previous_id, const std::string& id, const http::address& at) {
            list_engine(previous_id, id, at);
        },
        [this](const received_request& request) { judge_deadly_prompt(request); });
    report_engines(soak_clock::now());
    m_history.publish(m_store, m_options.padding);
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        const auto zone = fmt::format("z{}", index / 2 + 1);
        add_host(fmt::format("{}-{}", zone, index % 2 + 1), zone);
    }
    constexpr std::size_t max_seed_ips = 3;
    for (const auto& each : m_hosts) {
        if (!m_options.alone && m_seed_ips.size() < max_seed_ips) {
            m_seed_ips.push_back(each.ip());
        }
    }
    for (auto& each : m_hosts) {
        start_host(each);
    }
    wait_until_ready();
    m_begin = soak_clock::now();
    m_store_fault_free_since = m_begin;
    if (m_options.shape == soak_shape::recorded) {
        plan_recorded();
    }
    else if (m_options.shape == soak_shape::returns) {
        plan_returns();
    }
    else {
        plan_random_faults();
    }
    m_threads.emplace_back([this] { operate(); });
    m_threads.emplace_back([this] { send_prompts(); });
    for (auto& each : m_hosts) {
        start_callers(each);
    }
    run_schedule();
    m_done = true;
    // A host that is still suspended would block the thread that sends it requests.
    for (auto& each : m_hosts) {
        each.kill();
    }
    for (auto& each : m_threads) {
        each.join();
    }
    m_threads.clear();
    m_engines.reset();
    finish_returns();
    judge_sound_prompts();
    m_result.checks += m_timed.judge().request_count();
    m_result.stopped = m_timed.judge().stopped_count();
    for (const auto& each : m_timed.judge().violations()) {
        violated(fmt::format("{} {} {}", since_begin(each.of.sent), each.of.id, each.text));
    }
    m_result.longest_stall = stalls.longest();
    return m_result;
}

} // namespace cicadaport::platform::testing
