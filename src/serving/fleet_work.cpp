#include "cicadaport/serving/fleet_work.h"

#include <xxhash.h>

#include <cmath>

namespace cicadaport::serving {
namespace {

using fine_seconds = std::chrono::duration<double>;

double decayed(double value, time_point since, time_point now)
{
    const fine_seconds passed = now - since;
    const fine_seconds time = fleet_work::demand_time_constant;
    return value * std::exp(-std::max(passed / time, 0.0));
}

} // namespace

std::uint32_t engine_number(const std::string& id)
{
    return XXH32(id.data(), id.size(), 0);
}

engine_queue::work_id fleet_work::item_id(host_number host, std::uint64_t id) noexcept
{
    // Work numbers of a host start at 1; host numbers are random.
    constexpr unsigned work_bits = 40;
    return (host << work_bits) ^ id;
}

void fleet_work::begin(host_number host, std::uint64_t id, const engine_work& work, time_point now)
{
    const bool is_prefill = work.prefill_time > fractional_milliseconds{0};
    auto& items = m_hosts[host];
    const auto [added, is_new] =
        items.emplace(id, item{work.engine, is_prefill, now + stream_ttl, now});
    if (!is_new) {
        return;
    }
    auto& engine = m_engines[work.engine];
    added->second.stream_time = count_stream_time(engine, now);
    if (!is_prefill) {
        ++engine.active_streams;
        ++m_active_streams;
        return;
    }
    engine.queue.add(item_id(host, id), work.urgency, work.prefill_time, now);
    m_demand = decayed(m_demand, m_demand_at, now) +
               work.nominal_prefill_time / fractional_milliseconds{demand_time_constant};
    m_demand_at = now;
}

fractional_milliseconds fleet_work::count_stream_time(engine_record& of, time_point now)
{
    const fractional_milliseconds passed = now - of.counted_until;
    of.stream_time += static_cast<double>(of.active_streams) * passed;
    of.counted_until = now;
    return of.stream_time;
}

std::optional<ended_work> fleet_work::end(host_number host, std::uint64_t id, time_point now)
{
    const auto known = m_hosts.find(host);
    if (known == m_hosts.end()) {
        return std::nullopt;
    }
    const auto found = known->second.find(id);
    if (found == known->second.end()) {
        return std::nullopt;
    }
    const auto& which = found->second;
    ended_work out{which.engine, which.is_prefill, 0};
    auto& engine = m_engines[which.engine];
    const fractional_milliseconds time = now - which.began;
    const auto stream_time = count_stream_time(engine, now) - which.stream_time;
    out.mean_streams = time > fractional_milliseconds{0}
                           ? stream_time / time
                           : static_cast<double>(engine.active_streams);
    remove_item(host, id, which, now);
    known->second.erase(found);
    return out;
}

void fleet_work::remove_item(host_number host, std::uint64_t id, const item& which, time_point now)
{
    auto& engine = m_engines[which.engine];
    count_stream_time(engine, now);
    if (which.is_prefill) {
        engine.queue.remove(item_id(host, id), now);
    }
    else {
        --engine.active_streams;
        --m_active_streams;
    }
}

void fleet_work::forget(host_number host, time_point now)
{
    const auto known = m_hosts.find(host);
    if (known == m_hosts.end()) {
        return;
    }
    for (const auto& [id, each] : known->second) {
        remove_item(host, id, each, now);
    }
    m_hosts.erase(known);
}

void fleet_work::remove_expired(time_point now)
{
    for (auto& [host, items] : m_hosts) {
        for (auto each = items.begin(); each != items.end();) {
            if (each->second.expires < now) {
                remove_item(host, each->first, each->second, now);
                each = items.erase(each);
            }
            else {
                ++each;
            }
        }
    }
}

fractional_milliseconds fleet_work::wait(std::uint32_t engine, std::uint32_t urgency,
                                         time_point now)
{
    return m_engines[engine].queue.wait(urgency, now);
}

std::size_t fleet_work::active_streams(std::uint32_t engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? 0 : found->second.active_streams;
}

double fleet_work::prefill_demand(time_point now) const
{
    return decayed(m_demand, m_demand_at, now);
}

} // namespace cicadaport::serving
