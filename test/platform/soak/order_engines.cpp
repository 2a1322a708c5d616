#include "platform/soak/order_engines.h"

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto report_interval = 1'200ms;

milliseconds draw(std::mt19937_64& random, milliseconds from, milliseconds to)
{
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>{from.count(), to.count()}(random)};
}

} // namespace

order_engines::order_engines(standin_store& store, std::uint64_t seed,
                             violation_function on_violation, excuse_function is_excused)
    : m_store{store}, m_random{seed}, m_on_violation{std::move(on_violation)},
      m_is_excused{std::move(is_excused)}
{
    for (int number = 0; number < service_count * engines_per_service; ++number) {
        const auto id = fmt::format("o-{}", number);
        auto& added = m_engines.emplace_back(
            fmt::format("o{}", number % service_count), id,
            [](const received_request&) { return make_response(503, "", ""); });
        added.server.set_answer(
            [this, &added](const received_request& each) { return answer(added, each); });
        m_ids.insert(id);
    }
}

std::string order_engines::services()
{
    std::string out;
    for (int number = 0; number < service_count; ++number) {
        out += fmt::format(R"(,{{"name":"o{}","max-conns":64,"engine":{{"slots":64,)"
                           R"("token-kv-bytes":1000,"link-mbps":1000,"switch-s":0.2}}}})",
                           number);
    }
    return out;
}

void order_engines::report(time_point now)
{
    const std::lock_guard lock{m_mutex};
    for (auto& each : m_engines) {
        if (now >= each.next_start) {
            each.stage = "decode";
            each.order_count = 0;
            each.next_start = time_point::max();
            each.sequence = 0;
            ++each.born;
            each.is_due = true;
        }
        if (!each.is_due && now < each.next_report) {
            continue;
        }
        m_store.put("keyed.servers", each.id,
                    fmt::format(R"({{"service":"{}","address":"{}","zone":"z1","version":"v1",)"
                                R"("slots":64,"state":"ready","cold-left-ms":0,"stage":"{}",)"
                                R"("sequence":{},"born":{}}})",
                                each.service, http::to_string(each.server.address()), each.stage,
                                ++each.sequence, each.born));
        each.is_due = false;
        each.next_report = now + report_interval;
    }
}

void order_engines::report_within(milliseconds time, time_point now)
{
    const std::lock_guard lock{m_mutex};
    for (auto& each : m_engines) {
        each.next_report = now + draw(m_random, 0ms, time);
    }
}

std::size_t order_engines::order_count() const
{
    const std::lock_guard lock{m_mutex};
    return m_judge.count();
}

scripted_response order_engines::answer(engine& at, const received_request& request)
{
    if (request.path() == "/-/order") {
        take_order(at, request);
        return make_response(202, "", "");
    }
    const std::lock_guard lock{m_mutex};
    if (is_status_request(request)) {
        return make_response(
            200, "Content-Type: application/json\r\n",
            fmt::format(R"({{"stage":"{}","models":[],"busy":false,"sequence":{},"queued":0,)"
                        R"("running":0,"kv-used":0,"kv-total":90000,"kv-handles":0}})",
                        at.stage, at.order_count));
    }
    return make_response(503, "Not-Executed: 1\r\n", "");
}

void order_engines::take_order(engine& at, const received_request& request)
{
    const auto now = std::chrono::steady_clock::now();
    const auto order = nlohmann::json::parse(request.body);
    const auto holder = order.at("holder").get<std::string>();
    const bool is_excused = m_is_excused(holder, now);
    std::vector<std::string> violations;
    {
        const std::lock_guard lock{m_mutex};
        at.stage = order.at("stage").get<std::string>();
        ++at.order_count;
        at.is_due = true;
        at.next_start = now + draw(m_random, 500ms, 2'000ms);
        if (!is_excused) {
            violations =
                m_judge.arrived(at.id, holder, order.at("fencing-token").get<std::uint64_t>(), now);
        }
    }
    for (const auto& each : violations) {
        m_on_violation(each);
    }
}

} // namespace cicadaport::platform::testing
