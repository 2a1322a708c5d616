#include "cicadaport/serving/request_limits.h"

#include <algorithm>
#include <cmath>

namespace cicadaport::serving {
namespace {

using fractional_seconds = std::chrono::duration<double>;

} // namespace

std::string_view to_string(limit_change change)
{
    switch (change) {
    case limit_change::begun:
        return "begun";
    case limit_change::changed:
        return "changed";
    case limit_change::ended:
        return "ended";
    case limit_change::none:
        break;
    }
    return "none";
}

limit_change request_limits::apply(const limit_statement& statement, time_point now)
{
    forget_older_incarnations(statement.endpoint, statement.incarnation);
    const auto found = m_records.find(statement.endpoint);
    const bool known = found != m_records.end();
    if (known && statement.incarnation < found->second.incarnation) {
        return limit_change::none;
    }
    const bool in_force = known && !found->second.ended_at;
    if (!statement.per_second) {
        if (!in_force || statement.request_sent_at <= found->second.named_at) {
            return limit_change::none;
        }
        found->second.ended_at = now;
        return limit_change::ended;
    }
    auto& limit = m_records[statement.endpoint];
    const auto before = std::exchange(limit.per_second, *statement.per_second);
    limit.incarnation = statement.incarnation;
    limit.named_at = now;
    if (!in_force) {
        limit.ended_at.reset();
        limit.permits = 0;
        limit.permits_at = now;
        return limit_change::begun;
    }
    return before != limit.per_second ? limit_change::changed : limit_change::none;
}

bool request_limits::take_due_announcement(const std::string& endpoint, time_point now)
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end() || now - found->second.announced_at < announcement_interval ||
        (found->second.ended_at && now - *found->second.ended_at > end_announcement_period)) {
        return false;
    }
    found->second.announced_at = now;
    return true;
}

void request_limits::record_announcement(const std::string& endpoint, time_point now)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end()) {
        found->second.announced_at = now;
    }
}

request_limits::share request_limits::share_of(const record& limit, const fleet_place& place,
                                               time_point now)
{
    const auto total = std::max(limit.per_second * used_fraction, min_per_second);
    const auto burst = base_burst + limit.per_second * fractional_seconds{burst_time}.count();
    const auto hosts = static_cast<double>(place.hosts);
    const auto sharing = std::clamp(std::floor(burst), 1.0, hosts);
    if (static_cast<double>(place.rank) < sharing) {
        return {total / sharing, burst / sharing};
    }
    const bool is_recently_named = now - limit.named_at <= probe_delay;
    return {is_recently_named ? 0 : total * probe_fraction / hosts, 1};
}

request_limits::share request_limits::refill(record& limit, const fleet_place& place,
                                             time_point now)
{
    const auto own_share = share_of(limit, place, now);
    const fractional_seconds passed = now - std::exchange(limit.permits_at, now);
    if (own_share.per_second > 0) {
        limit.permits =
            std::min(limit.permits + own_share.per_second * passed.count(), own_share.burst);
    }
    else {
        // Different initial tokens spread the later probes of the hosts over time.
        limit.permits = static_cast<double>(place.rank) / static_cast<double>(place.hosts);
    }
    return own_share;
}

request_limits::record* request_limits::find(const std::string& endpoint)
{
    const auto found = m_records.find(endpoint);
    return found != m_records.end() && !found->second.ended_at ? &found->second : nullptr;
}

bool request_limits::may_send(const std::string& endpoint, const fleet_place& place, time_point now)
{
    auto* limit = find(endpoint);
    if (limit == nullptr) {
        return true;
    }
    refill(*limit, place, now);
    return limit->permits >= 1;
}

std::optional<time_point> request_limits::next_send_time(const std::string& endpoint,
                                                         const fleet_place& place, time_point now)
{
    auto* limit = find(endpoint);
    if (limit == nullptr) {
        return now;
    }
    const auto own_share = refill(*limit, place, now);
    if (own_share.per_second <= 0) {
        return std::nullopt;
    }
    const fractional_seconds wait{std::max(1 - limit->permits, 0.0) / own_share.per_second};
    return now + std::chrono::duration_cast<clock::duration>(wait);
}

void request_limits::count_sent(const std::string& endpoint, bool is_prefill_only)
{
    if (auto* limit = find(endpoint)) {
        limit->permits -= 1;
        ++(is_prefill_only ? limit->prefill_count : limit->run_count);
    }
}

void request_limits::count_call(const std::string& endpoint)
{
    if (auto* limit = find(endpoint)) {
        limit->permits -= 1;
        ++limit->call_count;
    }
}

std::vector<std::string> request_limits::limited_endpoints() const
{
    std::vector<std::string> out;
    for (const auto& [endpoint, each] : m_records) {
        if (!each.ended_at) {
            out.push_back(endpoint);
        }
    }
    return out;
}

void request_limits::forget_old(time_point now)
{
    std::erase_if(m_records, [&](const auto& each) {
        const auto& limit = each.second;
        return limit.ended_at ? now - *limit.ended_at > end_announcement_period
                              : now - limit.named_at > limit_ttl;
    });
}

void request_limits::forget_older_incarnations(const std::string& endpoint,
                                               std::int64_t incarnation)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end() && found->second.incarnation < incarnation) {
        m_records.erase(found);
    }
}

std::vector<limit_use> request_limits::take_uses(time_point now)
{
    std::vector<limit_use> out;
    for (auto& [endpoint, each] : m_records) {
        if (!each.ended_at && each.run_count + each.prefill_count + each.call_count > 0) {
            out.push_back({endpoint, each.per_second, now - each.named_at,
                           std::exchange(each.run_count, 0), std::exchange(each.prefill_count, 0),
                           std::exchange(each.call_count, 0)});
        }
    }
    return out;
}

} // namespace cicadaport::serving
