#include "cicadaport/routing/load.h"

#include <algorithm>
#include <string_view>

namespace cicadaport::routing {

work_sum& work_sum::operator+=(const work_sum& other) noexcept
{
    requests += other.requests;
    prefill_tokens += other.prefill_tokens;
    decode_tokens += other.decode_tokens;
    return *this;
}

work_sum& work_sum::operator-=(const work_sum& other) noexcept
{
    requests = std::max(requests - other.requests, 0.0);
    prefill_tokens = std::max(prefill_tokens - other.prefill_tokens, 0.0);
    decode_tokens = std::max(decode_tokens - other.decode_tokens, 0.0);
    return *this;
}

work_sum own_work(const endpoint_load& load) noexcept
{
    constexpr auto order = std::memory_order_relaxed;
    return {static_cast<double>(load.requests.load(order)),
            static_cast<double>(load.prefill_tokens.load(order)),
            static_cast<double>(load.decode_tokens.load(order))};
}

engine_role parse_role(std::string_view name) noexcept
{
    if (name == "prefill") {
        return engine_role::prefill;
    }
    return name == "decode" ? engine_role::decode : engine_role::mixed;
}

std::string_view to_string(engine_role role) noexcept
{
    switch (role) {
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    case engine_role::mixed:
        break;
    }
    return "mixed";
}

void load_snapshot::collect_prefill_engines()
{
    prefill_engines.clear();
    for (std::uint32_t index = 0; index < endpoints.size(); ++index) {
        if (endpoints[index].serving && endpoints[index].role == engine_role::prefill) {
            prefill_engines.push_back(index);
        }
    }
}

const endpoint_report& load_snapshot::at(std::uint32_t index) const noexcept
{
    static constexpr endpoint_report idle{};
    return index < endpoints.size() ? endpoints[index] : idle;
}

std::shared_ptr<endpoint_load> load_table::get(const std::string& endpoint)
{
    const std::scoped_lock lock{m_mutex};
    auto& load = m_loads[endpoint];
    if (!load) {
        load = std::make_shared<endpoint_load>();
        load->index = static_cast<std::uint32_t>(m_loads.size() - 1);
    }
    return load;
}

std::vector<load_table::named_work> load_table::work_in_flight() const
{
    const std::scoped_lock lock{m_mutex};
    std::vector<named_work> out;
    for (const auto& [name, load] : m_loads) {
        const auto work = own_work(*load);
        if (work.requests > 0) {
            out.push_back({name, work});
        }
    }
    return out;
}

void report_history::record_own_work(time_point now, const work_sum& own)
{
    m_own.push_back({now, own});
    while (m_own.front().at + retention < now) {
        m_own.pop_front();
    }
}

void report_history::record_report(time_point at, const work_sum& whole)
{
    auto others = whole;
    others -= own_work_at(at);
    m_reported = sample{at, others};
}

void report_history::record_announced_work(time_point at, const work_sum& others)
{
    m_announced = sample{at, others};
}

work_sum report_history::others() const noexcept
{
    if (m_reported && (!m_announced || m_announced->at <= m_reported->at)) {
        return m_reported->work;
    }
    return m_announced ? m_announced->work : work_sum{};
}

work_sum report_history::own_work_at(time_point at) const noexcept
{
    const auto after =
        std::find_if(m_own.begin(), m_own.end(), [&](const sample& each) { return each.at > at; });
    return after == m_own.begin() ? work_sum{} : std::prev(after)->work;
}

} // namespace cicadaport::routing
